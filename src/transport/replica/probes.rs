//! Probes: requests for a replica's load report, or for its health at sites without load reports.
//!
//! The dispatcher starts a task with [`ReplicaClient::run_probe`] for each probe that the router requests. The task owns its
//! connection; dropping the task closes it.

use super::attempts::{write_request, ReplicaClient};
use super::connection::ReplicaConnection;
use super::pool::ReplicaAddress;
use crate::protocol::http::{MessagePart, StartLine};
use crate::protocol::load_report::{parse_load_report, probe_outcome};
use crate::protocol::request;
use crate::transport::messages::DispatcherMessage;
use bytes::Bytes;
use futures_util::StreamExt;
use poppykeel_scheduler::{AttemptOutcome, LoadReport, ReplicaId};
use std::time::Duration;

/// A longer response body counts as an error of the replica. The limit is checked before each part, so the body may exceed
/// it by one part.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Path of a replica's load report.
const LOAD_PATH: &str = "/load";
/// Path of a replica's health check, used at sites without load reports.
const HEALTH_PATH: &str = "/healthz";

struct ProbeResult {
    outcome: AttemptOutcome,
    report: Option<LoadReport>,
}

impl ProbeResult {
    fn without_report(outcome: AttemptOutcome) -> ProbeResult {
        ProbeResult {
            outcome,
            report: None,
        }
    }
}

/// A complete response to a probe.
struct ProbeResponse {
    status: u16,
    keeps_connection: bool,
    body: Vec<u8>,
}

impl ReplicaClient {
    /// Probes a replica and reports the result to the dispatcher. A replica without an address counts as unreachable.
    pub async fn run_probe(self, replica: ReplicaId, address: Option<ReplicaAddress>) {
        let end = match address {
            None => ProbeResult::without_report(AttemptOutcome::ConnectFailed),
            Some(address) => {
                let probe = self.probe(address);
                tokio::time::timeout(self.limits.probe_timeout, probe)
                    .await
                    .unwrap_or_else(|_| ProbeResult::without_report(AttemptOutcome::TimedOut))
            }
        };
        let message = DispatcherMessage::ProbeEnded {
            replica,
            outcome: end.outcome,
            report: end.report,
        };
        // The channel is closed only after the node has ended; the result is then not needed.
        let _ = self.dispatcher.send(message).await;
    }

    async fn probe(&self, address: ReplicaAddress) -> ProbeResult {
        let Ok(mut connection) = self.pool.acquire(address).await else {
            return ProbeResult::without_report(AttemptOutcome::ConnectFailed);
        };
        let path = if self.site.names.report_fields.is_empty() {
            HEALTH_PATH
        } else {
            LOAD_PATH
        };
        let head = request::get_request(path, &address.addr.to_string());
        if write_request(&mut connection, head, Bytes::new())
            .await
            .is_err()
        {
            return ProbeResult::without_report(AttemptOutcome::ConnectFailed);
        }
        let response = match read_response(&mut connection).await {
            Ok(response) => response,
            Err(outcome) => return ProbeResult::without_report(outcome),
        };
        if response.keeps_connection {
            self.pool.release(address, connection, Duration::ZERO);
        }
        let text = std::str::from_utf8(&response.body).ok();
        ProbeResult {
            outcome: probe_outcome(response.status),
            report: text.and_then(|text| parse_load_report(text, &self.site)),
        }
    }
}

/// Reads the response to a probe. The error is the outcome of a probe without a complete response.
async fn read_response(
    connection: &mut ReplicaConnection,
) -> Result<ProbeResponse, AttemptOutcome> {
    let mut response = ProbeResponse {
        status: 0,
        keeps_connection: false,
        body: Vec::new(),
    };
    loop {
        match connection.http_mut().next().await {
            Some(Ok(MessagePart::Head(head))) => {
                response.keeps_connection = head.keeps_connection;
                response.status = match head.start_line {
                    StartLine::Status(status) => status,
                    StartLine::Request { .. } => 0,
                };
            }
            Some(Ok(MessagePart::Body(bytes))) => {
                if response.body.len() >= MAX_RESPONSE_BYTES {
                    return Err(AttemptOutcome::ServerError);
                }
                response.body.extend_from_slice(&bytes);
            }
            Some(Ok(MessagePart::End)) => return Ok(response),
            Some(Err(_)) | None => return Err(AttemptOutcome::ConnectionReset),
        }
    }
}
