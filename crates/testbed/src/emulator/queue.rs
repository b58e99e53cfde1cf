//! The queue of events to come. Events of one time leave in the order in which they were put in, so that a run
//! depends on nothing but its description and its seed.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Item<T> {
    at: Micros,
    number: u64,
    what: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    /// The heap gives its greatest first: the earliest, of one time the one put in first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events by time.
pub struct EventQueue<T> {
    heap: BinaryHeap<Item<T>>,
    next: u64,
    now: Micros,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next: 0,
            now: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// The time of the event that was taken last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Puts in an event; one for a time that has passed happens now.
    pub fn put(&mut self, at: Micros, what: T) {
        self.heap.push(Item {
            at: at.max(self.now),
            number: self.next,
            what,
        });
        self.next += 1;
    }

    /// Takes the next event.
    pub fn take(&mut self) -> Option<(Micros, T)> {
        let item = self.heap.pop()?;
        self.now = item.at;
        Some((item.at, item.what))
    }
}

#[cfg(test)]
mod tests;
