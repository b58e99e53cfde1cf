//! Shutdown of a node: the time limits for work that may still begin after the shutdown signal.
//!
//! The platform is the environment that starts the process, sends the shutdown signal and may later kill the process: at
//! the earliest when the longest deadline of a request (counted as at most 3 s) and 0.7 s have passed since the signal.
//! Every admitted request must have its final response before that. So the time limits of admitting, reading and waiting all
//! run from the signal, for new and existing connections alike, and also while the process is suspended.
//!
//! `program::serve` begins the shutdown. Client connections check here whether a request may be admitted and until when one
//! may be read.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The platform waits this much longer than the longest deadline before it kills the process. A request that arrives later
/// than this after the shutdown signal and gets no response counts as an error of the node.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// The platform waits for the longest deadline of a request, but for at most this long, before it kills the process.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The process may be suspended for 0.15 s between reading its clock and writing; the remaining 0.05 s is for its own work.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// Requests are admitted until this time after the shutdown signal; afterwards no connection is accepted or kept idle.
/// Clients may open new connections for up to 0.4 s after the signal.
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
