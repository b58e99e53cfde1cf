//! Recovery of a lease server after a start, and its responses to other recovering servers.
//!
//! A server may restart with an empty log, or with one that was restored to an older state. It then requests the known
//! epochs from the other servers. Once as many of them have responded as make a majority of all servers, it knows every
//! epoch that it may have granted as part of a majority, since any two majorities have a server in common.

use super::{LeaseServer, LeaseServerOutput, PeerMessage};
use crate::lease::log_record::LeaseLogRecord;
use crate::lease::messages::{LeaseRequest, RecoveryResponse, ServerIncarnation};
use crate::lease::server::incarnation::next_incarnation;
use crate::{Incarnation, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The recovery state of a lease server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryState {
    /// Requests the state of the other servers; grants nothing.
    Recovering {
        /// The servers that responded with their state, by index.
        answered: BTreeSet<usize>,
        /// The servers that responded that they are blank, with their incarnations. A blank server has started without
        /// a log and has not recovered yet.
        blank: BTreeMap<usize, Incarnation>,
    },
    /// Waits until this time of the local clock, when all grants that this server may have given before the recovery
    /// have expired.
    WaitingForOldGrants(Micros),
    /// Grants leases.
    Granting,
}

impl RecoveryState {
    /// The state before any server has responded.
    pub(super) fn unanswered() -> RecoveryState {
        RecoveryState::Recovering {
            answered: BTreeSet::new(),
            blank: BTreeMap::new(),
        }
    }

    fn is_recovering(&self) -> bool {
        matches!(self, RecoveryState::Recovering { .. })
    }
}

impl LeaseServer {
    /// The request to send to the other lease servers, repeatedly until this returns `None`.
    pub fn recovery_request(&self) -> Option<LeaseRequest> {
        let request = LeaseRequest::RequestRecovery(ServerIncarnation {
            server: self.config.server_index,
            incarnation: self.incarnation,
        });
        self.recovery.is_recovering().then_some(request)
    }

    /// Checks whether enough servers have responded and whether the wait for old grants is over. The returned record
    /// must be durable before any other output is executed.
    pub fn advance(&mut self, now: Micros) -> Option<LeaseLogRecord> {
        let mut record = None;
        if self.has_recovered() {
            record = self.complete_recovery(now);
        }
        if matches!(self.recovery, RecoveryState::WaitingForOldGrants(until) if now >= until) {
            self.recovery = RecoveryState::Granting;
        }
        record
    }

    /// Whether enough other servers have responded. If all servers are blank, this is the first start of the fleet, and
    /// the other servers are recorded as founders.
    fn has_recovered(&mut self) -> bool {
        let RecoveryState::Recovering { answered, blank } = &self.recovery else {
            return false;
        };
        let other_count = self.config.server_count - 1;
        let quorum = (self.config.server_count / 2 + 1).min(other_count);
        let is_first_start = self.is_blank && answered.is_empty() && blank.len() == other_count;
        if is_first_start {
            let founder = |(server, incarnation): (&usize, &Incarnation)| ServerIncarnation {
                server: *server,
                incarnation: *incarnation,
            };
            self.founders = blank.iter().map(founder).collect();
        }
        // This incarnation was blank at the first start of the fleet, when no grants existed, and no server that
        // responded knows a newer incarnation.
        let is_known_founder =
            self.is_founder && self.is_blank && answered.len() + blank.len() >= quorum;
        answered.len() >= quorum || is_first_start || is_known_founder
    }

    /// Completes the recovery and starts the wait for old grants.
    ///
    /// The wait starts here and not at the start of the process: if this server replaces another server, the replaced
    /// server may have granted leases until the responding servers switched to the new server list.
    fn complete_recovery(&mut self, now: Micros) -> Option<LeaseLogRecord> {
        // The configured lease duration may have been longer before the restart.
        let longest = self.config.max_duration.max(self.grants.longest_duration());
        self.recovery = RecoveryState::WaitingForOldGrants(now.saturating_add(longest));
        let founders = self.founders.iter().copied().collect();
        let was_blank = std::mem::take(&mut self.is_blank);
        was_blank.then_some(LeaseLogRecord::RecoveryComplete { founders })
    }

    /// Responds to a recovering server.
    pub(super) fn handle_recovery_request(
        &mut self,
        requester: ServerIncarnation,
    ) -> LeaseServerOutput {
        if !self.is_other_server(requester.server) {
            return LeaseServerOutput::default();
        }
        let record = self.record_incarnation(requester);
        let newest_requester = self
            .incarnations
            .get(&requester.server)
            .copied()
            .unwrap_or(requester.incarnation);
        let response = RecoveryResponse {
            server: self.config.server_index,
            requester: requester.incarnation,
            responder: self.incarnation,
            is_blank: self.is_blank,
            is_founder: self.founders.contains(&requester),
            epochs: self.grants.epochs(),
            newest_requester,
            incarnations: self.known_incarnations(),
        };
        LeaseServerOutput {
            log_records: record.into_iter().collect(),
            response: None,
            peer_message: Some(PeerMessage {
                server: requester.server,
                message: LeaseRequest::Recovery(response),
            }),
        }
    }

    /// Restarts the recovery if a client reports a newer process under this server's name.
    pub(super) fn handle_superseded(&mut self, newest: ServerIncarnation) {
        if newest.server == self.config.server_index
            && newest.incarnation > self.incarnation
            && self.recovery == RecoveryState::Granting
        {
            self.restart_recovery(newest.incarnation);
        }
    }

    /// Records the epochs and incarnations that another server has sent, and completes the recovery once enough servers
    /// have responded.
    pub(super) fn handle_recovery_response(
        &mut self,
        response: RecoveryResponse,
        now: Micros,
    ) -> LeaseServerOutput {
        let is_current =
            response.requester == self.incarnation && self.is_other_server(response.server);
        if !is_current || !self.recovery.is_recovering() {
            return LeaseServerOutput::default();
        }
        if response.newest_requester > self.incarnation {
            // Another process has or had this name. This one may grant only once its incarnation is the newest.
            self.restart_recovery(response.newest_requester);
            return LeaseServerOutput::default();
        }
        let mut log_records = self.record_incarnations(&response);
        self.record_responder(&response);
        for reported in response.epochs {
            let grant_record = self.grants.record_reported_epoch(reported);
            log_records.extend(grant_record.map(LeaseLogRecord::Grant));
        }
        // The responding server has completed the first start of the fleet before this server.
        self.is_founder |= response.is_founder;
        log_records.extend(self.advance(now));
        if !self.recovery.is_recovering() {
            log_records.push(LeaseLogRecord::Incarnation(ServerIncarnation {
                server: self.config.server_index,
                incarnation: self.incarnation,
            }));
        }
        LeaseServerOutput {
            log_records,
            ..LeaseServerOutput::default()
        }
    }

    fn record_responder(&mut self, response: &RecoveryResponse) {
        let RecoveryState::Recovering { answered, blank } = &mut self.recovery else {
            return;
        };
        if response.is_blank {
            blank.insert(response.server, response.responder);
        } else {
            answered.insert(response.server);
            blank.remove(&response.server);
        }
    }

    /// Starts the recovery again under an incarnation newer than `newest`. The server grants again once enough other
    /// servers know that incarnation.
    fn restart_recovery(&mut self, newest: Incarnation) {
        self.incarnation = next_incarnation(newest, self.incarnation);
        self.is_founder = false;
        self.recovery = RecoveryState::unanswered();
    }

    /// Records the incarnation of another server and those that it knows.
    fn record_incarnations(&mut self, response: &RecoveryResponse) -> Vec<LeaseLogRecord> {
        let responder = ServerIncarnation {
            server: response.server,
            incarnation: response.responder,
        };
        let mut records = Vec::new();
        for reported in response.incarnations.iter().chain([&responder]) {
            if self.is_other_server(reported.server) {
                records.extend(self.record_incarnation(*reported));
            }
        }
        records
    }

    /// Records an incarnation of another server, if it is newer than the known one.
    fn record_incarnation(&mut self, reported: ServerIncarnation) -> Option<LeaseLogRecord> {
        let known = self.incarnations.get(&reported.server);
        if known.is_some_and(|known| *known >= reported.incarnation) {
            return None;
        }
        self.incarnations
            .insert(reported.server, reported.incarnation);
        Some(LeaseLogRecord::Incarnation(reported))
    }

    /// Whether the index is valid and not that of this server.
    fn is_other_server(&self, server: usize) -> bool {
        server != self.config.server_index && server < self.config.server_count
    }
}
