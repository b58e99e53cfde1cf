//! Segment files: their names, and the records that a segment holds.

use super::error::LogError;
use super::record::{self, RecordKind, FORMAT_VERSION, HEADER_BYTES};

/// The extension of a segment that a compaction has not finished yet.
pub(crate) const DRAFT_EXTENSION: &str = ".new";
/// The extension of a segment.
const SEGMENT_EXTENSION: &str = ".log";
/// How many digits the number of a segment has in its file name.
const NUMBER_DIGITS: usize = 16;

/// The file name of the segment with this number.
pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:0NUMBER_DIGITS$}{SEGMENT_EXTENSION}")
}

/// The file name of the segment with this number while a compaction writes it.
pub(crate) fn draft_name(number: u64) -> String {
    format!("{number:0NUMBER_DIGITS$}{DRAFT_EXTENSION}")
}

/// The number of the segment with this file name; `None` where the file is no segment.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SEGMENT_EXTENSION)?;
    if digits.len() != NUMBER_DIGITS {
        return None;
    }
    digits.parse().ok()
}

/// What a segment holds.
#[derive(Debug)]
pub(crate) struct SegmentContents {
    /// The records' payloads, oldest first.
    pub payloads: Vec<Vec<u8>>,
    /// The sequence number of the last record.
    pub last_sequence: u64,
    /// The length of the header and of all whole records, in bytes; what follows is a torn write.
    pub sound_bytes: usize,
}

/// Reads a segment.
///
/// Bytes after the last whole record are a torn write, unless a whole record follows them: then a record in the middle is
/// damaged. A segment gets its name only once the whole compaction is durable, so that one without the compaction's end is
/// damaged too.
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
        sound_bytes: offset,
    })
}

/// Checks that this program reads the segment's format.
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

/// Whether a whole record with a higher sequence number begins at this offset or anywhere after it.
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
