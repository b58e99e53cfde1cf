//! Clock readings as the router takes them, and their conversion from and to the scheduler's seconds.

use poppykeel_scheduler::Seconds;

const MICROS_PER_SECOND: f64 = 1e6;

/// A point in time: microseconds on the node's monotonic clock since it was started.
pub type MonotonicMicros = u64;

/// A span of time in whole microseconds.
pub type DurationMicros = u64;

/// Both clocks read at one moment, to map a time of the one to a time of the other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic: MonotonicMicros,
    /// Microseconds of Unix time.
    pub unix_us: i64,
}

/// A point in time as the scheduler takes it.
pub fn seconds(time: MonotonicMicros) -> Seconds {
    time as f64 / MICROS_PER_SECOND
}

/// A span of the scheduler's, rounded to whole microseconds. A negative span and one that is not a number count as none.
pub fn duration_micros(span: Seconds) -> DurationMicros {
    (span.max(0.0) * MICROS_PER_SECOND).round() as DurationMicros
}

/// A time of the scheduler's clock, cut to whole microseconds.
pub(super) fn monotonic_micros(time: Seconds) -> MonotonicMicros {
    (time * MICROS_PER_SECOND) as MonotonicMicros
}
