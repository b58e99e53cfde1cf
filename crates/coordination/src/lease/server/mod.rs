//! One lease server: its part of the table of grants, and its recovery after a start.
//!
//! | state | grants | leaves it when |
//! | --- | --- | --- |
//! | `Recovering` | nothing | enough other servers told what they remember: `WaitingForOldGrants` |
//! | `WaitingForOldGrants` | nothing | all that it may have granted before its start has run out: `Granting` |
//! | `Granting` | yes | a newer process under its name is known: `Recovering` |
//!
//! A server that trusts its own log, and finds it complete, begins in `Granting`.

mod grant_table;
mod incarnation;
mod recovery;

use super::log_record::LeaseLogRecord;
use super::messages::{AcquireRequest, LeaseRequest, LeaseResponse, ServerIncarnation};
use crate::{Incarnation, Micros};
use grant_table::{GrantTable, Grantor};
use incarnation::next_incarnation;
use std::collections::{BTreeMap, BTreeSet};

pub use grant_table::{LeaseTableEntry, MAX_TASKS};
pub use recovery::RecoveryState;

/// What the lease servers of one fleet must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseServerConfig {
    /// How many lease servers there are.
    pub server_count: usize,
    /// This one's index among them.
    pub server_index: usize,
    /// The longest lease, in microseconds.
    pub max_duration: Micros,
    /// Whether the server's own log is believed to be as it left it. If not, what it granted before is asked of the
    /// others, since a disk that was put back to an older state looks complete.
    pub trusts_log: bool,
}

/// A message from one lease server to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The index of the server that it goes to.
    pub server: usize,
    /// The message.
    pub message: LeaseRequest,
}

/// What a lease server does about a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseServerOutput {
    /// Must be durable before anything else is carried out.
    pub log_records: Vec<LeaseLogRecord>,
    /// Goes to the node that asked.
    pub response: Option<LeaseResponse>,
    /// Goes to the lease server that asked.
    pub peer_message: Option<PeerMessage>,
}

/// A lease server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseServer {
    config: LeaseServerConfig,
    incarnation: Incarnation,
    /// Whether it has no memory of its own.
    is_blank: bool,
    /// Where all servers began without a memory: the others then.
    founders: BTreeSet<ServerIncarnation>,
    /// Whether another server found all servers blank, this incarnation among them.
    is_founder: bool,
    /// The newest incarnation known of each other server, by index. A second process under a server's name is told by
    /// it.
    incarnations: BTreeMap<usize, Incarnation>,
    grants: GrantTable,
    recovery: RecoveryState,
}

impl LeaseServer {
    /// A server that starts now with what its log holds. `incarnation` must differ from those of earlier starts.
    pub fn new(
        config: LeaseServerConfig,
        incarnation: Incarnation,
        log: &[LeaseLogRecord],
        now: Micros,
    ) -> LeaseServer {
        let logged_founders = log.iter().find_map(|record| match record {
            LeaseLogRecord::RecoveryComplete { founders } => Some(founders),
            LeaseLogRecord::Grant(_) | LeaseLogRecord::Incarnation(_) => None,
        });
        let is_blank = logged_founders.is_none();
        let recovery = if config.trusts_log && !is_blank {
            RecoveryState::Granting
        } else {
            RecoveryState::unanswered()
        };
        let mut incarnations = newest_incarnations(log);
        let logged_own = incarnations.remove(&config.server_index);
        let incarnation = match logged_own {
            Some(logged) if logged >= incarnation => next_incarnation(logged, incarnation),
            _ => incarnation,
        };
        LeaseServer {
            config,
            incarnation,
            is_blank,
            founders: logged_founders.into_iter().flatten().copied().collect(),
            is_founder: false,
            incarnations,
            grants: GrantTable::from_log(log, now),
            recovery,
        }
    }

    /// Another list of lease servers is in force from now on; this one goes on with what it knows. Indexes have changed,
    /// so which servers have answered must be found out again.
    pub fn set_servers(&mut self, server_index: usize, server_count: usize) {
        self.config.server_index = server_index;
        self.config.server_count = server_count;
        if let RecoveryState::Recovering { answered, blank } = &mut self.recovery {
            answered.clear();
            blank.clear();
        }
        self.founders.clear();
        self.incarnations.clear();
        self.is_founder = false;
    }

    /// How far the server has come since its start.
    pub fn recovery_state(&self) -> &RecoveryState {
        &self.recovery
    }

    /// When [`LeaseServer::advance`] has something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        match self.recovery {
            RecoveryState::WaitingForOldGrants(until) => Some(until),
            RecoveryState::Recovering { .. } | RecoveryState::Granting => None,
        }
    }

    /// Takes a message.
    pub fn handle(&mut self, now: Micros, message: LeaseRequest) -> LeaseServerOutput {
        let recovery_record = self.advance(now);
        let mut output = self.dispatch(now, message);
        output.log_records.splice(0..0, recovery_record);
        output
    }

    fn dispatch(&mut self, now: Micros, message: LeaseRequest) -> LeaseServerOutput {
        match message {
            LeaseRequest::Acquire(request) => self.handle_acquire(now, request),
            LeaseRequest::Release {
                task,
                holder,
                epoch,
            } => {
                self.grants.release(&task, &holder, epoch, now);
                LeaseServerOutput::default()
            }
            LeaseRequest::RequestRecovery(requester) => self.handle_recovery_request(requester),
            LeaseRequest::Recovery(response) => self.handle_recovery_response(response, now),
            LeaseRequest::Superseded(newest) => {
                self.handle_superseded(newest);
                LeaseServerOutput::default()
            }
        }
    }

    /// Grants or refuses a lease; a server that does not grant yet says nothing.
    fn handle_acquire(&mut self, now: Micros, request: AcquireRequest) -> LeaseServerOutput {
        if self.recovery != RecoveryState::Granting {
            return LeaseServerOutput::default();
        }
        let grantor = Grantor {
            incarnation: self.incarnation,
            known_incarnations: self.known_incarnations(),
        };
        let outcome = self
            .grants
            .acquire(request, self.config.max_duration, grantor, now);
        let record = outcome.record.map(LeaseLogRecord::Grant);
        LeaseServerOutput {
            log_records: record.into_iter().collect(),
            response: Some(outcome.response),
            peer_message: None,
        }
    }

    /// The newest incarnation known of each other server.
    fn known_incarnations(&self) -> Vec<ServerIncarnation> {
        let known = self.incarnations.iter();
        known
            .map(|(server, incarnation)| ServerIncarnation {
                server: *server,
                incarnation: *incarnation,
            })
            .collect()
    }

    /// The table of grants as operators see it.
    pub fn table(&self, now: Micros) -> impl Iterator<Item = LeaseTableEntry> + '_ {
        self.grants.entries(now)
    }
}

/// The newest incarnation of each server that a log tells of, by index.
fn newest_incarnations(log: &[LeaseLogRecord]) -> BTreeMap<usize, Incarnation> {
    let mut newest: BTreeMap<usize, Incarnation> = BTreeMap::new();
    for record in log {
        if let LeaseLogRecord::Incarnation(logged) = record {
            let known = newest.entry(logged.server).or_insert(logged.incarnation);
            *known = logged.incarnation.max(*known);
        }
    }
    newest
}
