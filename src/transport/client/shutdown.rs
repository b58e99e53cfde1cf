//! The order to stop, and what a node may still begin after it.
//!
//! A process that is told to end may be killed as soon as the longest deadline and a fixed allowance have passed. Each
//! request that it admits until then has to have its final answer before, so admission, reading and waiting all end at
//! times reckoned from the order itself, whatever way a request comes by and however long the process stood still.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The platform counts a request against the node if it comes later than this after the order and stays unanswered.
const ALLOWANCE: Duration = Duration::from_millis(700);
/// The platform waits for the longest deadline before it kills the process, but counts no more than this of it.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// The process may be held up for 0.15 s between reading its clock and writing; the rest is for its own work.
const MARGIN: Duration = Duration::from_millis(200);

/// Requests are admitted until so long after the order, and no connection is accepted or kept at rest after that. New
/// connections come for up to 0.4 s.
pub const ADMISSION: Duration = ALLOWANCE.saturating_sub(MARGIN);
/// A request that has begun to arrive may take so much longer to become whole.
pub const LAST_READ: Duration = Duration::from_millis(250);
/// Requests that still wait for their first token so long after the order get their final answer then: a process may be
/// killed 3.7 s after it. Shorter deadlines end by themselves before the earlier kill that they bring about.
pub const FINAL_ANSWERS: Duration = LONGEST_DEADLINE
    .saturating_add(ALLOWANCE)
    .saturating_sub(MARGIN);

/// The order to stop, once it has come. It can't be taken back.
#[derive(Debug, Default)]
pub struct Shutdown {
    ordered_at: Cell<Option<Instant>>,
}

impl Shutdown {
    /// The order has come; a second one changes nothing.
    pub fn order(&self) {
        if self.ordered_at.get().is_none() {
            self.ordered_at.set(Some(Instant::now()));
        }
    }

    /// How long ago the order came; nothing before it.
    pub fn elapsed(&self) -> Option<Duration> {
        self.ordered_at.get().map(|at| at.elapsed())
    }

    /// The same in milliseconds, for the log.
    pub fn elapsed_ms(&self) -> Option<u64> {
        self.elapsed().map(|elapsed| elapsed.as_millis() as u64)
    }

    /// Whether a request that is whole now may go on to a replica. Asks the clock, not the phase: a process that stood
    /// still learns of its phase and of what came meanwhile in one turn.
    pub fn admits(&self) -> bool {
        self.elapsed().is_none_or(|elapsed| elapsed < ADMISSION)
    }

    /// When a request that has begun to arrive is no longer read; nothing before the order.
    pub fn reading_ends(&self) -> Option<Instant> {
        self.ordered_at.get().map(|at| at + ADMISSION + LAST_READ)
    }
}

#[cfg(test)]
mod tests;
