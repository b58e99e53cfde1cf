//! Conversion of times to integers, which have a total order and can be map keys, and the time for which a process may stall.

use crate::types::Seconds;

const MICROS_PER_SECOND: f64 = 1e6;

/// Allowance for a stall of the router process between reading its clock and writing an attempt.
pub(crate) const MAX_PROCESS_STALL: Seconds = 0.15;

/// Converts to whole microseconds; negative times become 0.
pub(crate) fn to_micros(time: Seconds) -> u64 {
    (time * MICROS_PER_SECOND) as u64
}
