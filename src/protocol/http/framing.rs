//! Determines how the body of a message is delimited: by its length, by chunks or by the end of the connection.

use super::codec::DecoderState;
use super::error::HttpParseError;
use super::head::{Headers, StartLine};
use bytes::BytesMut;

/// The longest chunk-size line and the longest trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Exclusive limit of the decimal digits of a content length. Every number of 18 digits fits into 64 bits.
const CONTENT_LENGTH_DIGIT_LIMIT: usize = 19;
/// Exclusive limit of the hex digits of a chunk size. Every number of 15 digits fits into 64 bits.
const CHUNK_SIZE_DIGIT_LIMIT: usize = 16;

/// How a body is delimited.
pub(super) struct BodyFraming {
    /// The state of the decoder after the head.
    pub state: DecoderState,
    /// The length of the body in bytes; `None` if it is chunked or ends with the connection.
    pub body_length: Option<u64>,
}

/// Determines how the body of a message is delimited. A message with both a length and chunks is an error, because it can
/// be used for request smuggling.
pub(super) fn body_framing(
    start_line: &StartLine,
    headers: &Headers,
) -> Result<BodyFraming, HttpParseError> {
    let length = content_length(headers)?;
    if is_chunked(headers, length.is_some())? {
        return Ok(BodyFraming {
            state: DecoderState::ChunkLine,
            body_length: None,
        });
    }
    let (state, body_length) = match (start_line, length) {
        (StartLine::Status(204 | 304), _) | (_, Some(0)) => (DecoderState::Ended, Some(0)),
        (_, Some(length)) => (DecoderState::FixedLength(length), Some(length)),
        (StartLine::Request { .. }, None) => (DecoderState::Ended, Some(0)),
        (StartLine::Status(_), None) => (DecoderState::UntilClose, None),
    };
    Ok(BodyFraming { state, body_length })
}

/// The value of `Content-Length`. If the field is repeated, all values must be equal.
fn content_length(headers: &Headers) -> Result<Option<u64>, HttpParseError> {
    let mut length = None;
    for value in headers.values("content-length") {
        let value =
            parse_content_length(value).ok_or(HttpParseError::Malformed("Content-Length"))?;
        if length.is_some_and(|earlier| earlier != value) {
            return Err(HttpParseError::Malformed("two values of Content-Length"));
        }
        length = Some(value);
    }
    Ok(length)
}

fn parse_content_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty()
        && value.len() < CONTENT_LENGTH_DIGIT_LIMIT
        && value.iter().all(u8::is_ascii_digit);
    if !is_number {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn is_chunked(headers: &Headers, has_content_length: bool) -> Result<bool, HttpParseError> {
    let mut codings = headers.values("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    if has_content_length {
        return Err(HttpParseError::Malformed(
            "Content-Length with Transfer-Encoding",
        ));
    }
    if !coding.eq_ignore_ascii_case(b"chunked") || codings.next().is_some() {
        return Err(HttpParseError::Malformed(
            "Transfer-Encoding other than chunked",
        ));
    }
    Ok(true)
}

/// Removes one line from the buffer and returns it without its line ending; `None` if it is not complete yet.
pub(super) fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, HttpParseError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > MAX_LINE_BYTES {
            return Err(HttpParseError::Malformed("chunk line"));
        }
        return Ok(None);
    };
    let mut line = buffer.split_to(end + 1);
    let ending_bytes = if line.ends_with(b"\r\n") { 2 } else { 1 };
    line.truncate(line.len() - ending_bytes);
    Ok(Some(line))
}

/// Parses the size of a chunk, in bytes. Extensions after a semicolon are ignored.
pub(super) fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpParseError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let is_hex = (1..CHUNK_SIZE_DIGIT_LIMIT).contains(&digits.len())
        && digits.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_hex)
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(HttpParseError::Malformed("chunk size"))
}
