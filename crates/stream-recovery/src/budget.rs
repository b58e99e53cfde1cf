//! Limits the number of continuations, so that they do not overload a fleet that is already failing. A continuation
//! requests the remaining text of an interrupted stream from another replica.

use crate::Micros;
use std::collections::VecDeque;

/// Number of slices that the window is divided into. Counts are stored per slice, not per stream, to bound memory use.
const SLICE_COUNT: u64 = 16;

/// Limits on the number of continuations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContinuationLimits {
    /// Maximum number of continuations per stream.
    pub max_per_stream: u32,
    /// Maximum ratio of continuations to streams started within the window.
    pub share: f64,
    /// Number of continuations always allowed within the window, however few streams were started.
    pub min_allowed: u32,
    /// Length of the sliding window, in microseconds.
    pub window: Micros,
}

impl Default for ContinuationLimits {
    fn default() -> Self {
        ContinuationLimits {
            max_per_stream: 2,
            share: 0.1,
            min_allowed: 3,
            window: 30_000_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Slice {
    start: Micros,
    streams: u64,
    continuations: u64,
}

/// Counts streams and continuations within the sliding window.
#[derive(Clone, Debug, Default)]
pub struct ContinuationBudget {
    /// Oldest first.
    slices: VecDeque<Slice>,
}

impl ContinuationBudget {
    /// Removes slices that are outside the window and returns the current slice.
    fn current_slice(&mut self, now: Micros, limits: &ContinuationLimits) -> &mut Slice {
        let width = (limits.window / SLICE_COUNT).max(1);
        let start = now / width * width;
        let is_expired = |slice: &Slice| now.saturating_sub(slice.start) >= limits.window;
        while self.slices.front().is_some_and(is_expired) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.start < start) {
            self.slices.push_back(Slice {
                start,
                streams: 0,
                continuations: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Counts a stream that has started.
    pub fn record_stream(&mut self, now: Micros, limits: &ContinuationLimits) {
        self.current_slice(now, limits).streams += 1;
    }

    /// Counts one continuation and returns true if the limits allow it.
    pub fn try_take(&mut self, now: Micros, limits: &ContinuationLimits) -> bool {
        self.current_slice(now, limits);
        let streams: u64 = self.slices.iter().map(|slice| slice.streams).sum();
        let taken: u64 = self.slices.iter().map(|slice| slice.continuations).sum();
        let allowed = (streams as f64 * limits.share).max(f64::from(limits.min_allowed));
        let is_allowed = taken as f64 + 1.0 <= allowed;
        if is_allowed {
            self.current_slice(now, limits).continuations += 1;
        }
        is_allowed
    }
}
