//! What one process of a node leaves to the next: when it is believed. Bytes in and out, no file and no clock.

use poppykeel_scheduler::interface::LearnedState;
use poppykeel_site_settings::SiteNames;
use serde::{Deserialize, Serialize};

/// What is older than this, in milliseconds, tells of a fleet that has moved on: sessions' turns have gone elsewhere.
const MOST_AGE: i64 = 10_000;
/// Two looks at one wall clock may be so far apart the wrong way, in milliseconds.
const AHEAD: i64 = 1_000;
/// The longest record: sixteen thousand sessions take less than half of it.
pub const MAX_RECORD_BYTES: u64 = 2 << 20;
const FORMAT: u8 = 1;

/// Why a record is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedStateError {
    /// Not a record, or one cut short.
    Malformed,
    /// Of another format.
    UnsupportedFormat(u8),
    /// This process wrote it itself.
    WrittenByThisProcess,
    /// Of this many milliseconds ago.
    AgeOutOfRange(i64),
    /// Its kinds, classes or zones are others.
    DifferentSite,
    /// A figure that nothing can have taught.
    Implausible,
}

#[derive(Serialize, Deserialize)]
struct Record {
    format: u8,
    from: u64,
    unix_ms: i64,
    site: (Vec<String>, Vec<String>, Vec<String>),
    memory: LearnedState,
}

fn site(names: &SiteNames) -> (Vec<String>, Vec<String>, Vec<String>) {
    (
        names.host_types.clone(),
        names.classes.clone(),
        names.zones.clone(),
    )
}

/// A record as it is left: `from` tells this process from others, `unix_ms` is now.
pub fn encode(from: u64, unix_ms: i64, names: &SiteNames, memory: LearnedState) -> Vec<u8> {
    let record = Record {
        format: FORMAT,
        from,
        unix_ms,
        site: site(names),
        memory,
    };
    let bytes = postcard::to_stdvec(&record).unwrap_or_default();
    let sum = crc32fast::hash(&bytes).to_le_bytes();
    [&sum[..], &bytes].concat()
}

/// Reads a record as the process `me` finds it now.
///
/// # Errors
/// Why it is not believed.
pub fn decode(
    bytes: &[u8],
    me: u64,
    unix_ms: i64,
    names: &SiteNames,
) -> Result<LearnedState, LearnedStateError> {
    let (sum, rest) = bytes
        .split_first_chunk::<4>()
        .ok_or(LearnedStateError::Malformed)?;
    if crc32fast::hash(rest).to_le_bytes() != *sum {
        return Err(LearnedStateError::Malformed);
    }
    match rest.first() {
        Some(&FORMAT) => {}
        Some(format) => return Err(LearnedStateError::UnsupportedFormat(*format)),
        None => return Err(LearnedStateError::Malformed),
    }
    let record: Record = postcard::from_bytes(rest).map_err(|_| LearnedStateError::Malformed)?;
    let age = unix_ms.saturating_sub(record.unix_ms);
    match record {
        Record { from, .. } if from == me => Err(LearnedStateError::WrittenByThisProcess),
        _ if !(-AHEAD..=MOST_AGE).contains(&age) => Err(LearnedStateError::AgeOutOfRange(age)),
        Record { site: of, .. } if of != site(names) => Err(LearnedStateError::DifferentSite),
        Record { memory, .. } if !memory.is_plausible() => Err(LearnedStateError::Implausible),
        Record { memory, .. } => Ok(memory),
    }
}
