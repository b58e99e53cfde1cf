//! Operators' calls and the figures they are given: bytes to meaning and back, no sockets.

#![expect(
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::http::{Head, StartLine};
use super::request::RequestError;
use bytes::Bytes;
use std::fmt::Write;

/// What an operator can call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    Telemetry,
    /// Who is in the fleet, and who holds what.
    Fleet,
    /// Attempts that went to another zone, by minute, class and tenant.
    Crossings,
    /// Take the fleet's nodes out one after the other.
    Roll {
        /// At most so many at once.
        out: u32,
        /// Each stays out for so long once its clients have gone, in microseconds.
        hold: u64,
    },
    /// Take no new clients and let those there are go.
    Evacuate,
    /// Back to work.
    Rejoin,
}

/// What the figures say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeMetrics {
    /// For each class its name, and requests served, refused and failed since the start.
    pub responses: Vec<(String, [u64; 3])>,
    /// Attempts written whole to model servers.
    pub attempts_sent: u64,
    /// Requests taken and not ended.
    pub active_requests: usize,
    /// Model servers listed, and of these the ones avoided now.
    pub replica_count: usize,
    /// See there.
    pub avoided_replica_count: usize,
    /// Files taken and turned down at SIGHUP.
    pub reloads: (u64, u64),
    /// Attempts written whole to model servers of other zones, by class and tenant.
    pub cross_zone_attempts: Vec<(String, String, u64)>,
    /// Of the node's part in its fleet, by name, where it has one.
    pub fleet: Vec<(String, u64)>,
    /// Attempts that ended otherwise than served, by outcome.
    pub attempt_ends: Vec<(&'static str, u64)>,
    /// Clients' connections closed, by reason.
    pub client_closes: Vec<(&'static str, u64)>,
}

/// Reads which call a head is for.
pub fn parse_call(head: &Head) -> Result<AdminCall, RequestError> {
    let StartLine::Request { method, target } = &head.start_line else {
        return Err(RequestError {
            status: 400,
            reason: "a request is expected".into(),
        });
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let number = |key: &str, absent: u64, most: u64| {
        let pair = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == key);
        match pair.map(|pair| pair.1.parse()) {
            None => Ok(absent),
            Some(Ok(value)) if value <= most => Ok(value),
            Some(_) => Err(RequestError {
                status: 400,
                reason: format!("{key}: expected a whole number up to {most}"),
            }),
        }
    };
    let (call, wanted) = match path {
        "/api/ready" => (AdminCall::Ready, "GET"),
        "/api/telemetry" => (AdminCall::Telemetry, "GET"),
        "/api/fleet" => (AdminCall::Fleet, "GET"),
        "/api/crossings" => (AdminCall::Crossings, "GET"),
        "/api/fleet/roll" => {
            let hold = number("hold_ms", 0, 86_400_000)? * 1000;
            (
                AdminCall::Roll {
                    out: number("out", 1, u64::from(u32::MAX))? as u32,
                    hold,
                },
                "POST",
            )
        }
        "/api/evacuate" => (AdminCall::Evacuate, "POST"),
        "/api/rejoin" => (AdminCall::Rejoin, "POST"),
        other => {
            return Err(RequestError {
                status: 404,
                reason: format!("no call {other}"),
            })
        }
    };
    match method == wanted {
        true => Ok(call),
        false => Err(RequestError {
            status: 405,
            reason: format!("{wanted} is expected"),
        }),
    }
}

/// The answer that carries the figures, a line each.
pub fn metrics_response(f: &NodeMetrics) -> Bytes {
    let mut body = String::new();
    for (class, counts) in &f.responses {
        for (status, count) in ["success", "overload", "error"].iter().zip(counts) {
            let class = class
                .replace('\\', "\\\\")
                .replace('"', "\\\"")
                .replace('\n', "\\n");
            let _ = writeln!(
                body,
                "app_replies{{type=\"{class}\",status=\"{status}\"}} {count}"
            );
        }
    }
    let rest = [
        ("dispatches", f.attempts_sent),
        ("concurrent", f.active_requests as u64),
        ("targets", f.replica_count as u64),
        ("targets_disabled", f.avoided_replica_count as u64),
        ("reload_success", f.reloads.0),
        ("reload_failure", f.reloads.1),
    ];
    let rest = rest
        .into_iter()
        .chain(f.fleet.iter().map(|(name, value)| (name.as_str(), *value)));
    for (name, value) in rest {
        let _ = writeln!(body, "app_{name} {value}");
    }
    for (outcome, count) in &f.attempt_ends {
        let _ = writeln!(body, "app_attempt_ends{{outcome=\"{outcome}\"}} {count}");
    }
    for (reason, count) in &f.client_closes {
        let _ = writeln!(body, "app_client_closes{{why=\"{reason}\"}} {count}");
    }
    answer("text/plain", &body)
}

/// The answer that carries an object.
pub fn json_response(body: &str) -> Bytes {
    answer("application/json", body)
}

fn answer(kind: &str, body: &str) -> Bytes {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into()
}
