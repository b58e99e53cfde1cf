//! Parses admin requests.

use crate::protocol::http::{Head, StartLine};
use crate::protocol::request::RequestError;

/// The longest time that a rolling restart keeps a node out, in milliseconds: a day.
const MAX_HOLD_MS: u64 = 86_400_000;
const MICROS_PER_MS: u64 = 1000;
/// The default number of nodes that may be out of service at the same time.
const DEFAULT_NODES_OUT: u64 = 1;

/// An admin request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Returns whether this process accepts clients.
    Ready,
    /// Returns the metrics.
    Telemetry,
    /// Returns the status of the coordination: members, leases, budgets and rolling restarts.
    Fleet,
    /// Returns the number of attempts sent to other zones by minute, class and tenant.
    Crossings,
    /// Takes the nodes of the fleet out of service and back, a limited number at a time.
    RollingRestart {
        /// The largest number of nodes that are out of service at the same time.
        max_nodes_out: u32,
        /// How long each node stays out of service after its last client has left, in microseconds.
        hold_us: u64,
    },
    /// Evacuates the node: it reports that it is not ready and closes client connections after their current response.
    Evacuate,
    /// Ends an evacuation.
    Rejoin,
}

/// Parses the head of an admin request.
///
/// # Errors
/// If the path is unknown, the method is not the expected one, or a parameter is invalid.
pub fn parse_call(head: &Head) -> Result<AdminCall, RequestError> {
    let StartLine::Request { method, target } = &head.start_line else {
        return Err(rejection(400, "a request is expected"));
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let call = match path {
        "/api/ready" => AdminCall::Ready,
        "/api/telemetry" => AdminCall::Telemetry,
        "/api/fleet" => AdminCall::Fleet,
        "/api/crossings" => AdminCall::Crossings,
        "/api/fleet/roll" => parse_roll(query)?,
        "/api/evacuate" => AdminCall::Evacuate,
        "/api/rejoin" => AdminCall::Rejoin,
        other => return Err(rejection(404, format!("no call {other}"))),
    };
    let expected_method = call.method();
    if method != expected_method {
        return Err(rejection(405, format!("{expected_method} is expected")));
    }
    Ok(call)
}

impl AdminCall {
    /// The expected method: `POST` for calls that change the node's state.
    fn method(self) -> &'static str {
        match self {
            AdminCall::Ready | AdminCall::Telemetry | AdminCall::Fleet | AdminCall::Crossings => {
                "GET"
            }
            AdminCall::RollingRestart { .. } | AdminCall::Evacuate | AdminCall::Rejoin => "POST",
        }
    }
}

fn parse_roll(query: &str) -> Result<AdminCall, RequestError> {
    let hold_ms = parse_parameter(query, "hold_ms", 0, MAX_HOLD_MS)?;
    let max_nodes_out = parse_parameter(query, "out", DEFAULT_NODES_OUT, u64::from(u32::MAX))?;
    Ok(AdminCall::RollingRestart {
        max_nodes_out: max_nodes_out as u32,
        hold_us: hold_ms * MICROS_PER_MS,
    })
}

/// Parses an integer parameter of the query; returns the default if it is missing.
fn parse_parameter(query: &str, key: &str, default: u64, max: u64) -> Result<u64, RequestError> {
    let parameter = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key);
    let Some((_, text)) = parameter else {
        return Ok(default);
    };
    match text.parse() {
        Ok(value) if value <= max => Ok(value),
        _ => Err(rejection(
            400,
            format!("{key}: expected a whole number up to {max}"),
        )),
    }
}

fn rejection(status: u16, reason: impl Into<String>) -> RequestError {
    RequestError {
        status,
        reason: reason.into(),
    }
}
