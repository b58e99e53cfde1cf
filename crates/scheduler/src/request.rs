//! The state machine of one request with its attempts.

use crate::attempt::Attempt;
use crate::fair_queue::{QueueEntry, QueueKey};
use crate::types::{IncomingRequest, ReplicaId, RequestId, Seconds};

/// The state of a request.
///
/// | from | event | to |
/// |---|---|---|
/// | `NotQueued` | the request is queued: at its arrival, for a retry or for a hedged attempt | `Queued` |
/// | `Queued` | the request is dispatched, deferred or expires, or one of its attempts gets its first token | `NotQueued` |
/// | `NotQueued`, `Queued` | the request has its final answer, or its client has disconnected | `Finished` |
///
/// A request that is not queued has attempts in flight, or is deferred until load reports arrive or capacity changes. A
/// finished request is stored until its last attempt has ended, and is never queued again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestState {
    NotQueued,
    Queued,
    Finished,
}

#[derive(Clone, Copy)]
pub(crate) struct RequestDeadlines {
    /// The target for the time to first token.
    pub(crate) ttft_objective: Seconds,
    /// When the client's timeout ends.
    pub(crate) deadline: Seconds,
    /// An answer after this time has no value.
    pub(crate) useful_until: Seconds,
}

/// The position of a request in the fair queue.
#[derive(Clone, Copy)]
pub(crate) struct QueuePosition {
    pub(crate) tier: usize,
    pub(crate) key: QueueKey,
    /// In tokens.
    pub(crate) cost: f64,
}

pub(crate) struct Request {
    incoming: IncomingRequest,
    arrived_at: Seconds,
    deadlines: RequestDeadlines,
    position: QueuePosition,
    state: RequestState,
    attempts: Vec<Attempt>,
    awaited_replica: Option<ReplicaId>,
}

impl Request {
    pub(crate) fn new(
        incoming: IncomingRequest,
        position: QueuePosition,
        deadlines: RequestDeadlines,
    ) -> Self {
        Request {
            arrived_at: deadlines.deadline - incoming.time_left,
            incoming,
            deadlines,
            position,
            state: RequestState::NotQueued,
            attempts: Vec::new(),
            awaited_replica: None,
        }
    }

    /// The replica whose evidence the request's next attempt waits for; `None` if no replica was probed for the request.
    pub(crate) fn awaited_replica(&self) -> Option<ReplicaId> {
        self.awaited_replica
    }

    pub(crate) fn set_awaited_replica(&mut self, replica: ReplicaId) {
        self.awaited_replica = Some(replica);
    }

    pub(crate) fn incoming(&self) -> &IncomingRequest {
        &self.incoming
    }

    pub(crate) fn id(&self) -> RequestId {
        self.incoming.id
    }

    pub(crate) fn class(&self) -> usize {
        self.incoming.class
    }

    pub(crate) fn arrived_at(&self) -> Seconds {
        self.arrived_at
    }

    pub(crate) fn deadlines(&self) -> RequestDeadlines {
        self.deadlines
    }

    /// Limits the request's deadlines to the router's answer deadline. The request must not be queued, because the queue
    /// finds it by its deadlines.
    pub(crate) fn shorten_deadlines(&mut self, answer_deadline: Seconds) {
        debug_assert!(!self.is_queued());
        self.deadlines.deadline = self.deadlines.deadline.min(answer_deadline);
        self.deadlines.useful_until = self.deadlines.useful_until.min(answer_deadline);
    }

    pub(crate) fn tier(&self) -> usize {
        self.position.tier
    }

    /// Moves the request to another tier. The request must not be queued, because the queue finds it by its tier.
    pub(crate) fn set_tier(&mut self, tier: usize) {
        debug_assert!(!self.is_queued());
        self.position.tier = tier;
    }

    /// In tokens.
    pub(crate) fn cost(&self) -> f64 {
        self.position.cost
    }

    pub(crate) fn queue_entry(&self) -> QueueEntry {
        QueueEntry {
            request: self.id(),
            tenant: self.incoming.tenant,
            tier: self.position.tier,
            key: self.position.key,
            cost: self.position.cost,
            useful_until: self.deadlines.useful_until,
        }
    }

    pub(crate) fn is_queued(&self) -> bool {
        self.state == RequestState::Queued
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.state == RequestState::Finished
    }

    /// Returns false if the request is already queued or finished.
    pub(crate) fn mark_queued(&mut self) -> bool {
        let is_queueable = self.state == RequestState::NotQueued;
        if is_queueable {
            self.state = RequestState::Queued;
        }
        is_queueable
    }

    /// Returns false if the request was not queued.
    pub(crate) fn mark_dequeued(&mut self) -> bool {
        let was_queued = self.is_queued();
        if was_queued {
            self.state = RequestState::NotQueued;
        }
        was_queued
    }

    /// The request must not be queued.
    pub(crate) fn mark_finished(&mut self) {
        debug_assert!(!self.is_queued());
        self.state = RequestState::Finished;
    }

    pub(crate) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    pub(crate) fn attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(number)
    }

    pub(crate) fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    pub(crate) fn is_streaming(&self) -> bool {
        self.attempts.iter().any(Attempt::is_streaming)
    }

    /// Whether the request has neither a final answer nor a first token.
    pub(crate) fn awaits_first_token(&self) -> bool {
        !self.is_finished() && !self.is_streaming()
    }

    /// The first attempt that is in flight or may have been run by its replica.
    pub(crate) fn first_attempt_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Cancels the attempts without a first token that are not yet cancelled, and returns their numbers.
    pub(crate) fn cancel_attempts(&mut self) -> Vec<usize> {
        let mut cancelled = Vec::new();
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.cancel() {
                cancelled.push(number);
            }
        }
        cancelled
    }
}

#[cfg(test)]
mod tests;
