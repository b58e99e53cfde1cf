//! The monotonic clock in whole microseconds, and Unix time beside it.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::routing::directory::ClockReading;
use crate::routing::MonotonicMicros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }
    /// The time now.
    pub fn now(self) -> MonotonicMicros {
        u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
    /// A time of this clock as the runtime's timers take it.
    pub fn instant(self, at: MonotonicMicros) -> tokio::time::Instant {
        (self.0 + Duration::from_micros(at)).into()
    }
    /// Both clocks at this moment.
    pub fn reading(self) -> ClockReading {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros());
        ClockReading {
            monotonic: self.now(),
            unix_us: i64::try_from(unix).unwrap_or(i64::MAX),
        }
    }
}
