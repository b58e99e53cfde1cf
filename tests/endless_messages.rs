//! Guards against messages without an end: framing that goes on forever, and event streams with bytes but no event. The parsers
//! must refuse them after a bounded number of bytes, in pieces of any size.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use bytes::BytesMut;
use poppykeel::protocol::http::{HttpCodec, Role};
use tokio_util::codec::Decoder;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// More than the longest head, trailer or line.
const MAX_FRAMING_BYTES: usize = 32 * 1024;

/// Whether a client's decoder refuses a response that begins with `first` and goes on with `repeated`.
fn is_refused(first: &str, repeated: &str, piece_bytes: usize) -> bool {
    let message = first.to_string() + &repeated.repeat(2 * MAX_FRAMING_BYTES / repeated.len());
    let mut codec = HttpCodec::new(Role::Client);
    let mut buffer = BytesMut::new();
    for piece in message.as_bytes()[..MAX_FRAMING_BYTES].chunks(piece_bytes) {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return true,
            }
        }
    }
    false
}

/// A response whose head, chunk size, extension or trailer never ends.
#[test]
fn decoder_refuses_framing_that_never_ends() {
    let last_chunk = format!("{HEAD}0\r\n");
    let extension = format!("{HEAD}5;");
    for (first, repeated) in [
        ("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
        ("HTTP/1.1 200 OK\r\nX: ", "y"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        (HEAD, "0"),
        (&extension, "x"),
        (&last_chunk, "X: y\r\n"),
        (&last_chunk, "y"),
        (&last_chunk, "y\n"),
    ] {
        for piece_bytes in [1, 7, 4096, MAX_FRAMING_BYTES] {
            assert!(
                is_refused(first, repeated, piece_bytes),
                "{first:?}, then {repeated:?} in pieces of {piece_bytes}"
            );
        }
    }
}
