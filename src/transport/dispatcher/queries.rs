//! Answers queries about the dispatcher's state. Queries change nothing.

use super::{send_reply, Dispatcher};
use crate::protocol::admin::{
    ClassResponses, CrossZoneAttempts, FailedAttempts, NodeMetrics, ReloadCounts,
};
use crate::routing::cross_zone::RequestGroup;
use crate::routing::{ReplicaStatus, ResponseCounts};
use crate::transport::messages::{CrossZoneMinute, DispatcherQuery};
use poppykeel_scheduler::{BudgetDemand, BudgetKind};
use std::collections::BTreeMap;

/// Names of a request group's class and tenant, as shown to operators.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GroupName {
    class: String,
    tenant: String,
}

impl Dispatcher {
    pub(super) fn answer_query(&self, query: DispatcherQuery) {
        match query {
            DispatcherQuery::Metrics(reply) => send_reply(reply, self.metrics()),
            DispatcherQuery::CrossZoneTraffic(reply) => {
                send_reply(reply, self.cross_zone_minutes());
            }
            DispatcherQuery::BudgetDemand(reply) => send_reply(reply, self.budget_demand()),
            DispatcherQuery::ReplicaStatuses(reply) => {
                send_reply(reply, self.replica_statuses_by_name());
            }
            DispatcherQuery::LearnedState(reply) => {
                send_reply(reply, self.router.export_learned_state());
            }
        }
    }

    fn metrics(&self) -> NodeMetrics {
        let attempt_ends = self.router.failed_attempt_counts();
        NodeMetrics {
            responses: self.responses_by_class(),
            attempts_sent: self.replica_client.sent_count(),
            active_requests: self.router.active_count(),
            replica_count: self.directory.listed_count(),
            avoided_replica_count: self.router.unavailable_replica_count(),
            cross_zone_attempts: self.cross_zone_totals(),
            attempt_ends: attempt_ends
                .into_iter()
                .map(|counted| FailedAttempts {
                    outcome: counted.outcome,
                    count: counted.count,
                })
                .collect(),
            // `transport::admin` fills these in.
            reloads: ReloadCounts::default(),
            fleet: Vec::new(),
            client_closes: Vec::new(),
        }
    }

    /// Counts of completed, rejected and failed responses per class name. A class gets a new index when its settings change;
    /// the counts of all its indices are added up.
    fn responses_by_class(&self) -> Vec<ClassResponses> {
        let mut rows: Vec<ClassResponses> = Vec::new();
        for (class, name) in self.replica_client.site().names.classes.iter().enumerate() {
            let ResponseCounts {
                completed,
                rejected,
                failed,
            } = self.router.response_counts(class);
            if let Some(row) = rows.iter_mut().find(|row| row.class == *name) {
                row.completed += completed;
                row.rejected += rejected;
                row.failed += failed;
            } else {
                rows.push(ClassResponses {
                    class: name.clone(),
                    completed,
                    rejected,
                    failed,
                });
            }
        }
        rows
    }

    fn cross_zone_minutes(&self) -> Vec<CrossZoneMinute> {
        let mut rows = Vec::new();
        for counted in self.replica_client.cross_zone_traffic().by_minute() {
            let GroupName { class, tenant } = self.group_name(counted.group);
            rows.push(CrossZoneMinute {
                minute: counted.minute,
                class,
                tenant,
                count: counted.count,
            });
        }
        rows
    }

    /// Totals since the start by class and tenant name. A class gets a new index when its settings change; the counts of all
    /// its indices are added up.
    fn cross_zone_totals(&self) -> Vec<CrossZoneAttempts> {
        let mut sums: BTreeMap<GroupName, u64> = BTreeMap::new();
        for counted in self.replica_client.cross_zone_traffic().totals() {
            *sums.entry(self.group_name(counted.group)).or_default() += counted.count;
        }
        sums.into_iter()
            .map(|(name, count)| CrossZoneAttempts {
                class: name.class,
                tenant: name.tenant,
                count,
            })
            .collect()
    }

    fn group_name(&self, group: RequestGroup) -> GroupName {
        let names = &self.replica_client.site().names;
        GroupName {
            class: name_at(&names.classes, group.class),
            tenant: name_at(&names.tenants, group.tenant),
        }
    }

    /// Demand of this node for each budget. The endpoint watcher counts the demand for polls of the endpoint list.
    fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        let mut demand = self.router.budget_demand();
        demand.extend(self.endpoint_watcher.budget_demand());
        demand
    }

    fn replica_statuses_by_name(&self) -> BTreeMap<String, ReplicaStatus> {
        let mut by_name = BTreeMap::new();
        for status in self.router.replica_statuses() {
            if let Some(name) = self.directory.name(status.replica) {
                by_name.insert(name.to_string(), status);
            }
        }
        by_name
    }
}

/// The name at this index; empty if the settings have none.
fn name_at(names: &[String], index: usize) -> String {
    names.get(index).cloned().unwrap_or_default()
}
