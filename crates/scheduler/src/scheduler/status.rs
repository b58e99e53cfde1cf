//! Status queries, settings updates, budget grants, and the export and import of learned state.

use super::Scheduler;
use crate::fair_queue::FairQueue;
use crate::types::{
    BudgetDemand, BudgetGrants, BudgetKind, LearnedState, ReplicaId, RequestId, SchedulerSettings,
    Seconds, SettingsError,
};
use std::collections::BTreeMap;

/// Gauges for the log and for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerGauges {
    /// Maximum number of this router's attempts in flight at all warm replicas together.
    pub concurrency_limit: f64,
    /// This router's attempts in flight at all warm replicas together.
    pub in_flight: usize,
    /// Numbers of queued requests by the position of their tenant; one number if no tenants are configured.
    pub queued_by_tenant: Vec<usize>,
    /// Number of listed replicas and of removed replicas with attempts in flight.
    pub replica_count: usize,
}

/// The work done to dispatch queued requests since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchWork {
    /// Number of tenants' turns examined by the fair queue.
    pub queue_turns: u64,
    /// Number of times that a replica was sought for a queued request.
    pub placements: u64,
}

/// The health of one listed replica, as seen by this router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaHealthStatus {
    /// The replica that the status describes.
    pub replica: ReplicaId,
    /// True if it has failed repeatedly or does not respond and therefore gets only single attempts as trials.
    pub is_ejected: bool,
    /// When it last responded; `None` if it has never responded or an attempt has failed since.
    pub last_success_at: Option<Seconds>,
}

impl Scheduler {
    /// The gauges as of the last event.
    pub fn gauges(&self) -> SchedulerGauges {
        let rules = &self.settings.lifecycle;
        SchedulerGauges {
            concurrency_limit: self.concurrency.limit(),
            in_flight: self.replicas.in_flight_at_warm(rules, self.now),
            queued_by_tenant: self.queue.queued_by_tenant(),
            replica_count: self.replicas.len(),
        }
    }

    /// The work done to dispatch queued requests so far.
    pub fn dispatch_work(&self) -> DispatchWork {
        self.work
    }

    /// Number of listed replicas that are draining or ejected.
    pub fn unavailable_replica_count(&self) -> usize {
        let listed = self
            .replicas
            .values()
            .filter(|replica| !replica.is_removed());
        listed
            .filter(|replica| !replica.is_available() || replica.health.is_ejected())
            .count()
    }

    /// The health of each listed replica as of the last event, in the order of their addresses.
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

    /// Replaces the budget grants; a kind that is missing is no longer limited by a fleet-wide budget.
    pub fn set_budget_grants(&mut self, grants: &BudgetGrants) {
        self.budgets.set_grants(self.now, grants);
    }

    /// The demand since the budget was first granted, for each kind that has a budget.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.budgets.demand()
    }

    /// Applies new settings, in which classes and tenants must keep their positions. Queued requests move to the tier that
    /// matches the priority weight with which they were queued.
    ///
    /// # Errors
    /// Returns the error of [`SchedulerSettings::check`]; nothing changes then.
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

    /// Exports the learned state for the process that replaces this one.
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

    /// Imports the learned state of another process: its sessions that are unknown here, and everything else only if it is
    /// based on more requests than this scheduler has seen.
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
