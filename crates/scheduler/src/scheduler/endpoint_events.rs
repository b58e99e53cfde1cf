//! Handles endpoint list changes, the end of probes, and verdicts of another router on ejected replicas.

use super::Scheduler;
use crate::types::{AttemptOutcome, Endpoint, LoadReport, ReplicaId};

impl Scheduler {
    pub(super) fn apply_endpoints(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.apply_endpoint(endpoint);
        }
        self.replicas.purge_removed();
        let available = self.replicas.available().count();
        let router_count = self.settings.router_count;
        self.concurrency.observe_available(available, router_count);
        self.resize_concurrency_limit();
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        let now = self.now;
        let slow_start_duration = self.settings.lifecycle.slow_start_duration;
        let started_at = endpoint
            .started_at
            .filter(|started_at| now - started_at < slow_start_duration)
            .map(|started_at| started_at.min(now));
        let replica = self.replicas.get_or_insert(endpoint.id);
        replica.apply_endpoint(endpoint);
        if started_at.is_some() && started_at > replica.slow_start.started_at() {
            replica.restart(started_at, self.rng.rand_float());
        }
    }

    /// Adapts the concurrency limit to the number of warm replicas immediately, because a router with little traffic would
    /// learn of the change too late from its answers.
    pub(super) fn resize_concurrency_limit(&mut self) {
        let warm = self.replicas.warm_count(&self.settings.lifecycle, self.now);
        self.concurrency.resize(warm, self.settings.router_count);
    }

    pub(super) fn on_probe_ended(
        &mut self,
        id: ReplicaId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        if outcome == AttemptOutcome::Completed {
            self.record_response(id, false);
        }
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.probe.record_ended();
            let is_accepted = outcome == AttemptOutcome::Completed;
            replica.evidence.record_probe_ended(self.now, is_accepted);
        }
        if let Some(report) = report {
            self.record_load_report(id, report);
        }
        if !self.replicas.has_probe_in_flight() || self.requires_evidence() {
            self.enqueue_deferred();
        }
    }

    pub(super) fn on_outlier_advice(&mut self, id: ReplicaId, is_healthy: bool) {
        if is_healthy {
            self.record_response(id, true);
        } else if let Some(replica) = self.replicas.get_mut(id) {
            replica.health.pause(self.now);
        }
    }
}
