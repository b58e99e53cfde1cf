//! The coordinator of outlier probing, under one epoch of its lease.

use super::messages::{ProbingMessage, Verdict, MAX_REPLICAS_PER_MESSAGE};
use super::MAX_REPLICAS;
use crate::{Epoch, Micros};
use std::collections::BTreeMap;

/// The health of a replica as one node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaHealth {
    /// It is ejected here and gets probes only.
    pub is_ejected: bool,
    /// When the last answer came from it, if nothing has failed there since; in microseconds.
    pub last_success_at: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct EjectionReport {
    first_at: Micros,
    last_at: Micros,
}

/// The coordinator, under one epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbingCoordinator {
    epoch: Epoch,
    /// Replicas that some node has ejected, by name.
    reports: BTreeMap<String, EjectionReport>,
}

impl ProbingCoordinator {
    /// Begins to coordinate.
    pub fn new(epoch: Epoch) -> ProbingCoordinator {
        ProbingCoordinator {
            epoch,
            reports: BTreeMap::new(),
        }
    }

    /// The epoch under which it coordinates.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes a node's report that these replicas are ejected there.
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

    /// The message to the other nodes. `health_of` says how a replica stands here; what nobody has reported for
    /// `forget_after` microseconds is forgotten. A replica that is neither ejected here nor has answered since the first
    /// report gets no verdict: the others go on by themselves.
    pub fn verdicts(
        &mut self,
        health_of: impl Fn(&str) -> Option<ReplicaHealth>,
        now: Micros,
        forget_after: Micros,
    ) -> ProbingMessage {
        self.reports
            .retain(|_, report| now < report.last_at.saturating_add(forget_after));
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
