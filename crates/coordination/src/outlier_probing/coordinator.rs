//! The coordinator of outlier probing, for one epoch of the probing lease.

use super::messages::{ProbingMessage, Verdict, MAX_REPLICAS_PER_MESSAGE};
use super::MAX_REPLICAS;
use crate::{Epoch, Micros};
use std::collections::BTreeMap;

/// The health of a replica as observed at the local node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaHealth {
    /// Whether the replica is ejected at this node and receives only probes.
    pub is_ejected: bool,
    /// When the replica last answered, in microseconds; `None` if an attempt has failed since.
    pub last_success_at: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct EjectionReport {
    first_at: Micros,
    last_at: Micros,
}

/// Collects the nodes' reports of ejected replicas and creates the verdicts, for one epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbingCoordinator {
    epoch: Epoch,
    /// Reports on replicas that any node has ejected, by replica name.
    reports: BTreeMap<String, EjectionReport>,
}

impl ProbingCoordinator {
    /// Creates a coordinator that has no reports yet. `epoch` is that of the probing lease.
    pub fn new(epoch: Epoch) -> ProbingCoordinator {
        ProbingCoordinator {
            epoch,
            reports: BTreeMap::new(),
        }
    }

    /// The epoch of the coordinator.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Records a node's report of its ejected replicas. Replicas beyond [`MAX_REPLICAS_PER_MESSAGE`] are ignored.
    pub fn handle_report(&mut self, replicas: Vec<String>, now: Micros) {
        for replica in replicas.into_iter().take(MAX_REPLICAS_PER_MESSAGE) {
            if self.reports.len() < MAX_REPLICAS || self.reports.contains_key(&replica) {
                let first = EjectionReport {
                    first_at: now,
                    last_at: now,
                };
                self.reports.entry(replica).or_insert(first).last_at = now;
            }
        }
    }

    /// The message with the verdicts, to be sent to the other nodes. `health_of` returns the health of a replica at
    /// this node, `None` if the replica is unknown here; reports that have not been repeated for `report_ttl`
    /// microseconds are removed. A replica that is neither ejected here nor has answered since the first report gets no
    /// verdict, and the other nodes rely on their own probes.
    pub fn verdicts(
        &mut self,
        health_of: impl Fn(&str) -> Option<ReplicaHealth>,
        now: Micros,
        report_ttl: Micros,
    ) -> ProbingMessage {
        self.reports
            .retain(|_, report| now < report.last_at.saturating_add(report_ttl));
        let mut verdicts = Vec::new();
        for (replica, report) in &self.reports {
            if verdicts.len() == MAX_REPLICAS_PER_MESSAGE {
                break;
            }
            let Some(health) = health_of(replica) else {
                continue;
            };
            let has_answered = health
                .last_success_at
                .is_some_and(|at| at > report.first_at);
            if health.is_ejected || has_answered {
                verdicts.push(Verdict {
                    replica: replica.clone(),
                    is_healthy: !health.is_ejected,
                });
            }
        }
        ProbingMessage::Verdicts {
            epoch: self.epoch,
            verdicts,
        }
    }
}
