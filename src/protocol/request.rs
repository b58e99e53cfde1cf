//! A client's request: its route, the module's arrival, and the heads that go out for it.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::protocol::http::{Head, Headers, StartLine};
use bytes::Bytes;
use poppykeel_scheduler::{IncomingRequest, RequestId};
use poppykeel_site_settings::SiteNames;
use std::fmt::Write;
use std::str::FromStr;

/// The longest body, 256 KiB.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// No client waits longer than a day; more would not fit the clock.
const MOST_WAIT: f64 = 86_400.0;
/// One token is so many bytes, where the client does not tell the prompt's length.
const TOKEN_BYTES: usize = 4;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a replica, by the module's decision.
    Completions,
    /// Answered here: whether clients may come.
    Health,
}

/// An answer of the node's own that turns a request down before the module sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Its status.
    pub status: u16,
    /// What is wrong, for people.
    pub reason: String,
}

fn reject<T>(status: u16, reason: impl Into<String>) -> Result<T, RequestError> {
    Err(RequestError {
        status,
        reason: reason.into(),
    })
}

/// The route of a request.
pub fn route(head: &Head) -> Result<Route, RequestError> {
    let StartLine::Request { method, target } = &head.start_line else {
        return reject(400, "not a request");
    };
    let path = target.split('?').next().unwrap_or_default();
    match (method.as_str(), path) {
        ("POST", "/v1/chat/completions") => Ok(Route::Completions),
        ("GET", "/healthz") => Ok(Route::Health),
        (_, "/v1/chat/completions") => reject(405, "only POST is served at this path"),
        (_, "/healthz") => reject(405, "only GET is served at this path"),
        _ => reject(404, "nothing is served at this path"),
    }
}

/// Reads the arrival that the headers tell.
pub fn parse_request(
    headers: &Headers,
    names: &SiteNames,
    body: usize,
) -> Result<IncomingRequest, RequestError> {
    for name in [
        "Req-Id",
        "Req-Kind",
        "Req-Owner",
        "Req-Key",
        "Req-Deadline",
        "Req-Retry",
        "Req-Extra",
    ] {
        if headers.values(name).count() > 1 {
            return reject(400, format!("{name} came more than once"));
        }
    }
    let Some(id) = hex(headers, "Req-Id")? else {
        return reject(400, "Req-Id is missing");
    };
    let class = match one(headers, "Req-Kind")? {
        Some(kind) => {
            let open =
                |at: &usize| names.classes[*at] == kind && !names.retired_classes.contains(at);
            match (0..names.classes.len()).rev().find(open) {
                Some(class) => class,
                None => return reject(400, "Req-Kind names nothing known here"),
            }
        }
        None => return reject(400, "Req-Kind is missing"),
    };
    let tenant = match one(headers, "Req-Owner")? {
        Some(owner) if !names.tenants.is_empty() => place("Req-Owner", owner, &names.tenants)?,
        _ => 0,
    };
    let time_left = match one(headers, "Req-Deadline")? {
        Some(text) => number::<f64>("Req-Deadline", text)?,
        None => return reject(400, "Req-Deadline is missing"),
    };
    if !(time_left >= 0.0 && time_left.is_finite()) {
        return reject(400, "Req-Deadline is not a time in seconds");
    }
    let repeat = match one(headers, "Req-Retry")? {
        None | Some("0" | "again") => false,
        Some("1") => true,
        Some(_) => return reject(400, "Req-Retry is neither 1 nor again"),
    };
    // A guess that can't be one must not cost the request: it counts as none.
    let work = one(headers, "Req-Cost")?.and_then(|text| text.parse::<f64>().ok());
    let work = work
        .map(|us| us / 1e6)
        .filter(|work| work.is_finite() && *work > 0.0);
    let mut arrival = IncomingRequest {
        id: RequestId(id),
        class,
        tenant,
        session: hex(headers, "Req-Key")?,
        shared_prefix: None,
        time_left: time_left.min(MOST_WAIT),
        expected_work: work,
        prompt_tokens: (body / TOKEN_BYTES) as u64,
        shared_prefix_tokens: 0,
        max_output_tokens: 0,
        is_client_retry: repeat,
    };
    for field in one(headers, "Req-Extra")?
        .unwrap_or_default()
        .split(',')
        .filter(|f| !f.trim().is_empty())
    {
        let Some((name, value)) = field.trim().split_once('=') else {
            return reject(400, "Req-Extra holds a field without a value");
        };
        match name {
            "prefix" => {
                arrival.shared_prefix = Some(hex_of("Req-Extra prefix", value)?).filter(|p| *p != 0)
            }
            "prompt_len" => arrival.prompt_tokens = tokens("Req-Extra prompt_len", value)?,
            "prefix_len" => arrival.shared_prefix_tokens = tokens("Req-Extra prefix_len", value)?,
            "max_out" => arrival.max_output_tokens = tokens("Req-Extra max_out", value)?,
            // Fields of later clients are passed over.
            _ => {}
        }
    }
    Ok(arrival)
}

fn one<'a>(headers: &'a Headers, name: &str) -> Result<Option<&'a str>, RequestError> {
    match headers.get(name).map(str::trim) {
        Some("") => reject(400, format!("{name} is empty")),
        None if headers.iter().any(|h| h.0.eq_ignore_ascii_case(name)) => {
            reject(400, format!("{name} is not text"))
        }
        value => Ok(value),
    }
}

fn hex(headers: &Headers, name: &str) -> Result<Option<u64>, RequestError> {
    one(headers, name)?
        .map(|text| hex_of(name, text))
        .transpose()
}

fn hex_of(name: &str, text: &str) -> Result<u64, RequestError> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(value) if digits => Ok(value),
        _ => reject(400, format!("{name} is not 16 hex digits")),
    }
}

fn number<T: FromStr>(name: &str, text: &str) -> Result<T, RequestError> {
    text.parse()
        .or_else(|_| reject(400, format!("{name} is not a number")))
}

/// The wire allows lengths to 2^63; sums of them must not run over.
fn tokens(name: &str, text: &str) -> Result<u64, RequestError> {
    number::<u64>(name, text).map(|n| n.min(1 << 40))
}

fn place(name: &str, value: &str, known: &[String]) -> Result<usize, RequestError> {
    known
        .iter()
        .position(|k| k == value)
        .ok_or_else(|| RequestError {
            status: 400,
            reason: format!("{name} names nothing known here"),
        })
}

/// Fields that belong to one connection, or that the node writes itself.
const OWN: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "req-deadline",
    "srv-load",
];

/// The head for a replica, but for the deadline that each attempt adds. `id` stands in place of the client's.
pub fn replica_request_head(head: &Head, body: usize, id: Option<RequestId>) -> Vec<u8> {
    let StartLine::Request { method, target } = &head.start_line else {
        return Vec::new();
    };
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    if let Some(id) = id {
        out.extend_from_slice(format!("Req-Id: {id}\r\n").as_bytes());
    }
    for (name, value) in head.headers.iter() {
        if id.is_some() && name.eq_ignore_ascii_case("req-id") {
            continue;
        }
        if !OWN.iter().any(|own| own.eq_ignore_ascii_case(name))
            && !head.headers.has_token("connection", name)
        {
            for piece in [name.as_bytes(), b": ", value, b"\r\n"] {
                out.extend_from_slice(piece);
            }
        }
    }
    out.extend_from_slice(format!("Content-Length: {body}\r\n").as_bytes());
    out
}

/// The whole head of one attempt.
pub fn attempt_head(common: &[u8], wait_us: u64) -> Bytes {
    let mut out = common.to_vec();
    out.extend_from_slice(format!("Req-Deadline: {:.6}\r\n\r\n", wait_us as f64 / 1e6).as_bytes());
    out.into()
}

/// A request without a body, as probes and discovery send them.
pub fn get_request(target: &str, host: &str) -> Bytes {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").into()
}

/// The head of a stream that is passed on.
pub fn stream_response_head(content_type: &str, close: bool) -> Bytes {
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n{close}\r\n")
        .into()
}

/// An answer of the node's own.
pub fn local_response(
    status: u16,
    reason: &str,
    retry_after_us: Option<u64>,
    close: bool,
) -> Bytes {
    let title = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    };
    let mut out = format!("HTTP/1.1 {status} {title}\r\n");
    if let Some(wait) = retry_after_us {
        let _ = write!(out, "Retry-After: {:.3}\r\n", wait as f64 / 1e6);
    }
    if status == 405 {
        let allowed = if reason.contains("POST") {
            "POST"
        } else {
            "GET"
        };
        let _ = write!(out, "Allow: {allowed}\r\n");
    }
    if close {
        out.push_str("Connection: close\r\n");
    }
    let body = match status {
        200 => serde_json::json!({ "status": reason }),
        _ => serde_json::json!({ "error": { "message": reason, "code": status } }),
    };
    let body = body.to_string();
    let _ = write!(
        out,
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    out.into()
}
