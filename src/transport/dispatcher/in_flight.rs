//! Attempts whose tasks have not reported an outcome.

use crate::routing::AttemptId;
use poppykeel_scheduler::ReplicaId;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::task::AbortHandle;

pub(super) struct InFlightAttempt {
    pub(super) replica: ReplicaId,
    /// Whether a repeat of the request may have a second effect.
    pub(super) has_effect: bool,
    /// Set by the task immediately before it writes the first byte.
    pub(super) has_begun: Rc<Cell<bool>>,
    /// Aborting the task resets the connection.
    pub(super) task: AbortHandle,
}

#[derive(Default)]
pub(super) struct InFlightAttempts {
    attempts: HashMap<AttemptId, InFlightAttempt>,
}

impl InFlightAttempts {
    pub(super) fn add(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// Removes and returns an attempt whose task has reported its outcome. The task runs on for a moment to release its
    /// connection for reuse.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    /// Aborts the task of an attempt, which resets its connection, and returns the attempt; `None` if it has reported its
    /// outcome.
    pub(super) fn abort(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(&id)?;
        attempt.task.abort();
        Some(attempt)
    }

    /// Attempts to these replicas that have not written anything yet, ordered by id.
    pub(super) fn unsent_to(&self, replicas: &BTreeSet<ReplicaId>) -> Vec<AttemptId> {
        let mut unsent = Vec::new();
        for (id, attempt) in &self.attempts {
            if replicas.contains(&attempt.replica) && !attempt.has_begun.get() {
                unsent.push(*id);
            }
        }
        unsent.sort_unstable();
        unsent
    }
}
