//! The lease server that this process hosts, with its log: what it answers goes out only once the records that it wrote
//! before are durable.

use super::status::LeaseServerStatus;
use super::{NodeOutput, NodeSettings};
use crate::envelope::Envelope;
use crate::lease::{
    LeaseLogRecord, LeaseRequest, LeaseServer, LeaseServerConfig, LeaseServerOutput,
};
use crate::{Incarnation, Micros};
use std::collections::VecDeque;

/// How many answers may wait for a write. Whoever asks beyond this asks again.
const MAX_WAITING_ANSWERS: usize = 16_384;

struct WaitingAnswer {
    /// The answer goes out once the write of this number is durable.
    after_write: u64,
    envelope: Envelope,
}

/// The lease server that this process hosts.
pub(super) struct HostedLeaseServer {
    server: LeaseServer,
    /// The number of the last write.
    last_write: u64,
    /// The number of the last write that is durable.
    last_durable_write: u64,
    /// Answers in the order in which they go out.
    waiting: VecDeque<WaitingAnswer>,
    has_log_failed: bool,
    /// When the other servers are asked again what they remember.
    ask_recovery_at: Micros,
}

impl HostedLeaseServer {
    /// A server that starts now with what its log holds; `None` where this node is not on the list of lease servers.
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
            waiting: VecDeque::new(),
            has_log_failed: false,
            ask_recovery_at: now,
        })
    }

    /// Another list of lease servers is in force.
    pub(super) fn set_servers(&mut self, server_index: usize, server_count: usize) {
        self.server.set_servers(server_index, server_count);
    }

    /// Takes a message; a server whose log has failed says nothing more.
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

    /// Moves the recovery on; a record that must be durable before anything else.
    pub(super) fn advance(&mut self, now: Micros) -> Option<LeaseLogRecord> {
        self.server.advance(now)
    }

    /// What to ask the other lease servers now, if it is time to; the next time is `interval` microseconds later.
    pub(super) fn due_recovery_request(
        &mut self,
        now: Micros,
        interval: Micros,
    ) -> Option<LeaseRequest> {
        let request = self.server.recovery_request()?;
        if now < self.ask_recovery_at {
            return None;
        }
        self.ask_recovery_at = now + interval;
        Some(request)
    }

    /// Numbers a write and hands it to the driver.
    pub(super) fn write(&mut self, records: Vec<LeaseLogRecord>) -> NodeOutput {
        self.last_write += 1;
        NodeOutput::WriteLog {
            write: self.last_write,
            records,
        }
    }

    /// Returns an answer that may go out now, or keeps it until all writes so far are durable.
    pub(super) fn hold_until_durable(&mut self, envelope: Envelope) -> Option<Envelope> {
        if self.last_durable_write >= self.last_write {
            return Some(envelope);
        }
        if self.waiting.len() < MAX_WAITING_ANSWERS {
            self.waiting.push_back(WaitingAnswer {
                after_write: self.last_write,
                envelope,
            });
        }
        None
    }

    /// The write of this number, and all before it, are durable: the answers that may go out now.
    pub(super) fn on_log_written(&mut self, write: u64) -> Vec<Envelope> {
        self.last_durable_write = self.last_durable_write.max(write);
        let mut ready = Vec::new();
        while let Some(answer) = self.waiting.pop_front() {
            if answer.after_write > self.last_durable_write {
                self.waiting.push_front(answer);
                break;
            }
            ready.push(answer.envelope);
        }
        ready
    }

    /// A write has failed: the server says nothing more.
    pub(super) fn on_log_failed(&mut self) {
        self.has_log_failed = true;
        self.waiting.clear();
    }

    /// Whether a write has failed.
    pub(super) fn has_log_failed(&self) -> bool {
        self.has_log_failed
    }

    /// When the server has something to do.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        let recovery_request = self.server.recovery_request();
        let ask_at = recovery_request.map(|_| self.ask_recovery_at);
        self.server.next_deadline().into_iter().chain(ask_at).min()
    }

    /// What operators are shown.
    pub(super) fn status(&self, now: Micros) -> LeaseServerStatus {
        LeaseServerStatus {
            recovery: self.server.recovery_state().clone(),
            table: self.server.table(now).collect(),
        }
    }
}
