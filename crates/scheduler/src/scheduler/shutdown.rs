//! Graceful shutdown: nobody is kept waiting beyond the router's own life.

use super::Scheduler;
use crate::request::Request;
use crate::types::{IncomingRequest, RequestId, Seconds};

impl Scheduler {
    /// The router ends: every request that waits for its first token, now or later, has its final answer by this time.
    /// Streams that have begun go on.
    pub fn set_response_deadline(&mut self, time: Seconds) {
        self.answer_deadline = self.answer_deadline.min(time);
        for id in self.requests_awaiting_first_token() {
            self.shorten_deadlines(id);
        }
    }

    /// Brings a request's deadlines within the router's life. The queue finds a request by its times, so it is taken out
    /// meanwhile.
    fn shorten_deadlines(&mut self, id: RequestId) {
        let was_queued = self.requests.get(&id).is_some_and(Request::is_queued);
        self.dequeue(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.shorten_deadlines(self.answer_deadline);
        }
        if was_queued {
            self.enqueue(id);
        }
    }

    pub(super) fn requests_awaiting_first_token(&self) -> Vec<RequestId> {
        let requests = self.requests.iter();
        requests
            .filter(|(_, request)| request.awaits_first_token())
            .map(|(id, _)| *id)
            .collect()
    }

    /// The time in which a request needs its first token: its client's patience, within the router's life.
    pub(super) fn time_left(&self, incoming: &IncomingRequest) -> Seconds {
        let patience = if incoming.time_left.is_finite() {
            incoming.time_left
        } else {
            0.0
        };
        patience.min(self.answer_deadline - self.now).max(0.0)
    }
}
