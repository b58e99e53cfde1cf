//! The recovery of a lease server after a start: what it asks of the other servers, and what it answers them.
//!
//! A server may come back with an empty log, or with one that was put back to an older state. It then asks the others for
//! the epochs that they know. Every majority that it was part of has a member among any majority of the others, so with
//! that many answers it knows every epoch that it may have granted.

use super::{LeaseServer, LeaseServerOutput, PeerMessage};
use crate::lease::log_record::LeaseLogRecord;
use crate::lease::messages::{LeaseRequest, RecoveryResponse, ServerIncarnation};
use crate::lease::server::incarnation::next_incarnation;
use crate::{Incarnation, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// How far a lease server has come since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryState {
    /// It asks the other servers for what it may have forgotten, and grants nothing.
    Recovering {
        /// The servers that answered from memory, by index.
        answered: BTreeSet<usize>,
        /// The servers that answered that they have no memory, with their incarnations.
        blank: BTreeMap<usize, Incarnation>,
    },
    /// What it granted before its start may still be held until this time of its clock.
    WaitingForOldGrants(Micros),
    /// It grants leases.
    Granting,
}

impl RecoveryState {
    /// The state in which nobody has answered yet.
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
    /// What to ask the other lease servers, again and again until this is `None`.
    pub fn recovery_request(&self) -> Option<LeaseRequest> {
        let request = LeaseRequest::RequestRecovery(ServerIncarnation {
            server: self.config.server_index,
            incarnation: self.incarnation,
        });
        self.recovery.is_recovering().then_some(request)
    }

    /// Looks whether enough servers have answered, and whether the wait for old grants is over. What is returned must be
    /// durable before anything else is carried out.
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

    /// Whether enough other servers have answered. Where all servers are blank, which is a fleet's first start, the
    /// others are kept in mind as founders.
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
        // All that answered know this incarnation by now, and no newer one.
        let is_known_founder =
            self.is_founder && self.is_blank && answered.len() + blank.len() >= quorum;
        answered.len() >= quorum || is_first_start || is_known_founder
    }

    /// The memory counts from here on; what this server granted before its start may still be held.
    ///
    /// The wait runs from here and not from the start: where this server takes another one's place, that one may have
    /// granted until those that answered went over to the new list.
    fn complete_recovery(&mut self, now: Micros) -> Option<LeaseLogRecord> {
        // Leases may have been longer before operators changed them.
        let longest = self.config.max_duration.max(self.grants.longest_duration());
        self.recovery = RecoveryState::WaitingForOldGrants(now.saturating_add(longest));
        let founders = self.founders.iter().copied().collect();
        let was_blank = std::mem::take(&mut self.is_blank);
        was_blank.then_some(LeaseLogRecord::RecoveryComplete { founders })
    }

    /// Answers another server that has just started.
    pub(super) fn handle_recovery_request(
        &mut self,
        requester: ServerIncarnation,
    ) -> LeaseServerOutput {
        if !self.is_other_server(requester.server) {
            return LeaseServerOutput::default();
        }
        let record = self.learn_incarnation(requester);
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

    /// A client knows of a newer process under this server's name: this one asks the others again before it counts.
    pub(super) fn handle_superseded(&mut self, newest: ServerIncarnation) {
        if newest.server == self.config.server_index
            && newest.incarnation > self.incarnation
            && self.recovery == RecoveryState::Granting
        {
            self.restart_recovery(newest.incarnation);
        }
    }

    /// Takes what another server remembers.
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
            // Another process had this name, or has it: this one is to be the newest before it counts.
            self.restart_recovery(response.newest_requester);
            return LeaseServerOutput::default();
        }
        let mut log_records = self.learn_incarnations(&response);
        self.count_answer(&response);
        for told in response.epochs {
            let learned = self.grants.learn_epoch(told);
            log_records.extend(learned.map(LeaseLogRecord::Grant));
        }
        // Another server found all servers blank, this very incarnation among them, before this one did.
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

    fn count_answer(&mut self, response: &RecoveryResponse) {
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

    /// Goes on as an incarnation above `newest`, and counts again once enough of the others know it.
    fn restart_recovery(&mut self, newest: Incarnation) {
        self.incarnation = next_incarnation(newest, self.incarnation);
        self.is_founder = false;
        self.recovery = RecoveryState::unanswered();
    }

    /// Takes in the incarnations that another server knows of, and its own.
    fn learn_incarnations(&mut self, response: &RecoveryResponse) -> Vec<LeaseLogRecord> {
        let responder = ServerIncarnation {
            server: response.server,
            incarnation: response.responder,
        };
        let mut records = Vec::new();
        for told in response.incarnations.iter().chain([&responder]) {
            if self.is_other_server(told.server) {
                records.extend(self.learn_incarnation(*told));
            }
        }
        records
    }

    /// Takes in an incarnation of another server, if it is the newest known of that one.
    fn learn_incarnation(&mut self, told: ServerIncarnation) -> Option<LeaseLogRecord> {
        let known = self.incarnations.get(&told.server);
        if known.is_some_and(|known| *known >= told.incarnation) {
            return None;
        }
        self.incarnations.insert(told.server, told.incarnation);
        Some(LeaseLogRecord::Incarnation(told))
    }

    /// Whether this index is one of the list, and not this server's own.
    fn is_other_server(&self, server: usize) -> bool {
        server != self.config.server_index && server < self.config.server_count
    }
}
