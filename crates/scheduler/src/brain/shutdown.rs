//! What the module decides for a router that ends: nobody is kept waiting beyond the router's own life.
//! The types are in `interface.rs`.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]

use super::*;

impl Scheduler {
    /// The router ends: every request that waits for its first token, now or later, has its final answer
    /// by this time. Streams that have begun go on.
    pub fn set_answer_deadline(&mut self, time: Seconds) {
        self.answer_by = self.answer_by.min(time);
        let waits = self
            .requests
            .iter()
            .filter(|(_, request)| !request.ended && !request.streaming());
        for id in waits.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.shorten(id);
        }
    }

    /// Brings a request's times within the router's life. The backlog finds a held one by its times.
    fn shorten(&mut self, id: RequestId) {
        let held = self.requests.get(&id).is_some_and(|request| request.queued);
        self.hold(id, false);
        if let Some(request) = self.requests.get_mut(&id) {
            request.deadline = request.deadline.min(self.answer_by);
            request.useful_until = request.useful_until.min(self.answer_by);
        }
        self.hold(id, held);
    }

    /// The time in which an arrival needs its first token: its client's patience, within the router's life.
    pub(super) fn time_left(&self, arrival: &IncomingRequest) -> Seconds {
        let patience = if arrival.time_left.is_finite() {
            arrival.time_left
        } else {
            0.0
        };
        patience.min(self.answer_by - self.now).max(0.0)
    }
}
