//! Notices that the process stood still: its machine was paused, it was stopped by a signal, or its thread got no processor.
//!
//! The dispatcher has a turn at least once in the scheduler's timer interval of some milliseconds, and records it here. If a
//! much longer time has passed since the last one, what the process knows is of that time, whatever has been written to its
//! sockets meanwhile.

use crate::routing::{DurationMicros, MonotonicMicros};
use std::cell::Cell;
use std::rc::Rc;

/// The platform allows for a process that is held up for 0.15 s; more than this is taken for a suspension.
const MAX_TURN_GAP: DurationMicros = 250_000;

/// What waited in the kernel during a suspension has been read this long after it.
const BACKLOG_TIME: DurationMicros = 50_000;

/// A suspension that the dispatcher has noticed.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    noticed_at: MonotonicMicros,
    span: DurationMicros,
}

/// When the dispatcher had its last turn. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct TurnClock {
    /// `None` before the first turn.
    last_turn_at: Rc<Cell<Option<MonotonicMicros>>>,
    last_suspension: Rc<Cell<Option<Suspension>>>,
}

impl TurnClock {
    /// Whether the process was suspended since the last turn, and the dispatcher has not dealt with that yet.
    pub fn was_suspended(&self, now: MonotonicMicros) -> bool {
        self.time_since_turn(now) > MAX_TURN_GAP
    }

    /// The time since the last turn; none before the first one.
    pub fn time_since_turn(&self, now: MonotonicMicros) -> DurationMicros {
        let last_turn_at = self.last_turn_at.get().unwrap_or(now);
        now.saturating_sub(last_turn_at)
    }

    /// How long bytes that are read now may have waited in the kernel while the process stood still. None but for a moment
    /// after a suspension.
    pub fn backlog_age(&self, now: MonotonicMicros) -> DurationMicros {
        if self.was_suspended(now) {
            return self.time_since_turn(now);
        }
        self.backlog_of_last(now)
    }

    /// The length of the last suspension, for a moment after it.
    fn backlog_of_last(&self, now: MonotonicMicros) -> DurationMicros {
        let last = self.last_suspension.get();
        last.filter(|last| now < last.noticed_at.saturating_add(BACKLOG_TIME))
            .map_or(0, |last| last.span)
    }

    /// Notes a turn.
    pub fn record_turn(&self, now: MonotonicMicros) {
        if self.was_suspended(now) {
            // What waited through the suspension before may not have been read between the two.
            let last_turn_at = self.last_turn_at.get().unwrap_or(now);
            let span = self.time_since_turn(now) + self.backlog_of_last(last_turn_at);
            self.last_suspension.set(Some(Suspension {
                noticed_at: now,
                span,
            }));
        }
        self.last_turn_at.set(Some(now));
    }
}

#[cfg(test)]
mod tests;
