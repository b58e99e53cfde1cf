//! The router's timers, ordered by due time.

use super::request::AttemptId;
use super::time::MonotonicMicros;
use std::collections::BTreeSet;

/// The purpose of a timer. Timers with the same due time run in the order of this type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The scheduler is called with a timer event.
    SchedulerWakeup,
    /// The attempt times out unless its first token has arrived.
    AttemptDeadline(AttemptId),
}

#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    timers: BTreeSet<(MonotonicMicros, Timer)>,
}

impl TimerQueue {
    pub(super) fn next_due(&self) -> Option<MonotonicMicros> {
        self.timers.first().map(|(due_at, _)| *due_at)
    }

    /// Sets a timer. A timer that is set twice for the same time runs once.
    pub(super) fn set(&mut self, due_at: MonotonicMicros, timer: Timer) {
        self.timers.insert((due_at, timer));
    }

    /// Cancels a timer that was set for this time. Does nothing if it has already run.
    pub(super) fn cancel(&mut self, due_at: MonotonicMicros, timer: Timer) {
        self.timers.remove(&(due_at, timer));
    }

    /// Removes and returns the first timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: MonotonicMicros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}

#[cfg(test)]
mod tests;
