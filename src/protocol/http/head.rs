//! The head of a message: its start line and its header fields.

use super::codec::Role;
use super::error::HttpParseError;

/// The longest accepted head, in bytes. A request with a longer one is rejected with status 431.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest number of header fields in a head.
pub(super) const MAX_HEADERS: usize = 64;
/// The minor version of HTTP/1.1, the only supported version.
const HTTP_MINOR_VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq)]
struct HeaderField {
    name: String,
    value: Vec<u8>,
}

/// Header fields in the order of the message. Names are case-insensitive.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<HeaderField>);

impl Headers {
    /// The first value of a field; `None` if the field is missing or the value is not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .iter()
            .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok()
    }

    /// All values of a field.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|field| (field.name.as_str(), field.value.as_slice()))
    }

    /// Whether a comma-separated field contains this token, which is case-insensitive.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .map(|value| std::str::from_utf8(value).unwrap_or_default())
            .flat_map(|value| value.split(','))
            .any(|candidate| candidate.trim().eq_ignore_ascii_case(token))
    }
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum StartLine {
    /// The request line.
    Request {
        /// The method.
        method: String,
        /// Path and query.
        target: String,
    },
    /// The status code of a response.
    Status(u16),
}

/// The head of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The request line or status.
    pub start_line: StartLine,
    /// The header fields.
    pub headers: Headers,
    /// The length of the body in bytes; `None` if it is chunked or ends with the connection.
    pub body_length: Option<u64>,
    /// Whether the connection may carry another message after this one.
    pub keeps_connection: bool,
}

/// A head parsed at the start of a buffer.
pub(super) struct ParsedHead {
    pub start_line: StartLine,
    pub headers: Headers,
    /// The length of the head in bytes.
    pub size: usize,
}

/// Parses the head at the start of the bytes; `None` if it is not complete yet.
pub(super) fn parse_head(role: Role, bytes: &[u8]) -> Result<Option<ParsedHead>, HttpParseError> {
    match role {
        Role::Server => parse_request_head(bytes),
        Role::Client => parse_response_head(bytes),
    }
}

fn parse_request_head(bytes: &[u8]) -> Result<Option<ParsedHead>, HttpParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    let Some(size) = head_size(request.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    check_version(request.version)?;
    Ok(Some(ParsedHead {
        start_line: StartLine::Request {
            method: request.method.unwrap_or_default().into(),
            target: request.path.unwrap_or_default().into(),
        },
        headers: to_headers(request.headers),
        size,
    }))
}

fn parse_response_head(bytes: &[u8]) -> Result<Option<ParsedHead>, HttpParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let Some(size) = head_size(response.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    check_version(response.version)?;
    Ok(Some(ParsedHead {
        start_line: StartLine::Status(response.code.unwrap_or(0)),
        headers: to_headers(response.headers),
        size,
    }))
}

/// Converts the parser's result for a buffer of this length to the length of the head in bytes; `None` if the head is not
/// complete yet.
fn head_size(
    parsed: httparse::Result<usize>,
    buffered_bytes: usize,
) -> Result<Option<usize>, HttpParseError> {
    match parsed {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => Ok(Some(size)),
        Ok(httparse::Status::Partial) if buffered_bytes < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpParseError::HeadTooLong),
        Err(httparse::Error::Version) => Err(HttpParseError::UnsupportedVersion),
        Err(_) => Err(HttpParseError::Malformed("head")),
    }
}

fn check_version(minor_version: Option<u8>) -> Result<(), HttpParseError> {
    if minor_version == Some(HTTP_MINOR_VERSION) {
        Ok(())
    } else {
        Err(HttpParseError::UnsupportedVersion)
    }
}

fn to_headers(fields: &[httparse::Header]) -> Headers {
    let fields = fields.iter().map(|field| HeaderField {
        name: field.name.to_string(),
        value: field.value.to_vec(),
    });
    Headers(fields.collect())
}
