//! Why a message can't be read.

use super::head::{MAX_HEADERS, MAX_HEAD_BYTES};
use std::io;

/// Why a message can't be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum HttpParseError {
    /// The message breaks the framing; the text says where.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head is too long or has too many fields.
    #[error("head longer than {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} fields")]
    HeadTooLong,
    /// The version is not HTTP/1.1.
    #[error("only HTTP/1.1 is spoken here")]
    UnsupportedVersion,
    /// The message was not complete in time.
    #[error("the request took too long to come")]
    ReadTimeout,
    /// The node ends before the message is complete.
    #[error("the node ends before the request is whole")]
    ShuttingDown,
    /// The connection ended inside the message.
    #[error("the connection ended inside a message")]
    UnexpectedEof,
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}
