//! HTTP/1.1 as a codec for `Framed`: a head, then its body in pieces, then its end.
//!
//! [`HttpCodec`] reads messages as [`MessagePart`]s and writes [`EncodedMessage`]s. Pieces of a body are copied out of the
//! read buffer as they come, so that one bounded buffer serves a connection for as long as it lives, whatever the size of
//! the bodies that pass. The connections of clients, replicas, discovery and operators all use it.

mod codec;
mod error;
mod framing;
mod head;

pub use codec::{EncodedMessage, HttpCodec, MessagePart, Role};
pub use error::HttpParseError;
pub use head::{Head, Headers, StartLine, MAX_HEAD_BYTES};
