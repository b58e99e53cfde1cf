//! The record in which one process of a node leaves what its scheduler has learned to the next, and the checks that decide
//! whether the next one uses it. Bytes in and out: the file is `transport::handover`'s, and the time is given.
//!
//! A record is four bytes of CRC-32 (little-endian) over the rest, and the rest is `postcard`: positional, so that no field
//! of [`LearnedState`] or of the record changes its place within a format.

use poppykeel_scheduler::LearnedState;
use poppykeel_site_settings::SiteNames;
use serde::{Deserialize, Serialize};

/// The oldest record that is used, in milliseconds: after that the turns of its sessions have gone elsewhere.
const MAX_AGE_MS: i64 = 10_000;
/// How far a record may lie in the future, in milliseconds: the wall clock may have been set back between two readings.
const MAX_CLOCK_SKEW_MS: i64 = 1_000;
/// The longest record in bytes: sixteen thousand sessions take less than half of it.
pub const MAX_RECORD_BYTES: u64 = 2 << 20;
/// The format that this version writes and reads.
const FORMAT: u8 = 1;
const CHECKSUM_BYTES: usize = 4;

/// A random number that tells one process of a node from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessToken(pub u64);

/// Why a record is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LearnedStateError {
    /// The bytes are not a record, or a part of one.
    #[error("not a record of learned state, or one cut short")]
    Malformed,
    /// The record is of another format.
    #[error("format {0}, expected {FORMAT}")]
    UnsupportedFormat(u8),
    /// This process wrote the record itself.
    #[error("written by this process itself")]
    WrittenByThisProcess,
    /// The record was written this many milliseconds ago; negative where it lies in the future.
    #[error("written {0} ms ago, expected at most {MAX_AGE_MS} ms")]
    AgeOutOfRange(i64),
    /// The host types, classes or zones of the record are not those of this site.
    #[error("host types, classes or zones of another site")]
    DifferentSite,
    /// The record holds a value that no traffic can have taught.
    #[error("a value that cannot have been learned")]
    Implausible,
}

/// What must be the same for learned indices to mean the same.
#[derive(PartialEq, Serialize, Deserialize)]
struct SiteIdentity {
    host_types: Vec<String>,
    classes: Vec<String>,
    zones: Vec<String>,
}

impl SiteIdentity {
    fn of(names: &SiteNames) -> Self {
        SiteIdentity {
            host_types: names.host_types.clone(),
            classes: names.classes.clone(),
            zones: names.zones.clone(),
        }
    }
}

/// The record as it is serialised: the order of the fields is part of the format.
#[derive(Serialize, Deserialize)]
struct LearnedStateRecord {
    format: u8,
    writer: ProcessToken,
    unix_ms: i64,
    site: SiteIdentity,
    learned: LearnedState,
}

/// Writes a record at `unix_ms` milliseconds of Unix time, as the process `writer`.
pub fn encode(
    writer: ProcessToken,
    unix_ms: i64,
    names: &SiteNames,
    learned: LearnedState,
) -> Vec<u8> {
    let record = LearnedStateRecord {
        format: FORMAT,
        writer,
        unix_ms,
        site: SiteIdentity::of(names),
        learned,
    };
    let bytes = postcard::to_stdvec(&record).unwrap_or_default();
    let checksum = crc32fast::hash(&bytes).to_le_bytes();
    [&checksum[..], &bytes].concat()
}

/// Reads a record at `unix_ms` milliseconds of Unix time, as the process `reader`.
///
/// # Errors
/// Returns why the record must not be used.
pub fn decode(
    bytes: &[u8],
    reader: ProcessToken,
    unix_ms: i64,
    names: &SiteNames,
) -> Result<LearnedState, LearnedStateError> {
    let record = parse(bytes)?;
    if record.writer == reader {
        return Err(LearnedStateError::WrittenByThisProcess);
    }
    let age_ms = unix_ms.saturating_sub(record.unix_ms);
    if !(-MAX_CLOCK_SKEW_MS..=MAX_AGE_MS).contains(&age_ms) {
        return Err(LearnedStateError::AgeOutOfRange(age_ms));
    }
    if record.site != SiteIdentity::of(names) {
        return Err(LearnedStateError::DifferentSite);
    }
    if !record.learned.is_plausible() {
        return Err(LearnedStateError::Implausible);
    }
    Ok(record.learned)
}

fn parse(bytes: &[u8]) -> Result<LearnedStateRecord, LearnedStateError> {
    let (checksum, body) = bytes
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(LearnedStateError::Malformed)?;
    if crc32fast::hash(body).to_le_bytes() != *checksum {
        return Err(LearnedStateError::Malformed);
    }
    match body.first() {
        Some(&FORMAT) => {}
        Some(format) => return Err(LearnedStateError::UnsupportedFormat(*format)),
        None => return Err(LearnedStateError::Malformed),
    }
    postcard::from_bytes(body).map_err(|_| LearnedStateError::Malformed)
}
