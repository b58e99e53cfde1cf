//! Shutdown of a node: the time limits for work that may still begin after the shutdown signal.
//!
//! After the shutdown signal a process may be killed as soon as the longest deadline of a request and a fixed allowance have
//! passed. Every request admitted by then must have its final response before. So the time limits of admitting, reading and
//! waiting are all counted from the signal, for new and existing connections alike, and also if the process is suspended in
//! between.
//!
//! `program::serve` begins the shutdown. Client connections check here whether a request may be admitted and until when one
//! may be read.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The platform counts a request against the node if it arrives later than this after the shutdown signal and stays
/// unanswered.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// The platform waits for the longest deadline before it kills the process, but for at most this long.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The process may be suspended for 0.15 s between reading its clock and writing; the remaining 0.05 s is for its own work.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// Requests are admitted until this time after the shutdown signal; afterwards no connection is accepted or kept idle. New
/// connections arrive for up to 0.4 s after the signal.
pub const ADMISSION_DURATION: Duration = KILL_ALLOWANCE.saturating_sub(SAFETY_MARGIN);
/// After the end of admission, a request that has begun to arrive must be complete within this time.
pub const LAST_READ_DURATION: Duration = Duration::from_millis(250);
/// Requests that still wait for their first token this long after the shutdown signal get a final response then, since the
/// process may be killed 3.7 s after the signal. Shorter deadlines cause an earlier kill, but such requests end before that
/// by their deadlines.
pub const FINAL_RESPONSE_TIMEOUT: Duration = MAX_COUNTED_DEADLINE
    .saturating_add(KILL_ALLOWANCE)
    .saturating_sub(SAFETY_MARGIN);

/// The node's shutdown. Once begun, it can't be cancelled.
#[derive(Debug, Default)]
pub struct Shutdown {
    started_at: Cell<Option<Instant>>,
}

impl Shutdown {
    /// Begins the shutdown; further calls have no effect.
    pub fn begin(&self) {
        if self.started_at.get().is_none() {
            self.started_at.set(Some(Instant::now()));
        }
    }

    /// Time since the shutdown signal; `None` before it.
    pub fn elapsed(&self) -> Option<Duration> {
        self.started_at.get().map(|at| at.elapsed())
    }

    /// Milliseconds since the shutdown signal, for the log; `None` before it.
    pub fn elapsed_ms(&self) -> Option<u64> {
        self.elapsed().map(|elapsed| elapsed.as_millis() as u64)
    }

    /// Whether a request that is complete now may be sent to a replica. This depends on the clock rather than the node's
    /// phase: a process that was suspended sees the new phase and the input queued meanwhile at the same time.
    pub fn admits_requests(&self) -> bool {
        self.elapsed()
            .is_none_or(|elapsed| elapsed < ADMISSION_DURATION)
    }

    /// Time after which a partially received request is no longer read; `None` before the shutdown signal.
    pub fn read_deadline(&self) -> Option<Instant> {
        let started_at = self.started_at.get();
        started_at.map(|at| at + ADMISSION_DURATION + LAST_READ_DURATION)
    }
}

#[cfg(test)]
mod tests;
