//! What a scheduler tells of itself, new settings, and the learned state that one process leaves to the next.

use super::Scheduler;
use crate::fair_queue::FairQueue;
use crate::types::{
    BudgetDemand, BudgetGrants, BudgetKind, LearnedState, ReplicaId, RequestId, SchedulerSettings,
    Seconds, SettingsError,
};
use std::collections::BTreeMap;

/// Figures for the log and for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerGauges {
    /// Requests that may be in flight at all warm replicas together.
    pub concurrency_limit: f64,
    /// Requests that are.
    pub in_flight: usize,
    /// Queued requests by tenant.
    pub queued_by_tenant: Vec<usize>,
    /// Replicas known: those listed, and removed ones with attempts in flight.
    pub replica_count: usize,
}

/// The health of one listed replica as this router's attempts show it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaHealthStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// It gets single attempts as trials only.
    pub is_ejected: bool,
    /// When its last answer came, if nothing has failed there since.
    pub last_success_at: Option<Seconds>,
}

impl Scheduler {
    /// Figures as they are now.
    pub fn gauges(&self) -> SchedulerGauges {
        let rules = &self.settings.lifecycle;
        SchedulerGauges {
            concurrency_limit: self.concurrency.limit(),
            in_flight: self.replicas.in_flight_at_warm(rules, self.now),
            queued_by_tenant: self.queue.queued_by_tenant(),
            replica_count: self.replicas.len(),
        }
    }

    /// The number of listed replicas that get nothing, or trials only.
    pub fn unavailable_replica_count(&self) -> usize {
        let listed = self
            .replicas
            .values()
            .filter(|replica| !replica.is_removed());
        listed
            .filter(|replica| !replica.is_available() || replica.health.is_ejected())
            .count()
    }

    /// The health of each listed replica.
    pub fn replica_health(&self) -> Vec<ReplicaHealthStatus> {
        let mut health = Vec::new();
        for (id, replica) in self.replicas.iter() {
            if !replica.is_removed() {
                health.push(ReplicaHealthStatus {
                    replica: id,
                    is_ejected: replica.health.is_ejected(),
                    last_success_at: replica.health.last_success_at(),
                });
            }
        }
        health
    }

    /// Takes what the fleet grants from now on.
    pub fn set_budget_grants(&mut self, grants: &BudgetGrants) {
        self.budgets.set_grants(self.now, grants);
    }

    /// What has been asked for since the start, for each kind that has a budget.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.budgets.demand()
    }

    /// Takes new settings, whose classes and tenants keep their positions. Queued requests move to the tier of the
    /// priority weight with which they came; all others keep their class.
    ///
    /// # Errors
    /// The settings must pass [`SchedulerSettings::check`]; if they don't, nothing changes.
    pub fn update_settings(&mut self, settings: SchedulerSettings) -> Result<(), SettingsError> {
        settings.check()?;
        let queued = self.queued_requests();
        for id in &queued {
            self.dequeue(*id);
        }
        let queue = FairQueue::new(&settings);
        let old_queue = std::mem::replace(&mut self.queue, queue);
        for request in self.requests.values_mut() {
            let priority_weight = old_queue.priority_weight(request.tier());
            request.set_tier(self.queue.tier_for(priority_weight));
        }
        for id in &queued {
            self.enqueue(*id);
        }
        self.settings = settings;
        Ok(())
    }

    fn queued_requests(&self) -> Vec<RequestId> {
        let queued = self
            .requests
            .iter()
            .filter(|(_, request)| request.is_queued());
        queued.map(|(id, _)| *id).collect()
    }

    /// What has been learned, for the process that takes this one's place.
    pub fn export_learned_state(&self) -> LearnedState {
        let mut state = LearnedState {
            requests_seen: self.traffic.requests_seen(),
            mean_request_cost: self.traffic.mean_request_cost(),
            mean_time_to_first_token: self.traffic.mean_time_to_first_token(),
            dispatched_cost_rate: self.traffic.dispatched_cost_rate(self.now),
            attempt_rate: self.traffic.attempt_rate(self.now),
            concurrency_per_replica: self.concurrency.limit_per_replica(),
            tokens_per_work_second: self.traffic.tokens_per_work_second(),
            mean_queued_tokens: self.traffic.mean_queued_tokens(),
            ..LearnedState::default()
        };
        self.host_types.export(&mut state);
        self.prompt_cache.export(&mut state);
        state
    }

    /// Takes over what another process has learned: the sessions that are not known here, and all else if that process
    /// had seen more requests.
    pub fn import_learned_state(&mut self, state: &LearnedState) {
        self.prompt_cache.add_unknown_sessions(&state.sessions);
        if self.traffic.requests_seen() >= state.requests_seen {
            return;
        }
        self.traffic.restore(self.now, state);
        self.host_types.restore(state);
        self.prompt_cache.restore_hit_rates(state.cache_hit_rates);
        self.concurrency.restore(state.concurrency_per_replica);
    }
}
