//! What the module decides for a router that ends: nobody is kept waiting beyond the router's own life.
//! The types are in `interface.rs`.

use super::*;

impl Brain {
    /// The router ends: every request that waits for its first token, now or later, has its final answer
    /// by this time. Streams that have begun go on.
    pub fn answer_all_by(&mut self, time: Seconds) {
        self.answer_by = self.answer_by.min(time);
        for request in self.requests.values_mut().filter(|r| !r.ended && !r.streaming()) {
            request.deadline = request.deadline.min(self.answer_by);
            request.useful_until = request.useful_until.min(self.answer_by);
        }
    }

    /// The time in which an arrival needs its first token: its client's patience, within the router's life.
    pub(super) fn time_left(&self, arrival: &Arrival) -> Seconds {
        let patience = if arrival.time_left.is_finite() { arrival.time_left } else { 0.0 };
        patience.min(self.answer_by - self.now).max(0.0)
    }
}
