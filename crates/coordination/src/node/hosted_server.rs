//! The lease server that this process hosts, with the writes to its log. Responses are sent only once all records
//! written before them are durable.

use super::status::LeaseServerStatus;
use super::{NodeOutput, NodeSettings};
use crate::envelope::Envelope;
use crate::lease::{
    LeaseLogRecord, LeaseRequest, LeaseServer, LeaseServerConfig, LeaseServerOutput,
};
use crate::{Incarnation, Micros};
use std::collections::VecDeque;

/// The maximum number of responses that wait for a write. Responses beyond it are dropped; the requester retries.
const MAX_PENDING_RESPONSES: usize = 16_384;

struct PendingResponse {
    /// The response is sent once the write with this number is durable.
    after_write: u64,
    envelope: Envelope,
}

pub(super) struct HostedLeaseServer {
    server: LeaseServer,
    /// The number of the last write.
    last_write: u64,
    /// The number of the last write that is durable.
    last_durable_write: u64,
    /// Pending responses in sending order.
    pending: VecDeque<PendingResponse>,
    has_log_failed: bool,
    /// When the next recovery request is sent to the other servers.
    next_recovery_request_at: Micros,
}

impl HostedLeaseServer {
    /// Creates a server that starts now with the records of its log. Returns `None` if this node is not on the list of
    /// lease servers.
    pub(super) fn new(
        settings: &NodeSettings,
        incarnation: Incarnation,
        log: &[LeaseLogRecord],
        now: Micros,
    ) -> Option<HostedLeaseServer> {
        let config = LeaseServerConfig {
            server_count: settings.lease_servers.len(),
            server_index: settings.lease_server_index(&settings.name)?,
            max_duration: settings.lease_duration,
            trusts_log: settings.trusts_log,
        };
        Some(HostedLeaseServer {
            server: LeaseServer::new(config, incarnation, log, now),
            last_write: 0,
            last_durable_write: 0,
            pending: VecDeque::new(),
            has_log_failed: false,
            next_recovery_request_at: now,
        })
    }

    pub(super) fn set_servers(&mut self, server_index: usize, server_count: usize) {
        self.server.set_servers(server_index, server_count);
    }

    /// Handles a message. A server whose log has failed no longer responds.
    pub(super) fn handle(
        &mut self,
        now: Micros,
        message: LeaseRequest,
    ) -> Option<LeaseServerOutput> {
        if self.has_log_failed {
            return None;
        }
        Some(self.server.handle(now, message))
    }

    /// Advances the recovery. The returned record must be durable before any other output is executed.
    pub(super) fn advance(&mut self, now: Micros) -> Option<LeaseLogRecord> {
        self.server.advance(now)
    }

    /// The recovery request to send to the other lease servers, if it is due. The next request is due `interval`
    /// microseconds later.
    pub(super) fn due_recovery_request(
        &mut self,
        now: Micros,
        interval: Micros,
    ) -> Option<LeaseRequest> {
        let request = self.server.recovery_request()?;
        if now < self.next_recovery_request_at {
            return None;
        }
        self.next_recovery_request_at = now + interval;
        Some(request)
    }

    /// Creates the output for a numbered write to the log.
    pub(super) fn write(&mut self, records: Vec<LeaseLogRecord>) -> NodeOutput {
        self.last_write += 1;
        NodeOutput::WriteLog {
            write: self.last_write,
            records,
        }
    }

    /// Returns a response that may be sent now, or queues it until all writes so far are durable.
    pub(super) fn hold_until_durable(&mut self, envelope: Envelope) -> Option<Envelope> {
        if self.last_durable_write >= self.last_write {
            return Some(envelope);
        }
        if self.pending.len() < MAX_PENDING_RESPONSES {
            self.pending.push_back(PendingResponse {
                after_write: self.last_write,
                envelope,
            });
        }
        None
    }

    /// Records that the write with this number, and all before it, are durable. Returns the responses to send.
    pub(super) fn on_log_written(&mut self, write: u64) -> Vec<Envelope> {
        self.last_durable_write = self.last_durable_write.max(write);
        let mut ready = Vec::new();
        while let Some(response) = self.pending.pop_front() {
            if response.after_write > self.last_durable_write {
                self.pending.push_front(response);
                break;
            }
            ready.push(response.envelope);
        }
        ready
    }

    /// Records a failed write. The server no longer responds.
    pub(super) fn on_log_failed(&mut self) {
        self.has_log_failed = true;
        self.pending.clear();
    }

    pub(super) fn has_log_failed(&self) -> bool {
        self.has_log_failed
    }

    /// When the recovery must be advanced or requested next.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        let recovery_request = self.server.recovery_request();
        let recovery_request_at = recovery_request.map(|_| self.next_recovery_request_at);
        self.server
            .next_deadline()
            .into_iter()
            .chain(recovery_request_at)
            .min()
    }

    pub(super) fn status(&self, now: Micros) -> LeaseServerStatus {
        LeaseServerStatus {
            recovery: self.server.recovery_state().clone(),
            table: self.server.table(now).collect(),
        }
    }
}
