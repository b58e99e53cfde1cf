//! Conversion of times: descriptions use seconds, the emulator whole microseconds.

use crate::Micros;

pub(super) const MICROS_PER_MS: Micros = 1_000;

/// Converts seconds of a description to microseconds; negative values become 0.
pub(super) fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}
