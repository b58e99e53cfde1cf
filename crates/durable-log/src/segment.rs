//! Segment files: naming and parsing.

use super::error::LogError;
use super::record::{self, RecordKind, FORMAT_VERSION, HEADER_BYTES};

/// File extension of a segment that is still being written.
pub(crate) const TEMPORARY_EXTENSION: &str = ".new";
/// File extension of a complete segment.
const SEGMENT_EXTENSION: &str = ".log";
/// Number of digits of a segment number in a file name.
const NUMBER_DIGITS: usize = 16;

pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:0NUMBER_DIGITS$}{SEGMENT_EXTENSION}")
}

/// The file name of a segment while it is being written.
pub(crate) fn temporary_name(number: u64) -> String {
    format!("{number:0NUMBER_DIGITS$}{TEMPORARY_EXTENSION}")
}

/// The number of the segment with this file name; `None` if the name is not that of a segment.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SEGMENT_EXTENSION)?;
    if digits.len() != NUMBER_DIGITS {
        return None;
    }
    digits.parse().ok()
}

#[derive(Debug)]
pub(crate) struct SegmentContents {
    /// The records' payloads, oldest first.
    pub payloads: Vec<Vec<u8>>,
    /// The sequence number of the last record.
    pub last_sequence: u64,
    /// Length of the header and all complete records, in bytes. Any bytes after them are a torn write.
    pub valid_bytes: usize,
}

/// Parses a segment.
///
/// Bytes after the last complete record are a torn write. If another complete record follows them, a record in the
/// middle is corrupt. A segment is renamed to its final name only after its compaction is durable, so a segment without
/// the end of the compaction is corrupt too.
///
/// # Errors
/// [`LogError::Corrupt`] and [`LogError::UnsupportedFormat`].
pub(crate) fn read_segment(file: &str, bytes: &[u8]) -> Result<SegmentContents, LogError> {
    check_format(file, bytes)?;
    let mut payloads = Vec::new();
    let mut last_sequence = 0;
    let mut offset = HEADER_BYTES;
    let mut is_compaction_complete = false;
    while let Some(record) = record::decode(&bytes[offset..]) {
        if last_sequence != 0 && record.sequence != last_sequence + 1 {
            break;
        }
        match record.kind {
            RecordKind::CompactionEnd => is_compaction_complete = true,
            RecordKind::Compacted | RecordKind::Appended => payloads.push(record.payload.to_vec()),
        }
        last_sequence = record.sequence;
        offset += record.size;
    }
    if !is_compaction_complete || has_later_record(bytes, offset + 1, last_sequence) {
        return Err(corrupt(file, offset));
    }
    Ok(SegmentContents {
        payloads,
        last_sequence,
        valid_bytes: offset,
    })
}

/// Fails if the segment has no valid header or a newer format.
fn check_format(file: &str, bytes: &[u8]) -> Result<(), LogError> {
    match record::format_version(bytes) {
        Some(FORMAT_VERSION) => Ok(()),
        Some(version) if version > FORMAT_VERSION => Err(LogError::UnsupportedFormat {
            file: file.to_string(),
            version,
        }),
        _ => Err(corrupt(file, 0)),
    }
}

/// Whether a complete record with a higher sequence number starts at or after `first_offset`.
fn has_later_record(bytes: &[u8], first_offset: usize, last_sequence: u64) -> bool {
    (first_offset..bytes.len()).any(|offset| {
        record::decode(&bytes[offset..]).is_some_and(|record| record.sequence > last_sequence)
    })
}

fn corrupt(file: &str, offset: usize) -> LogError {
    LogError::Corrupt {
        file: file.to_string(),
        offset: offset as u64,
    }
}
