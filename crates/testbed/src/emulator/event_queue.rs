//! The calendar of a simulation: events by time, and the simulated clock.
//!
//! Events of the same time leave in the order in which they were scheduled, so that a run depends on nothing but its
//! description, its policy and its seed. The clock never runs backwards.

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
    /// Reversed, as the heap gives its greatest element first: the earliest, and of one time the first scheduled.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence_number).cmp(&(self.at, self.sequence_number))
    }
}

/// Events by time.
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
    /// The time of the event that was taken last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event; one for a time that has passed happens now.
    pub fn schedule(&mut self, at: Micros, event: T) {
        self.heap.push(ScheduledEvent {
            at: at.max(self.now),
            sequence_number: self.next_sequence_number,
            event,
        });
        self.next_sequence_number += 1;
    }

    /// Takes the next event and sets the clock to its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        let scheduled = self.heap.pop()?;
        self.now = scheduled.at;
        Some((scheduled.at, scheduled.event))
    }
}

#[cfg(test)]
mod tests;
