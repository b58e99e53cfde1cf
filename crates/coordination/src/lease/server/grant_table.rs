//! The grants of one lease server, by task.

use crate::lease::log_record::{GrantRecord, LeaseLogRecord};
use crate::lease::messages::{AcquireRequest, LeaseResponse, ServerIncarnation, TaskEpoch};
use crate::{Epoch, Incarnation, Micros, ProcessId};
use std::collections::BTreeMap;

/// The maximum number of tasks in the table of a lease server; requests for further tasks are refused. The program uses
/// a few fixed names, so the limit only bounds memory use in case of a bug.
pub const MAX_TASKS: usize = 1024;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    epoch: Epoch,
    /// `None` after a release, or if the epoch is only known from other servers.
    holder: Option<ProcessId>,
    duration: Micros,
    /// When the grant expires by this server's clock.
    until: Micros,
}

/// One row of a lease server's grant table, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTableEntry {
    /// The task's name.
    pub task: String,
    /// The highest epoch of the task that this server knows.
    pub epoch: Epoch,
    /// The holder of this server's grant; `None` if it has expired or was released.
    pub holder: Option<ProcessId>,
    /// The remaining time of the grant, in microseconds; 0 if it has expired or was released.
    pub remaining: Micros,
}

/// The identity of the granting server, sent with each grant.
pub(super) struct Grantor {
    pub(super) incarnation: Incarnation,
    /// The newest known incarnation of each other server.
    pub(super) known_incarnations: Vec<ServerIncarnation>,
}

/// The response to an acquire request, with the record to write before it.
pub(super) struct AcquireOutcome {
    pub(super) response: LeaseResponse,
    /// Must be durable before the response is sent; `None` if the grant is refused or already logged.
    pub(super) record: Option<GrantRecord>,
}

/// All grants of one lease server. The epochs of a task never decrease, and its grants to two holders never overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantTable {
    grants: BTreeMap<String, Grant>,
}

impl GrantTable {
    /// Restores the table from the server's log. How much of a grant's duration has elapsed by `now` is unknown, so the
    /// full duration is assumed to remain.
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

    /// The longest duration of all grants, in microseconds; 0 if there are none.
    pub(super) fn longest_duration(&self) -> Micros {
        let durations = self.grants.values().map(|grant| grant.duration);
        durations.max().unwrap_or(0)
    }

    pub(super) fn epochs(&self) -> Vec<TaskEpoch> {
        let epoch_of = |(task, grant): (&String, &Grant)| TaskEpoch {
            task: task.clone(),
            epoch: grant.epoch,
        };
        self.grants.iter().map(epoch_of).collect()
    }

    /// Records an epoch reported by another server, if it is higher than the known one. The returned record must be
    /// durable before the recovery completes.
    pub(super) fn record_reported_epoch(&mut self, reported: TaskEpoch) -> Option<GrantRecord> {
        let TaskEpoch { task, epoch } = reported;
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

    /// Ends a grant early, if it is for this holder and epoch: a delayed release message must not end a later grant. A
    /// release is not logged: a server that restarts only treats the task as granted for longer.
    pub(super) fn release(&mut self, task: &str, holder: &ProcessId, epoch: Epoch, now: Micros) {
        if let Some(grant) = self.grants.get_mut(task) {
            if grant.epoch == epoch && grant.holder.as_ref() == Some(holder) {
                grant.holder = None;
                grant.until = now;
            }
        }
    }

    /// Grants or refuses a lease. `max_duration` is the longest permitted duration, in microseconds.
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
        // A renewal needs no new record: after a restart the full duration is assumed to remain in any case.
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

    /// Whether a request may be granted: no other process has an unexpired grant, the epoch is new or that of the grant
    /// to be renewed, and the duration is within bounds.
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

    /// The highest known epoch of a task; 0 if none is known.
    fn epoch_of(&self, task: &str) -> Epoch {
        self.grants
            .get(task)
            .map_or(Epoch::default(), |grant| grant.epoch)
    }

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

    /// Whether a request renews this grant.
    fn is_renewed_by(&self, request: &AcquireRequest) -> bool {
        self.is_held_by(&request.requester) && self.epoch == request.epoch
    }
}
