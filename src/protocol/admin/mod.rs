//! Parsing of admin requests and formatting of their responses, without sockets.
//!
//! `transport::admin` parses requests with [`parse_call`] and responds to them.

mod call;
mod metrics;

pub use call::{parse_call, AdminCall};
pub use metrics::{
    metrics_response, ClassResponses, ClientCloses, CrossZoneAttempts, FailedAttempts, FleetMetric,
    NodeMetrics, ReloadCounts,
};

use bytes::Bytes;

/// Formats the response with a JSON object.
pub fn json_response(body: &str) -> Bytes {
    response("application/json", body)
}

/// Formats a response with status 200, after which the connection is closed.
fn response(content_type: &str, body: &str) -> Bytes {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into()
}
