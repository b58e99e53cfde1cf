//! The attempts whose tasks have not reported their end.

use crate::routing::AttemptId;
use poppykeel_scheduler::ReplicaId;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::task::AbortHandle;

/// An attempt whose task has not reported its end.
pub(super) struct InFlightAttempt {
    /// The replica that gets it.
    pub(super) replica: ReplicaId,
    /// Set by the task when its first byte is about to be written.
    pub(super) has_begun: Rc<Cell<bool>>,
    /// Aborting the task closes the connection.
    pub(super) task: AbortHandle,
}

/// All attempts whose tasks have not reported their end.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    attempts: HashMap<AttemptId, InFlightAttempt>,
}

impl InFlightAttempts {
    /// Adds an attempt whose task has just been started.
    pub(super) fn add(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// Forgets an attempt whose task has reported its end. The task goes on for a moment to use its connection again.
    pub(super) fn remove(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
    }

    /// Ends the task of an attempt, and with it its connection; one that has reported its end is left alone.
    pub(super) fn abort(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.remove(&id) {
            attempt.task.abort();
        }
    }

    /// The attempts at these replicas that have written nothing yet, in the order of their ids.
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
