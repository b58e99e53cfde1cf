//! When a router asks for the endpoint list, where the list is polled.

use crate::types::Seconds;

/// After a failed poll the next comes within this time: two such pauses and a call of 2.2 s stay below 6 s.
const RETRY_INTERVAL: Seconds = 1.84;
/// The part of that interval by which a retry is delayed at least.
const MIN_RETRY_PART: f64 = 0.1;
/// The first polls of routers that start together are spread over at most this time: the list is one slow service for all.
const MAX_START_SPREAD: Seconds = 3.0;
/// They are spread over this part of the poll interval, if that is shorter.
const START_SPREAD_PART: f64 = 1.0 / 4.0;

/// The schedule of polls. `spread` is this router's place among all of them, from 0 to 1.
#[derive(Default)]
pub(crate) struct EndpointPoll {
    next_poll_at: Option<Seconds>,
}

impl EndpointPoll {
    /// The router has started.
    pub(crate) fn schedule_first(&mut self, now: Seconds, poll_interval: Seconds, spread: f64) {
        let window = (poll_interval * START_SPREAD_PART).min(MAX_START_SPREAD);
        self.next_poll_at = Some(now + spread * window);
    }

    /// A poll has failed, or the watch that it began has broken.
    pub(crate) fn schedule_retry(&mut self, now: Seconds, spread: f64) {
        let part = MIN_RETRY_PART + (1.0 - MIN_RETRY_PART) * spread;
        self.next_poll_at = Some(now + RETRY_INTERVAL * part);
    }

    /// Whether a poll is due, which then counts as made.
    pub(crate) fn take_due(&mut self, now: Seconds) -> bool {
        let is_due = self.next_poll_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_poll_at = None;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
