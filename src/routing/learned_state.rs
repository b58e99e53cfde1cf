//! Encodes and validates the record with which one process of a node hands the learned state of its scheduler to the next
//! process. This module handles bytes only: `transport::handover` reads and writes the file, and callers pass the time.
//!
//! A record consists of a CRC-32 (four bytes, little-endian) and a `postcard` body that the CRC-32 covers. `postcard` is
//! positional, so the order of the fields of [`LearnedState`] and of the record must not change within a format.

use poppykeel_scheduler::LearnedState;
use poppykeel_site_settings::SiteNames;
use serde::{Deserialize, Serialize};

/// Maximum age of a record, in milliseconds. After this time the next turns of the recorded sessions have already been sent
/// to other replicas.
const MAX_AGE_MS: i64 = 10_000;
/// How far in the future a record may be dated, in milliseconds: the wall clock may be set back between writing and reading.
const MAX_CLOCK_SKEW_MS: i64 = 1_000;
/// Maximum length of a record in bytes. The scheduler's session table, with up to 16,384 sessions, takes less than half of
/// it.
pub const MAX_RECORD_BYTES: u64 = 2 << 20;
/// Format number that this version writes and reads.
const FORMAT: u8 = 1;
const CHECKSUM_BYTES: usize = 4;

/// A random number that distinguishes a node's processes from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessToken(pub u64);

/// Why a record is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LearnedStateError {
    /// The bytes are not a record, or only a part of one.
    #[error("not a learned-state record, or truncated")]
    Malformed,
    /// The record has this format number.
    #[error("record format {0}, expected {FORMAT}")]
    UnsupportedFormat(u8),
    /// This process wrote the record itself.
    #[error("record written by this process itself")]
    WrittenByThisProcess,
    /// The record was written this many milliseconds ago; negative if it is dated in the future.
    #[error("record is {0} ms old, expected at most {MAX_AGE_MS} ms, or up to {MAX_CLOCK_SKEW_MS} ms in the future")]
    AgeOutOfRange(i64),
    /// The record's host types, classes or zones differ from those of this site.
    #[error("host types, classes or zones differ from this site's")]
    DifferentSite,
    /// The record contains a value that cannot result from traffic.
    #[error("learned state contains a value that cannot result from traffic")]
    Implausible,
}

/// The names behind the indices in the learned state. The indices are valid only on a site with the same names.
#[derive(PartialEq, Serialize, Deserialize)]
struct SiteIdentity {
    host_types: Vec<String>,
    classes: Vec<String>,
    zones: Vec<String>,
}

impl SiteIdentity {
    fn from_names(names: &SiteNames) -> Self {
        SiteIdentity {
            host_types: names.host_types.clone(),
            classes: names.classes.clone(),
            zones: names.zones.clone(),
        }
    }
}

/// The serialized record. The order of its fields is part of the format.
#[derive(Serialize, Deserialize)]
struct LearnedStateRecord {
    format: u8,
    writer: ProcessToken,
    unix_ms: i64,
    site: SiteIdentity,
    learned: LearnedState,
}

/// Encodes a record of the process `writer`. `unix_ms` is the current time in milliseconds of Unix time.
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
        site: SiteIdentity::from_names(names),
        learned,
    };
    let bytes = postcard::to_stdvec(&record).unwrap_or_default();
    let checksum = crc32fast::hash(&bytes).to_le_bytes();
    [&checksum[..], &bytes].concat()
}

/// Decodes and checks a record for the process `reader`. `unix_ms` is the current time in milliseconds of Unix time.
///
/// # Errors
/// Returns why the record is rejected.
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
    if record.site != SiteIdentity::from_names(names) {
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
