//! The router's timers, ordered by the time at which they are due.

use super::request::AttemptId;
use super::time::MonotonicMicros;
use std::collections::BTreeSet;

/// What happens when a timer is due. Of two that are due at one time, the lesser one comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The scheduler has asked to be called.
    SchedulerWakeup,
    /// The first token of this attempt must have come.
    AttemptDeadline(AttemptId),
}

/// All timers that have not run yet.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    timers: BTreeSet<(MonotonicMicros, Timer)>,
}

impl TimerQueue {
    /// When the next timer is due, if there is any.
    pub(super) fn next_due(&self) -> Option<MonotonicMicros> {
        self.timers.first().map(|(due_at, _)| *due_at)
    }

    /// Sets a timer. The same timer set twice for one time runs once.
    pub(super) fn set(&mut self, due_at: MonotonicMicros, timer: Timer) {
        self.timers.insert((due_at, timer));
    }

    /// Takes a timer back that was set for this time; one that has run already is no error.
    pub(super) fn cancel(&mut self, due_at: MonotonicMicros, timer: Timer) {
        self.timers.remove(&(due_at, timer));
    }

    /// Takes out the first timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: MonotonicMicros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}

#[cfg(test)]
mod tests;
