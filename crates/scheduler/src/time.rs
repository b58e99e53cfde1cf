//! Conversion of times to integers, which have a total order and can be map keys.

use crate::types::Seconds;

const MICROS_PER_SECOND: f64 = 1e6;

/// Converts to whole microseconds; negative times become 0.
pub(crate) fn to_micros(time: Seconds) -> u64 {
    (time * MICROS_PER_SECOND) as u64
}
