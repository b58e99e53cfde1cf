//! An HTTP/1.1 codec for `Framed`.
//!
//! [`HttpCodec`] decodes each message to [`MessagePart`]s (head, pieces of the body, end) and encodes [`EncodedMessage`]s.
//! Pieces of a body are copied out of the read buffer as they arrive, so one bounded buffer serves a connection for its
//! lifetime regardless of the size of bodies. Connections to clients, replicas, discovery and admin callers use it.

mod codec;
mod error;
mod framing;
mod head;

pub use codec::{EncodedMessage, HttpCodec, MessagePart, Role};
pub use error::HttpParseError;
pub use head::{Head, Headers, StartLine, MAX_HEAD_BYTES};
