//! The metrics of a node, and the response that has them a line each.

use super::response;
use bytes::Bytes;
use std::fmt::Display;

/// The metrics of a node since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeMetrics {
    /// Responses by class.
    pub responses: Vec<ClassResponses>,
    /// Attempts that were sent to replicas whole.
    pub attempts_sent: u64,
    /// Requests that were received and have not ended.
    pub active_requests: usize,
    /// Replicas on the endpoint list.
    pub replica_count: usize,
    /// Replicas on the endpoint list that get no requests now.
    pub avoided_replica_count: usize,
    /// Reloads of the settings at SIGHUP.
    pub reloads: ReloadCounts,
    /// Attempts that were sent to replicas of other zones whole, by class and tenant.
    pub cross_zone_attempts: Vec<CrossZoneAttempts>,
    /// Metrics of the node's part in its fleet, where it has one.
    pub fleet: Vec<FleetMetric>,
    /// Attempts that were not complete, by outcome.
    pub attempt_ends: Vec<FailedAttempts>,
    /// Connections of clients that were closed, by reason.
    pub client_closes: Vec<ClientCloses>,
}

/// How many responses the requests of a class got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassResponses {
    /// The class's name.
    pub class: String,
    /// Responses that were complete.
    pub completed: u64,
    /// Rejections.
    pub rejected: u64,
    /// Responses that failed.
    pub failed: u64,
}

/// How many reloads of the settings there were.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReloadCounts {
    /// Settings that were taken.
    pub success: u64,
    /// Settings that were rejected.
    pub failure: u64,
}

/// How many attempts of a class and tenant were sent to other zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrossZoneAttempts {
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: String,
    /// The number of attempts.
    pub count: u64,
}

/// A metric of the node's part in its fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMetric {
    /// The name without the prefix of all metrics.
    pub name: String,
    /// The value.
    pub value: u64,
}

/// How many attempts had an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempts {
    /// The outcome's name.
    pub outcome: &'static str,
    /// The number of attempts.
    pub count: u64,
}

/// How many connections of clients were closed for a reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientCloses {
    /// The reason's name.
    pub reason: &'static str,
    /// The number of connections.
    pub count: u64,
}

/// The response with the metrics, a line each.
pub fn metrics_response(metrics: &NodeMetrics) -> Bytes {
    let mut body = String::new();
    for responses in &metrics.responses {
        append_class_responses(&mut body, responses);
    }
    append(&mut body, "dispatches", metrics.attempts_sent);
    append(&mut body, "concurrent", metrics.active_requests);
    append(&mut body, "targets", metrics.replica_count);
    append(&mut body, "targets_disabled", metrics.avoided_replica_count);
    append(&mut body, "reload_success", metrics.reloads.success);
    append(&mut body, "reload_failure", metrics.reloads.failure);
    for metric in &metrics.fleet {
        append(&mut body, &metric.name, metric.value);
    }
    for failed in &metrics.attempt_ends {
        let outcome = failed.outcome;
        let name = format!("attempt_ends{{outcome=\"{outcome}\"}}");
        append(&mut body, &name, failed.count);
    }
    for closes in &metrics.client_closes {
        let reason = closes.reason;
        let name = format!("client_closes{{why=\"{reason}\"}}");
        append(&mut body, &name, closes.count);
    }
    response("text/plain", &body)
}

fn append_class_responses(body: &mut String, responses: &ClassResponses) {
    let class = escape_label(&responses.class);
    let counts = [
        ("success", responses.completed),
        ("overload", responses.rejected),
        ("error", responses.failed),
    ];
    for (status, count) in counts {
        let name = format!("replies{{type=\"{class}\",status=\"{status}\"}}");
        append(body, &name, count);
    }
}

/// Appends the line of one metric; the name has its labels.
fn append(body: &mut String, name: &str, value: impl Display) {
    *body += &format!("app_{name} {value}\n");
}

/// The text of a label's value.
fn escape_label(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
