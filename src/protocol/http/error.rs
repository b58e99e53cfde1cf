//! Errors of reading messages.

use super::head::{MAX_HEADERS, MAX_HEAD_BYTES};
use std::io;

/// Why a message can't be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum HttpParseError {
    /// The message violates HTTP syntax or framing; the text names the invalid part.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head is too long or has too many header fields.
    #[error("head longer than {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} fields")]
    HeadTooLong,
    /// The version is not HTTP/1.1.
    #[error("only HTTP/1.1 is spoken here")]
    UnsupportedVersion,
    /// The message was not complete within the read timeout.
    #[error("the request took too long to come")]
    ReadTimeout,
    /// The node shuts down before the message is complete.
    #[error("the node ends before the request is whole")]
    ShuttingDown,
    /// The connection ended inside the message.
    #[error("the connection ended inside a message")]
    UnexpectedEof,
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}
