//! The order to stop, and what a node may still begin after it.
//!
//! A process that is told to end may be killed as soon as the longest deadline of a request and a fixed allowance have
//! passed. Each request that the node admits until then must have its final response before. So admission, reading and
//! waiting all end at times counted from the order itself, whatever way a request comes by and however long the process was
//! suspended.
//!
//! `program::serve` gives the order. Connections of clients ask whether a request may be admitted and until when one may be
//! read.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The platform counts a request against the node if it comes later than this after the order and stays unanswered.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// The platform waits for the longest deadline before it kills the process, but counts no more than this of it.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The process may be suspended for 0.15 s between reading its clock and writing; the remainder is for its own work.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// Requests are admitted until this time after the order, and no connection is accepted or kept idle after it. New
/// connections come for up to 0.4 s.
pub const ADMISSION_DURATION: Duration = KILL_ALLOWANCE.saturating_sub(SAFETY_MARGIN);
/// A request that has begun to arrive may take this much longer to be complete.
pub const LAST_READ_DURATION: Duration = Duration::from_millis(250);
/// Requests that still wait for their first token this long after the order get their final response then: a process may be
/// killed 3.7 s after it. Shorter deadlines end by themselves before the earlier kill that they bring about.
pub const FINAL_RESPONSE_TIMEOUT: Duration = MAX_COUNTED_DEADLINE
    .saturating_add(KILL_ALLOWANCE)
    .saturating_sub(SAFETY_MARGIN);

/// The order to stop, once it has been given. It can't be taken back.
#[derive(Debug, Default)]
pub struct Shutdown {
    ordered_at: Cell<Option<Instant>>,
}

impl Shutdown {
    /// Gives the order; a second one changes nothing.
    pub fn begin(&self) {
        if self.ordered_at.get().is_none() {
            self.ordered_at.set(Some(Instant::now()));
        }
    }

    /// How long ago the order was given; `None` before it.
    pub fn elapsed(&self) -> Option<Duration> {
        self.ordered_at.get().map(|at| at.elapsed())
    }

    /// The same in milliseconds, for the log.
    pub fn elapsed_ms(&self) -> Option<u64> {
        self.elapsed().map(|elapsed| elapsed.as_millis() as u64)
    }

    /// Whether a request that is complete now may go on to a replica. This reads the clock and not the node's phase: a
    /// process that was suspended learns of its phase and of what has come meanwhile in one turn.
    pub fn admits_requests(&self) -> bool {
        self.elapsed()
            .is_none_or(|elapsed| elapsed < ADMISSION_DURATION)
    }

    /// When a request that has begun to arrive is no longer read; `None` before the order.
    pub fn read_deadline(&self) -> Option<Instant> {
        let ordered_at = self.ordered_at.get();
        ordered_at.map(|at| at + ADMISSION_DURATION + LAST_READ_DURATION)
    }
}

#[cfg(test)]
mod tests;
