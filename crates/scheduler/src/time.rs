//! Times as keys that can be ordered.

use crate::types::Seconds;

const MICROS_PER_SECOND: f64 = 1e6;

/// A time as a whole number of microseconds; what is below zero counts as zero.
pub(crate) fn to_micros(time: Seconds) -> u64 {
    (time * MICROS_PER_SECOND) as u64
}
