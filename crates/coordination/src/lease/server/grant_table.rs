//! The grants of one lease server, by task.

use crate::lease::log_record::{GrantRecord, LeaseLogRecord};
use crate::lease::messages::{AcquireRequest, LeaseResponse, ServerIncarnation, TaskEpoch};
use crate::{Epoch, Incarnation, Micros, ProcessId};
use std::collections::BTreeMap;

/// Tasks that a lease server remembers. Tasks are few and named by the program, so this bounds what a bug can do.
pub const MAX_TASKS: usize = 1024;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    epoch: Epoch,
    /// `None` after a release, or where the epoch is only known from other servers.
    holder: Option<ProcessId>,
    duration: Micros,
    /// When the grant ends by this server's clock.
    until: Micros,
}

/// One row of a lease server's table, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTableEntry {
    /// The task's name.
    pub task: String,
    /// The highest epoch known.
    pub epoch: Epoch,
    /// Who holds the lease by this server.
    pub holder: Option<ProcessId>,
    /// How much longer, in microseconds.
    pub remaining: Micros,
}

/// What a server says of itself in each grant.
pub(super) struct Grantor {
    pub(super) incarnation: Incarnation,
    /// The newest incarnation known of each other server.
    pub(super) known_incarnations: Vec<ServerIncarnation>,
}

/// The answer to a request for a lease.
pub(super) struct AcquireOutcome {
    pub(super) response: LeaseResponse,
    /// Must be durable before the response goes out.
    pub(super) record: Option<GrantRecord>,
}

/// All grants of one lease server. The epochs of a task never fall, and grants to two holders never overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantTable {
    grants: BTreeMap<String, Grant>,
}

impl GrantTable {
    /// The table as the server's log has it. How much of a grant has run out by `now` nobody knows, so all of its
    /// duration may be ahead.
    pub(super) fn from_log(records: &[LeaseLogRecord], now: Micros) -> GrantTable {
        let mut table = GrantTable::default();
        for record in records {
            if let LeaseLogRecord::Grant(grant) = record {
                table.restore(grant, now);
            }
        }
        table
    }

    fn restore(&mut self, record: &GrantRecord, now: Micros) {
        let known = self.grants.get(&record.task);
        if known.is_some_and(|known| known.epoch > record.epoch) {
            return;
        }
        let until = if record.holder.is_some() {
            now.saturating_add(record.duration)
        } else {
            now
        };
        let grant = Grant {
            epoch: record.epoch,
            holder: record.holder.clone(),
            duration: record.duration,
            until,
        };
        self.grants.insert(record.task.clone(), grant);
    }

    /// The longest duration of all grants, in microseconds; 0 without any.
    pub(super) fn longest_duration(&self) -> Micros {
        let durations = self.grants.values().map(|grant| grant.duration);
        durations.max().unwrap_or(0)
    }

    /// Each task with its highest epoch.
    pub(super) fn epochs(&self) -> Vec<TaskEpoch> {
        let epoch_of = |(task, grant): (&String, &Grant)| TaskEpoch {
            task: task.clone(),
            epoch: grant.epoch,
        };
        self.grants.iter().map(epoch_of).collect()
    }

    /// Takes an epoch that another server knows of. What is returned must be durable before the epoch counts as known.
    pub(super) fn learn_epoch(&mut self, told: TaskEpoch) -> Option<GrantRecord> {
        let TaskEpoch { task, epoch } = told;
        let known_epoch = self.epoch_of(&task);
        let is_full = self.grants.len() >= MAX_TASKS;
        if epoch <= known_epoch || (known_epoch == Epoch::default() && is_full) {
            return None;
        }
        let grant = Grant {
            epoch,
            holder: None,
            duration: 0,
            until: 0,
        };
        self.grants.insert(task.clone(), grant);
        Some(GrantRecord {
            task,
            epoch,
            holder: None,
            duration: 0,
        })
    }

    /// Ends a grant early. A release that comes late must not free what was granted since. It need not be durable: a
    /// server that forgets it takes the task as granted for a while longer.
    pub(super) fn release(&mut self, task: &str, holder: &ProcessId, epoch: Epoch, now: Micros) {
        if let Some(grant) = self.grants.get_mut(task) {
            if grant.epoch == epoch && grant.holder.as_ref() == Some(holder) {
                grant.holder = None;
                grant.until = now;
            }
        }
    }

    /// Grants or refuses a lease. `max_duration` is the longest that may be granted, in microseconds.
    pub(super) fn acquire(
        &mut self,
        request: AcquireRequest,
        max_duration: Micros,
        grantor: Grantor,
        now: Micros,
    ) -> AcquireOutcome {
        if !self.can_grant(&request, max_duration, now) {
            return AcquireOutcome {
                response: self.refuse(request, now),
                record: None,
            };
        }
        let renewed = self
            .grants
            .get(&request.task)
            .filter(|grant| grant.is_renewed_by(&request));
        // Going on with a grant changes nothing that a restart would need: it takes all of the duration as ahead.
        let is_logged = renewed.is_some_and(|grant| grant.duration >= request.duration);
        let earlier_end = renewed.map_or(0, |grant| grant.until);
        let until = now.saturating_add(request.duration).max(earlier_end);
        let record = GrantRecord {
            task: request.task.clone(),
            epoch: request.epoch,
            holder: Some(request.requester.clone()),
            duration: request.duration,
        };
        let grant = Grant {
            epoch: request.epoch,
            holder: Some(request.requester.clone()),
            duration: request.duration,
            until,
        };
        self.grants.insert(request.task.clone(), grant);
        let response = LeaseResponse::Granted {
            task: request.task,
            requester: request.requester.incarnation,
            round: request.round,
            epoch: request.epoch,
            server_incarnation: grantor.incarnation,
            incarnations: grantor.known_incarnations,
        };
        AcquireOutcome {
            response,
            record: (!is_logged).then_some(record),
        }
    }

    /// Whether a request may be granted: nobody else has time left, the epoch is a new one or that of the grant that
    /// goes on, and the duration is within bounds.
    fn can_grant(&self, request: &AcquireRequest, max_duration: Micros, now: Micros) -> bool {
        let is_valid_duration = request.duration > 0 && request.duration <= max_duration;
        let is_new_epoch = request.epoch > self.epoch_of(&request.task);
        let Some(known) = self.grants.get(&request.task) else {
            return is_valid_duration && is_new_epoch && self.grants.len() < MAX_TASKS;
        };
        let is_free = known.is_held_by(&request.requester) || now >= known.until;
        is_valid_duration && is_free && (is_new_epoch || known.is_renewed_by(request))
    }

    fn refuse(&self, request: AcquireRequest, now: Micros) -> LeaseResponse {
        let known = self.grants.get(&request.task);
        LeaseResponse::Refused {
            requester: request.requester.incarnation,
            round: request.round,
            epoch: self.epoch_of(&request.task),
            holder: known.and_then(|grant| grant.holder.clone()),
            remaining: known.map_or(0, |grant| grant.until.saturating_sub(now)),
            task: request.task,
        }
    }

    /// The highest epoch known for a task; 0 where none is.
    fn epoch_of(&self, task: &str) -> Epoch {
        self.grants
            .get(task)
            .map_or(Epoch::default(), |grant| grant.epoch)
    }

    /// The rows of the table at this moment.
    pub(super) fn entries(&self, now: Micros) -> impl Iterator<Item = LeaseTableEntry> + '_ {
        self.grants.iter().map(move |(task, grant)| {
            let remaining = grant.until.saturating_sub(now);
            LeaseTableEntry {
                task: task.clone(),
                epoch: grant.epoch,
                holder: grant.holder.clone().filter(|_| remaining > 0),
                remaining,
            }
        })
    }
}

impl Grant {
    fn is_held_by(&self, process: &ProcessId) -> bool {
        self.holder.as_ref() == Some(process)
    }

    /// Whether a request asks for this very grant to go on.
    fn is_renewed_by(&self, request: &AcquireRequest) -> bool {
        self.is_held_by(&request.requester) && self.epoch == request.epoch
    }
}
