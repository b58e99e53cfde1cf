//! The metrics of a node and the response that reports them.

use super::response;
use bytes::Bytes;
use std::fmt::Display;

/// The metrics of a node since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeMetrics {
    /// One entry for each class name.
    pub responses: Vec<ClassResponses>,
    /// Attempts whose request was sent completely to a replica.
    pub attempts_sent: u64,
    /// Requests that were received and have not ended.
    pub active_requests: usize,
    /// Replicas on the endpoint list.
    pub replica_count: usize,
    /// Replicas on the endpoint list that currently get no requests.
    pub avoided_replica_count: usize,
    /// Reloads of the settings at SIGHUP.
    pub reloads: ReloadCounts,
    /// Attempts whose request was sent completely to a replica of another zone, by class and tenant.
    pub cross_zone_attempts: Vec<CrossZoneAttempts>,
    /// Metrics of the coordination with the fleet; empty if the node belongs to none.
    pub fleet: Vec<FleetMetric>,
    /// Attempts that did not complete, by outcome.
    pub attempt_ends: Vec<FailedAttempts>,
    /// Client connections that were closed, by reason.
    pub client_closes: Vec<ClientCloses>,
}

/// The numbers of responses to the requests of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassResponses {
    /// The class's name.
    pub class: String,
    /// Streams that were complete.
    pub completed: u64,
    /// Requests that the node rejected.
    pub rejected: u64,
    /// Requests that failed, including those with a broken stream.
    pub failed: u64,
}

/// The numbers of reloads of the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReloadCounts {
    /// Reloads that were applied.
    pub success: u64,
    /// Reloads that were rejected.
    pub failure: u64,
}

/// The number of attempts of a class and tenant that were sent to other zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrossZoneAttempts {
    /// The class's name.
    pub class: String,
    /// The tenant's name; empty at sites without tenants.
    pub tenant: String,
    /// The number of attempts.
    pub count: u64,
}

/// A metric of the coordination with the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMetric {
    /// The name without the prefix `app_`, with the labels if there are any.
    pub name: String,
    /// The value.
    pub value: u64,
}

/// The number of attempts with an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempts {
    /// The outcome's name.
    pub outcome: &'static str,
    /// The number of attempts.
    pub count: u64,
}

/// The number of client connections that were closed for a reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientCloses {
    /// The reason's name.
    pub reason: &'static str,
    /// The number of connections.
    pub count: u64,
}

/// Formats the response with the metrics, one per line.
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

/// Appends the line of one metric. The name includes the labels.
fn append(body: &mut String, name: &str, value: impl Display) {
    *body += &format!("app_{name} {value}\n");
}

/// Escapes the value of a label.
fn escape_label(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
