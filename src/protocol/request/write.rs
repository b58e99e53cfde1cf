//! Formats the heads and responses that the node writes.

use crate::protocol::http::{Head, StartLine};
use bytes::Bytes;
use poppykeel_scheduler::RequestId;

const MICROS_PER_SECOND: f64 = 1e6;
const ID_HEADER: &str = "req-id";

/// Header fields that are hop-by-hop, that the node writes itself, or that only replicas send.
const UNFORWARDED_HEADERS: [&str; 11] = [
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

/// The head of a request to a replica, without the deadline, which each attempt adds. `replacement_id` replaces the
/// client's request id; `None` keeps it.
pub fn replica_request_head(
    head: &Head,
    body_bytes: usize,
    replacement_id: Option<RequestId>,
) -> Vec<u8> {
    let StartLine::Request { method, target } = &head.start_line else {
        return Vec::new();
    };
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    if let Some(id) = replacement_id {
        bytes.extend_from_slice(format!("Req-Id: {id}\r\n").as_bytes());
    }
    for (name, value) in head.headers.iter() {
        let is_replaced = replacement_id.is_some() && name.eq_ignore_ascii_case(ID_HEADER);
        if !is_replaced && is_forwarded(head, name) {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
    }
    bytes.extend_from_slice(format!("Content-Length: {body_bytes}\r\n").as_bytes());
    bytes
}

/// Whether a header field of a client's request is forwarded to replicas.
fn is_forwarded(head: &Head, name: &str) -> bool {
    let is_unforwarded = UNFORWARDED_HEADERS
        .iter()
        .any(|unforwarded| unforwarded.eq_ignore_ascii_case(name));
    !is_unforwarded && !head.headers.has_token("connection", name)
}

/// Completes the head of an attempt with its deadline, in microseconds from now.
pub fn attempt_head(request_head: &[u8], timeout_us: u64) -> Bytes {
    let timeout = timeout_us as f64 / MICROS_PER_SECOND;
    let mut bytes = request_head.to_vec();
    bytes.extend_from_slice(format!("Req-Deadline: {timeout:.6}\r\n\r\n").as_bytes());
    bytes.into()
}

/// A `GET` request without a body, for probes and polls of discovery.
pub fn get_request(target: &str, host: &str) -> Bytes {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").into()
}

/// The head of a streamed response to a client.
pub fn stream_response_head(content_type: &str, closes_connection: bool) -> Bytes {
    let connection = connection_field(closes_connection);
    format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n{connection}\r\n")
        .into()
}

/// A response that the node itself generates, with the reason in its body. If `retry_after_us` is `None`, there is no field
/// `Retry-After`.
pub fn local_response(
    status: u16,
    reason: &str,
    retry_after_us: Option<u64>,
    closes_connection: bool,
) -> Bytes {
    let phrase = reason_phrase(status);
    let retry_after = retry_after_field(retry_after_us);
    let allow = format_allow_field(status, reason);
    let connection = connection_field(closes_connection);
    let body = response_body(status, reason);
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {phrase}\r\n{retry_after}{allow}{connection}\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
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
    }
}

fn retry_after_field(retry_after_us: Option<u64>) -> String {
    match retry_after_us {
        Some(micros) => format!("Retry-After: {:.3}\r\n", micros as f64 / MICROS_PER_SECOND),
        None => String::new(),
    }
}

/// The `Allow` field of a 405 response. The allowed method is taken from the reason.
fn format_allow_field(status: u16, reason: &str) -> &'static str {
    if status != 405 {
        ""
    } else if reason.contains("POST") {
        "Allow: POST\r\n"
    } else {
        "Allow: GET\r\n"
    }
}

fn connection_field(closes_connection: bool) -> &'static str {
    if closes_connection {
        "Connection: close\r\n"
    } else {
        ""
    }
}

fn response_body(status: u16, reason: &str) -> String {
    let body = if status == 200 {
        serde_json::json!({ "status": reason })
    } else {
        serde_json::json!({ "error": { "message": reason, "code": status } })
    };
    body.to_string()
}
