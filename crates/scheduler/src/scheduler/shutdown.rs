//! Graceful shutdown: every waiting request gets its final answer before the router exits.

use super::Scheduler;
use crate::request::Request;
use crate::types::{IncomingRequest, RequestId, Seconds};

impl Scheduler {
    /// Starts the shutdown: every request that waits for its first token, now or later, gets its final answer by `time`.
    /// Streams that have started continue.
    pub fn set_response_deadline(&mut self, time: Seconds) {
        self.answer_deadline = self.answer_deadline.min(time);
        for id in self.requests_awaiting_first_token() {
            self.shorten_deadlines(id);
        }
    }

    /// Limits a request's deadlines to the answer deadline. A queued request is removed from the queue before its deadlines
    /// change and queued again afterwards, because the queue finds it by its deadlines.
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

    /// Time until a request needs its first token: the client's time left, at most until the answer deadline.
    pub(super) fn time_left(&self, incoming: &IncomingRequest) -> Seconds {
        let client_time_left = if incoming.time_left.is_finite() {
            incoming.time_left
        } else {
            0.0
        };
        client_time_left
            .min(self.answer_deadline - self.now)
            .max(0.0)
    }
}
