//! What operators can call.

use crate::protocol::http::{Head, StartLine};
use crate::protocol::request::RequestError;

/// The longest time that a rolling restart keeps a node out, in milliseconds: a day.
const MAX_HOLD_MS: u64 = 86_400_000;
const MICROS_PER_MS: u64 = 1000;
/// How many nodes a rolling restart takes out at once, where the call doesn't say.
const DEFAULT_NODES_OUT: u64 = 1;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process takes clients.
    Ready,
    /// The metrics.
    Telemetry,
    /// The members of the fleet and the holders of leases.
    Fleet,
    /// Attempts that went to another zone, by minute, class and tenant.
    Crossings,
    /// Restart the fleet's nodes one after the other.
    RollingRestart {
        /// How many nodes may be out at once.
        max_nodes_out: u32,
        /// How long each node stays out once its clients have gone, in microseconds.
        hold_us: u64,
    },
    /// Take no new clients and let those there are go.
    Evacuate,
    /// Take clients again.
    Rejoin,
}

/// Reads which call a head is for.
///
/// # Errors
/// Where there is no such call, its method is another, or a parameter is wrong.
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
    /// The method of the call: what changes something is posted.
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

/// A whole number among the parameters of a call; the default where it is missing.
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
