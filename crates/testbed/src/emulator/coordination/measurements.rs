//! Measurements of the coordination: messages sent, lease holders, and repeated attempts beyond the budget.

use super::super::outcome::MessageRate;
use crate::Micros;

/// Messages sent. Compared by their number first, then by their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MessageCounts {
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

impl MessageCounts {
    pub(super) fn rate_over(self, seconds: f64) -> MessageRate {
        MessageRate {
            messages_per_second: self.messages as f64 / seconds,
            bytes_per_second: self.bytes as f64 / seconds,
        }
    }
}

/// A leaky bucket that repeated attempts fill and that drains at the rate of the budget. Its highest level is the
/// largest excess of repeats over that rate in any window.
#[derive(Default)]
pub(super) struct RepeatBucket {
    level: f64,
    updated_at: Micros,
    max_level: f64,
}

impl RepeatBucket {
    /// Adds one repeat. `rate` is the budget in repeats per second.
    pub(super) fn add(&mut self, now: Micros, rate: f64) {
        let drained = rate * (now - self.updated_at) as f64 / 1e6;
        self.level = (self.level - drained).max(0.0) + 1.0;
        self.updated_at = now;
        self.max_level = self.max_level.max(self.level);
    }

    pub(super) fn max_level(&self) -> f64 {
        self.max_level
    }
}

/// Monitors how many nodes hold the lease.
#[derive(Default)]
pub(super) struct HolderMonitor {
    /// Checks that found more than one holder.
    overlap_count: u64,
    /// The latest check that found a holder; `None` before the first one.
    last_held_at: Option<Micros>,
    /// The longest time without a holder since the lease was first held.
    longest_without: Micros,
}

impl HolderMonitor {
    pub(super) fn record(&mut self, now: Micros, holder_count: usize) {
        if holder_count > 1 {
            self.overlap_count += 1;
        }
        if holder_count > 0 {
            self.last_held_at = Some(now);
        } else if let Some(last_held_at) = self.last_held_at {
            self.longest_without = self.longest_without.max(now - last_held_at);
        }
    }

    pub(super) fn overlap_count(&self) -> u64 {
        self.overlap_count
    }

    pub(super) fn longest_without(&self) -> Micros {
        self.longest_without
    }
}
