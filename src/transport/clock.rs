//! The monotonic clock in whole microseconds, and Unix time beside it.

use crate::routing::{ClockReading, MonotonicMicros};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts microseconds from the moment at which it was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(self) -> MonotonicMicros {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// A time of this clock as the runtime's timers take it.
    pub fn instant(self, at: MonotonicMicros) -> tokio::time::Instant {
        (self.started_at + Duration::from_micros(at)).into()
    }

    /// Both clocks now. Unix time before 1970 counts as 0.
    pub fn reading(self) -> ClockReading {
        let unix_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_micros());
        ClockReading {
            monotonic: self.now(),
            unix_us: i64::try_from(unix_us).unwrap_or(i64::MAX),
        }
    }
}
