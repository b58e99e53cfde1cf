//! A lease server: its grant table, and its recovery after a start.
//!
//! | state | grants leases | next state |
//! | --- | --- | --- |
//! | `Recovering` | no | `WaitingForOldGrants` once enough other servers have sent their state |
//! | `WaitingForOldGrants` | no | `Granting` once all grants that it may have given before its start have expired |
//! | `Granting` | yes | `Recovering` if a newer process under the same name is known |
//!
//! A server that trusts its log, and finds it complete, starts in `Granting`.

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

/// The configuration of a lease server. `server_count` and `max_duration` must be equal on all lease servers of a
/// fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseServerConfig {
    /// The number of lease servers.
    pub server_count: usize,
    /// The index of this server in the list of lease servers.
    pub server_index: usize,
    /// The longest lease duration, in microseconds. Requests for a longer one are refused.
    pub max_duration: Micros,
    /// Whether the log is trusted after a restart. If not, the server recovers its grants from the other servers, since
    /// a log on a disk that was restored to an older state also looks complete.
    pub trusts_log: bool,
}

/// A message from one lease server to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The index of the recipient.
    pub server: usize,
    /// Sent once the log records of the same output are durable.
    pub message: LeaseRequest,
}

/// The outputs of a lease server for one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseServerOutput {
    /// Must be durable before the other outputs are executed.
    pub log_records: Vec<LeaseLogRecord>,
    /// The response to the requesting node; `None` if nothing is to be sent.
    pub response: Option<LeaseResponse>,
    /// The response to the requesting lease server; `None` if nothing is to be sent.
    pub peer_message: Option<PeerMessage>,
}

/// A lease server. It does no I/O: the caller passes in messages and time and executes the returned outputs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseServer {
    config: LeaseServerConfig,
    incarnation: Incarnation,
    /// Whether the server started without a complete log and has not recovered yet.
    is_blank: bool,
    /// The other servers with their incarnations, if this server found all servers blank (the first start of a fleet);
    /// otherwise empty.
    founders: BTreeSet<ServerIncarnation>,
    /// Whether another server has recorded this incarnation as one of its founders.
    is_founder: bool,
    /// The newest known incarnation of each other server, by index. Used to detect a second process under a server's
    /// name.
    incarnations: BTreeMap<usize, Incarnation>,
    grants: GrantTable,
    recovery: RecoveryState,
}

impl LeaseServer {
    /// Creates a server that starts now with the records of its log. `incarnation` must differ from those of earlier
    /// starts; if the log holds one of this server that is not older, the server uses a newer one instead.
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

    /// Replaces the list of lease servers. The grants of this server are retained. Since server indexes have changed, a
    /// recovery in progress collects its responses again.
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

    /// The state of the recovery, which decides whether the server grants leases.
    pub fn recovery_state(&self) -> &RecoveryState {
        &self.recovery
    }

    /// When [`LeaseServer::advance`] must be called next; `None` if only messages can change the state.
    pub fn next_deadline(&self) -> Option<Micros> {
        match self.recovery {
            RecoveryState::WaitingForOldGrants(until) => Some(until),
            RecoveryState::Recovering { .. } | RecoveryState::Granting => None,
        }
    }

    /// Handles a message from a client or another server.
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

    /// Grants or refuses a lease. A server that does not grant yet does not respond.
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

    /// The newest known incarnation of each other server.
    fn known_incarnations(&self) -> Vec<ServerIncarnation> {
        let known = self.incarnations.iter();
        known
            .map(|(server, incarnation)| ServerIncarnation {
                server: *server,
                incarnation: *incarnation,
            })
            .collect()
    }

    /// The grant table, as shown to operators.
    pub fn table(&self, now: Micros) -> impl Iterator<Item = LeaseTableEntry> + '_ {
        self.grants.entries(now)
    }
}

/// The newest incarnation of each server in a log, by server index.
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
