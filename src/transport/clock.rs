//! A monotonic clock in whole microseconds, and Unix time.

use crate::routing::{ClockReading, MonotonicMicros};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts microseconds since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Self {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The microseconds since the start.
    pub fn now(self) -> MonotonicMicros {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Converts a time of this clock to an instant for the runtime's timers.
    pub fn instant(self, at: MonotonicMicros) -> tokio::time::Instant {
        (self.started_at + Duration::from_micros(at)).into()
    }

    /// Reads this clock and the machine's Unix time. Unix time before 1970 is returned as 0.
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
