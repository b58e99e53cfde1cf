//! Ids of finished requests that a replica may have run and that must not run again.

use poppykeel_scheduler::RequestId;
use std::collections::{HashSet, VecDeque};

/// Maximum number of ids. Beyond it the oldest one is forgotten.
const MAX_IDS: usize = 32 * 1024;

/// The ids of the newest requests of classes whose repeats have a second effect.
#[derive(Default)]
pub(super) struct ExecutedRequests {
    ids: HashSet<RequestId>,
    /// The same ids, the oldest first.
    by_age: VecDeque<RequestId>,
}

impl ExecutedRequests {
    pub(super) fn add(&mut self, id: RequestId) {
        if !self.ids.insert(id) {
            return;
        }
        self.by_age.push_back(id);
        if self.by_age.len() > MAX_IDS {
            if let Some(oldest) = self.by_age.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }
}

#[cfg(test)]
mod tests;
