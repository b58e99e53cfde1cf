//! A read-only view of the scheduler's state, from which decisions are made.

use crate::concurrency::ConcurrencyLimit;
use crate::host_types::HostTypeStatistics;
use crate::prompt_cache::PromptCacheModel;
use crate::replica::Replica;
use crate::replicas::ReplicaTable;
use crate::statistics::TrafficStatistics;
use crate::types::{SchedulerSettings, Seconds};

/// The fixed overhead of an attempt, in prompt tokens: connecting, a batch step and the first token.
pub(crate) const ATTEMPT_OVERHEAD_TOKENS: f64 = 500.0;

/// The state that one decision is based on.
#[derive(Clone, Copy)]
pub(crate) struct FleetView<'a> {
    pub(crate) now: Seconds,
    pub(crate) settings: &'a SchedulerSettings,
    pub(crate) replicas: &'a ReplicaTable,
    pub(crate) concurrency: &'a ConcurrencyLimit,
    pub(crate) traffic: &'a TrafficStatistics,
    pub(crate) host_types: &'a HostTypeStatistics,
    pub(crate) prompt_cache: &'a PromptCacheModel,
    /// Most replicas are ejected, so their pauses are ignored.
    pub(crate) is_panic_mode: bool,
    /// The endpoint list may be outdated, so an attempt is sent only to a replica that has recently answered a probe
    /// successfully.
    pub(crate) requires_evidence: bool,
}

impl FleetView<'_> {
    pub(crate) fn is_warm(&self, replica: &Replica) -> bool {
        replica.is_warm(&self.settings.lifecycle, self.now)
    }

    pub(crate) fn is_local_zone(&self, replica: &Replica) -> bool {
        replica.zone() == self.settings.zone
    }

    /// Whether the router's concurrency limit allows another request.
    pub(crate) fn has_free_slot(&self, is_best_effort: bool) -> bool {
        let rules = &self.settings.lifecycle;
        let in_flight = self.replicas.in_flight_at_warm(rules, self.now);
        self.concurrency.has_free_slot(in_flight, is_best_effort)
    }

    /// Whether the replica may be sent another attempt. `has_free_slot`: whether the router's concurrency limit has a free
    /// slot. That limit applies to warm replicas; a replica in slow start is limited by its slow-start budget.
    pub(crate) fn has_capacity(&self, replica: &Replica, has_free_slot: bool) -> bool {
        let is_allowed = if self.is_warm(replica) {
            has_free_slot || self.is_idle_beyond_limit(replica)
        } else {
            replica.slow_start.has_budget()
        };
        let is_suspect = self.requires_evidence && replica.evidence.is_suspect(self.now);
        replica.is_available()
            && !is_suspect
            && is_allowed
            && replica
                .health
                .accepts_attempts(self.now, self.is_panic_mode)
            && self
                .concurrency
                .has_free_slot_at_replica(replica.in_flight())
    }

    /// Whether a replica that has recently reported to be idle may be used beyond the router's concurrency limit, which is
    /// too coarse if there are more routers than replicas.
    fn is_idle_beyond_limit(&self, replica: &Replica) -> bool {
        self.concurrency.has_sparse_feedback()
            && replica.load.is_recent(self.now)
            && self.queued_tokens(replica) < ATTEMPT_OVERHEAD_TOKENS
    }

    /// Whether any replica has capacity for another request.
    pub(crate) fn any_has_capacity(&self, is_best_effort: bool) -> bool {
        let has_free_slot = self.has_free_slot(is_best_effort);
        self.replicas
            .values()
            .any(|replica| self.has_capacity(replica, has_free_slot))
    }

    /// Prompt tokens that the replica prefills before those of an attempt sent now.
    pub(crate) fn queued_tokens(&self, replica: &Replica) -> f64 {
        replica.queued_tokens(self.now, self.traffic.mean_queued_tokens())
    }
}
