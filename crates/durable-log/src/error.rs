//! Why a log can't be opened or can't go on.

use super::record::{FORMAT_VERSION, MAX_PAYLOAD_BYTES};
use std::io;

/// Why a log can't be opened or can't go on.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The disk failed. The log acknowledges nothing after this.
    #[error("disk: {0}")]
    Io(#[from] io::Error),
    /// A record that had been acknowledged is damaged.
    #[error("{file}: damaged at byte {offset}, and what follows it was kept")]
    Corrupt {
        /// The segment's file name.
        file: String,
        /// Where the damage begins, in bytes from the file's start.
        offset: u64,
    },
    /// A newer program wrote the segment.
    #[error("{file}: format {version}; this program reads formats up to {FORMAT_VERSION}")]
    UnsupportedFormat {
        /// The segment's file name.
        file: String,
        /// The segment's format version.
        version: u8,
    },
    /// The payload of a record is too long.
    #[error("a record of {bytes} bytes; at most {MAX_PAYLOAD_BYTES}")]
    RecordTooLong {
        /// The payload's length in bytes.
        bytes: usize,
    },
    /// An earlier write or sync failed, so that the log takes no more records.
    #[error("an earlier write or sync failed: nothing more is kept until a restart")]
    Failed,
}
