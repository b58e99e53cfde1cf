//! Parses the values of a request's header fields.

use super::error::RequestError;
use crate::protocol::http::Headers;
use std::str::FromStr;

/// The number of hex digits of an id.
const ID_DIGITS: usize = 16;
/// Token counts are capped at this value: headers may have any count up to 2^63, and sums of counts must
/// not overflow.
const MAX_TOKENS: u64 = 1 << 40;

/// The trimmed text of a header field; `None` if the field is missing.
pub(super) fn text<'a>(headers: &'a Headers, name: &str) -> Result<Option<&'a str>, RequestError> {
    match headers.get(name).map(str::trim) {
        Some("") => Err(RequestError::bad_request(format!("{name} is empty"))),
        None if headers.values(name).next().is_some() => {
            Err(RequestError::bad_request(format!("{name} is not text")))
        }
        value => Ok(value),
    }
}

/// The id in a header field; `None` if the field is missing.
pub(super) fn id(headers: &Headers, name: &str) -> Result<Option<u64>, RequestError> {
    match text(headers, name)? {
        Some(value) => parse_id(name, value).map(Some),
        None => Ok(None),
    }
}

/// Parses an id of 16 hex digits.
pub(super) fn parse_id(name: &str, value: &str) -> Result<u64, RequestError> {
    let is_id = value.len() == ID_DIGITS && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    match u64::from_str_radix(value, 16) {
        Ok(id) if is_id => Ok(id),
        _ => Err(RequestError::bad_request(format!(
            "{name} is not 16 hex digits"
        ))),
    }
}

pub(super) fn parse_number<T: FromStr>(name: &str, value: &str) -> Result<T, RequestError> {
    value
        .parse()
        .map_err(|_| RequestError::bad_request(format!("{name} is not a number")))
}

/// Parses a number of tokens and caps it at [`MAX_TOKENS`].
pub(super) fn parse_tokens(name: &str, value: &str) -> Result<u64, RequestError> {
    let tokens: u64 = parse_number(name, value)?;
    Ok(tokens.min(MAX_TOKENS))
}
