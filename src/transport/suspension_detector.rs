//! Detects that the process was suspended: its machine was paused, it was stopped by a signal, or its thread got no
//! processor time.
//!
//! The dispatcher's event loop runs at least once per timer interval of the scheduler, which is some milliseconds, and
//! records each iteration here. If much more time has passed since the last iteration, the process's state dates from that
//! iteration: input that its sockets have received since then is still unread.

use crate::routing::{DurationMicros, MonotonicMicros};
use std::cell::Cell;
use std::rc::Rc;

/// A longer gap between iterations counts as a suspension, in microseconds. The limit exceeds the 0.15 s for which the
/// environment may delay a process in normal operation.
const MAX_ITERATION_GAP: DurationMicros = 250_000;

/// Input that queued up in the kernel during a suspension has been read this long after it, in microseconds.
const BACKLOG_READ_TIME: DurationMicros = 50_000;

/// A suspension that the dispatcher has detected.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    detected_at: MonotonicMicros,
    duration: DurationMicros,
}

/// Records the iterations of the dispatcher's event loop. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct SuspensionDetector {
    /// `None` before the first iteration.
    last_iteration_at: Rc<Cell<Option<MonotonicMicros>>>,
    last_suspension: Rc<Cell<Option<Suspension>>>,
}

impl SuspensionDetector {
    /// Whether the process was suspended since the last recorded iteration.
    pub fn was_suspended(&self, now: MonotonicMicros) -> bool {
        self.time_since_iteration(now) > MAX_ITERATION_GAP
    }

    /// Whether the process was suspended after `at`. What was decided at that time must not take effect any more before the
    /// input that has arrived meanwhile is read.
    pub fn was_suspended_after(&self, at: MonotonicMicros, now: MonotonicMicros) -> bool {
        let last = self.last_suspension.get();
        self.was_suspended(now) || last.is_some_and(|last| last.detected_at > at)
    }

    /// The time since the last iteration; 0 before the first one.
    pub fn time_since_iteration(&self, now: MonotonicMicros) -> DurationMicros {
        let last_iteration_at = self.last_iteration_at.get().unwrap_or(now);
        now.saturating_sub(last_iteration_at)
    }

    /// How long bytes that are read now may have waited in the kernel during a suspension. 0 except during and shortly after
    /// a suspension.
    pub fn backlog_age(&self, now: MonotonicMicros) -> DurationMicros {
        if self.was_suspended(now) {
            return self.time_since_iteration(now);
        }
        self.remaining_backlog_age(now)
    }

    /// The duration of the last suspension, until its backlog has been read.
    fn remaining_backlog_age(&self, now: MonotonicMicros) -> DurationMicros {
        let last = self.last_suspension.get();
        last.filter(|last| now < last.detected_at.saturating_add(BACKLOG_READ_TIME))
            .map_or(0, |last| last.duration)
    }

    /// Records an iteration of the dispatcher's event loop.
    pub fn record_iteration(&self, now: MonotonicMicros) {
        if self.was_suspended(now) {
            // Input that queued up during the previous suspension may still be unread, so that one's duration is added.
            let last_iteration_at = self.last_iteration_at.get().unwrap_or(now);
            let duration =
                self.time_since_iteration(now) + self.remaining_backlog_age(last_iteration_at);
            self.last_suspension.set(Some(Suspension {
                detected_at: now,
                duration,
            }));
        }
        self.last_iteration_at.set(Some(now));
    }
}

#[cfg(test)]
mod tests;
