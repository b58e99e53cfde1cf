//! Errors of the log.

use super::record::{FORMAT_VERSION, MAX_PAYLOAD_BYTES};
use std::io;

/// Why a log cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// A file operation failed. After a failed write or sync the log accepts no more records.
    #[error("disk I/O failed: {0}")]
    Io(#[from] io::Error),
    /// A segment is damaged other than by a torn write at its end, so acknowledged records may be lost.
    #[error("{file}: corrupt at byte {offset}; acknowledged records may be lost")]
    Corrupt {
        /// The segment's file name.
        file: String,
        /// Offset of the first corrupt byte or record from the start of the file, in bytes.
        offset: u64,
    },
    /// The segment was written by a newer version of the program.
    #[error(
        "{file}: unsupported format {version}; this version reads formats up to {FORMAT_VERSION}"
    )]
    UnsupportedFormat {
        /// The segment's file name.
        file: String,
        /// The segment's format version.
        version: u8,
    },
    /// The payload of a record exceeds the maximum length.
    #[error("record of {bytes} bytes exceeds the maximum of {MAX_PAYLOAD_BYTES} bytes")]
    RecordTooLong {
        /// The payload's length in bytes.
        bytes: usize,
    },
    /// An earlier write or sync failed, so the log accepts no more records.
    #[error("an earlier write or sync failed; no records are accepted until a restart")]
    Failed,
}
