//! How many streams may be continued, so that recovery does not overload a fleet that is in trouble.

use crate::Micros;
use std::collections::VecDeque;

/// The window is divided into this many slices, so that memory is bounded.
const SLICE_COUNT: u64 = 16;

/// Bounds of what continuing streams may cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContinuationLimits {
    /// Continuations of one stream.
    pub max_per_stream: u32,
    /// Continuations as a part of the streams begun within the window.
    pub share: f64,
    /// This many are allowed within the window, however few streams there are.
    pub min_allowed: u32,
    /// The time looked back.
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

/// What happened within one slice of the window.
#[derive(Clone, Debug)]
struct Slice {
    begins_at: Micros,
    streams: u64,
    continuations: u64,
}

/// Streams and continuations within the window.
#[derive(Clone, Debug, Default)]
pub struct ContinuationBudget {
    /// The oldest first.
    slices: VecDeque<Slice>,
}

impl ContinuationBudget {
    /// Forgets slices that have left the window, and returns the present one.
    fn present_slice(&mut self, now: Micros, limits: &ContinuationLimits) -> &mut Slice {
        let width = (limits.window / SLICE_COUNT).max(1);
        let begins_at = now / width * width;
        let has_left = |slice: &Slice| now.saturating_sub(slice.begins_at) >= limits.window;
        while self.slices.front().is_some_and(has_left) {
            self.slices.pop_front();
        }
        if self
            .slices
            .back()
            .is_none_or(|slice| slice.begins_at < begins_at)
        {
            self.slices.push_back(Slice {
                begins_at,
                streams: 0,
                continuations: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// A stream has begun.
    pub fn record_stream(&mut self, now: Micros, limits: &ContinuationLimits) {
        self.present_slice(now, limits).streams += 1;
    }

    /// Takes one continuation if the limits allow it.
    pub fn try_take(&mut self, now: Micros, limits: &ContinuationLimits) -> bool {
        self.present_slice(now, limits);
        let streams: u64 = self.slices.iter().map(|slice| slice.streams).sum();
        let taken: u64 = self.slices.iter().map(|slice| slice.continuations).sum();
        let allowed = (streams as f64 * limits.share).max(f64::from(limits.min_allowed));
        let is_allowed = taken as f64 + 1.0 <= allowed;
        if is_allowed {
            self.present_slice(now, limits).continuations += 1;
        }
        is_allowed
    }
}
