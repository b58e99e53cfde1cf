//! The event queue and simulated clock of a simulation.
//!
//! Events with the same time are popped in the order in which they were scheduled, so that a run depends only on its
//! description, policy and seed. The clock never goes backwards.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct ScheduledEvent<T> {
    at: Micros,
    sequence_number: u64,
    event: T,
}

impl<T> PartialEq for ScheduledEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for ScheduledEvent<T> {}

impl<T> PartialOrd for ScheduledEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledEvent<T> {
    /// Reversed, because the heap pops its greatest element first: the greatest event is the earliest and, among events
    /// with the same time, the one that was scheduled first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence_number).cmp(&(self.at, self.sequence_number))
    }
}

/// Scheduled events, ordered by time.
pub struct EventQueue<T> {
    heap: BinaryHeap<ScheduledEvent<T>>,
    next_sequence_number: u64,
    now: Micros,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next_sequence_number: 0,
            now: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// The time of the event that was popped last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event. An event for a time in the past is scheduled for the current time.
    pub fn schedule(&mut self, at: Micros, event: T) {
        self.heap.push(ScheduledEvent {
            at: at.max(self.now),
            sequence_number: self.next_sequence_number,
            event,
        });
        self.next_sequence_number += 1;
    }

    /// Removes the next event and sets the clock to its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        let scheduled = self.heap.pop()?;
        self.now = scheduled.at;
        Some((scheduled.at, scheduled.event))
    }
}

#[cfg(test)]
mod tests;
