//! Time types of the router and their conversion to and from the scheduler's seconds.

use poppykeel_scheduler::Seconds;

const MICROS_PER_SECOND: f64 = 1e6;

/// A point in time: microseconds since the start of the node's monotonic clock.
pub type MonotonicMicros = u64;

/// A duration in whole microseconds.
pub type DurationMicros = u64;

/// Readings of both clocks at the same moment, to map the time of one clock to the other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// Reading of the monotonic clock.
    pub monotonic: MonotonicMicros,
    /// Reading of the wall clock, in microseconds of Unix time.
    pub unix_us: i64,
}

/// Converts a point in time to the scheduler's seconds.
pub fn seconds(time: MonotonicMicros) -> Seconds {
    time as f64 / MICROS_PER_SECOND
}

/// Rounds a duration in seconds to whole microseconds. A negative duration and NaN become 0.
pub fn duration_micros(duration: Seconds) -> DurationMicros {
    (duration.max(0.0) * MICROS_PER_SECOND).round() as DurationMicros
}

/// Converts a point in time of the scheduler to whole microseconds, rounding down.
pub(super) fn monotonic_micros(time: Seconds) -> MonotonicMicros {
    (time * MICROS_PER_SECOND) as MonotonicMicros
}
