//! The schedule of polls of the endpoint list.

use crate::types::Seconds;

/// A failed poll is retried within this time. A change counts as known to all routers 6 s after discovery has it, even if a
/// router has not received it; two retries and an answer from a busy discovery service, which takes up to 2.2 s, must fit
/// into that time.
const RETRY_INTERVAL: Seconds = 1.84;
/// The minimum delay of a retry as a fraction of [`RETRY_INTERVAL`].
const MIN_RETRY_FRACTION: f64 = 0.1;
/// The first polls of routers that start together are spread over at most this time, because discovery is one slow service.
const MAX_START_SPREAD: Seconds = 3.0;
/// The first polls are spread over this fraction of the poll interval, if that is shorter.
const START_SPREAD_FRACTION: f64 = 1.0 / 4.0;

/// The time of the next poll. The methods' parameter `spread` is this router's position among all routers, from 0 to 1, and
/// keeps routers from polling at the same time.
#[derive(Default)]
pub(crate) struct EndpointPoll {
    next_poll_at: Option<Seconds>,
}

impl EndpointPoll {
    pub(crate) fn schedule_first(&mut self, now: Seconds, poll_interval: Seconds, spread: f64) {
        let window = (poll_interval * START_SPREAD_FRACTION).min(MAX_START_SPREAD);
        self.next_poll_at = Some(now + spread * window);
    }

    /// Schedules the next poll after a failed poll or a broken watch.
    pub(crate) fn schedule_retry(&mut self, now: Seconds, spread: f64) {
        let fraction = MIN_RETRY_FRACTION + (1.0 - MIN_RETRY_FRACTION) * spread;
        self.next_poll_at = Some(now + RETRY_INTERVAL * fraction);
    }

    /// Returns whether a poll is due, and removes it from the schedule.
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
