//! The conversion of times: descriptions have seconds, the emulator counts whole microseconds.

use crate::Micros;

/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MS: Micros = 1_000;

/// Seconds of a description in microseconds; negative ones are 0.
pub(super) fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}
