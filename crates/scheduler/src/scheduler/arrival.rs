//! Handles the arrival of a request: it is rejected early, deferred until load reports have arrived, or queued.

use super::{Scheduler, EXPIRY_MARGIN, TIMER_INTERVAL};
use crate::admission;
use crate::affinity;
use crate::fair_queue::QueueKey;
use crate::request::{QueuePosition, Request, RequestDeadlines};
use crate::time::to_micros;
use crate::types::{
    Action, BudgetKind, IncomingRequest, LoadReportSource, ReplicaId, RequestClass, RequestId,
    Seconds,
};

/// Requests with less time left than this are not deferred for load reports.
const MIN_TIME_FOR_PROBES: Seconds = 2.0 * TIMER_INTERVAL;
/// Requests with less time left than this are answered immediately if they cannot be dispatched immediately, because they
/// would have expired by the next timer event.
const MIN_TIME_FOR_QUEUE: Seconds = EXPIRY_MARGIN + TIMER_INTERVAL;

impl Scheduler {
    pub(super) fn on_request_arrived(
        &mut self,
        incoming: &IncomingRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = incoming.id;
        let Some(class) = self.settings.classes.get(incoming.class).cloned() else {
            actions.push(Action::Reject {
                request: id,
                retry_after: 0.0,
            });
            return;
        };
        let time_left = self.time_left(incoming);
        if time_left <= 0.0 {
            // The client's timeout is over: an attempt would be cancelled immediately but might already run.
            actions.push(Action::Reject {
                request: id,
                retry_after: 0.0,
            });
            return;
        }
        let request = self.new_request(incoming, &class, time_left);
        if let Some(retry_after) = self.early_rejection(&request, time_left) {
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
            return;
        }
        let awaits_reports =
            time_left > MIN_TIME_FOR_PROBES && self.probe_affinity_candidates(&request, actions);
        self.requests.insert(id, request);
        if awaits_reports {
            self.deferred.push(id);
        } else {
            self.enqueue(id);
        }
        self.dispatch_queued(actions);
        if time_left <= MIN_TIME_FOR_QUEUE && self.has_no_attempt(id) {
            self.answer_request(id, actions);
        }
    }

    fn new_request(
        &mut self,
        incoming: &IncomingRequest,
        class: &RequestClass,
        time_left: Seconds,
    ) -> Request {
        let ttft_objective = class.ttft_objective_for(incoming);
        let deadline = self.now + time_left;
        let is_useful_when_late = class.late_weight > 0.0;
        let useful_until = if is_useful_when_late {
            deadline
        } else {
            deadline.min(self.now + ttft_objective)
        };
        let tenant = self.quotas.position(incoming.tenant);
        let tier = self.tier_for(tenant, class);
        let cost = self.record_arrival(incoming, class);
        let key = QueueKey {
            deadline_micros: to_micros(deadline),
            sequence: self.traffic.requests_seen(),
        };
        let incoming = IncomingRequest {
            tenant,
            time_left,
            ..incoming.clone()
        };
        let deadlines = RequestDeadlines {
            ttft_objective,
            deadline,
            useful_until,
        };
        Request::new(incoming, QueuePosition { tier, key, cost }, deadlines)
    }

    /// The priority tier of a request; requests beyond their tenant's quota get a lower one.
    fn tier_for(&mut self, tenant: usize, class: &RequestClass) -> usize {
        let is_within_quota =
            self.quotas
                .try_take(self.now, tenant, &self.settings, &mut self.budgets);
        let priority_weight = if is_within_quota {
            class.priority_weight
        } else {
            class.priority_weight * self.settings.over_quota_weight
        };
        self.queue.tier_for(priority_weight)
    }

    /// Updates the cost statistics with a request; returns its cost in tokens.
    fn record_arrival(&mut self, incoming: &IncomingRequest, class: &RequestClass) -> f64 {
        if self.traffic.requests_seen() == 0 {
            self.host_types
                .set_initial_service_time(class, incoming.max_output_tokens);
        }
        let tokens = incoming
            .prompt_tokens
            .saturating_add(incoming.max_output_tokens)
            .max(1);
        self.traffic
            .record_arrival(tokens as f64, incoming.expected_work)
    }

    /// The `Retry-After` of a request that must be rejected because no replica has capacity and the request would be queued
    /// too long; `None` if the request is admitted.
    fn early_rejection(&self, request: &Request, time_left: Seconds) -> Option<Seconds> {
        let is_best_effort = self.queue.is_best_effort(request.tier());
        if self.view().any_has_capacity(is_best_effort) {
            return None;
        }
        let wait = self.queue_wait_estimator().wait_for(request);
        let max_wait = admission::max_queue_wait(self.now, time_left, request.deadlines());
        (wait > max_wait).then(|| wait.min(self.settings.limits.max_retry_after))
    }

    /// Probes the session's affinity candidates whose load reports are outdated; returns whether any probe was sent.
    fn probe_affinity_candidates(&mut self, request: &Request, actions: &mut Vec<Action>) -> bool {
        if !self.lacks_load_reports() {
            return false;
        }
        let mut probed: Vec<ReplicaId> =
            affinity::affinity_candidates(&self.view(), request.incoming());
        probed.retain(|id| self.is_report_outdated(*id));
        probed.retain(|_| self.budgets.request_unit(self.now, BudgetKind::Probes, 0.0));
        for id in &probed {
            if let Some(replica) = self.replicas.get_mut(*id) {
                replica.probe.record_sent(self.now);
                replica.evidence.record_probe_sent(self.now);
            }
            actions.push(Action::Probe { replica: *id });
        }
        !probed.is_empty()
    }

    /// Whether replicas must be probed for load reports, because reports arrive only with probes or too rarely with answers;
    /// false if replicas may not be probed.
    fn lacks_load_reports(&self) -> bool {
        let is_lacking = match self.settings.load_report_source {
            LoadReportSource::Probes => true,
            LoadReportSource::Inline => self.concurrency.has_sparse_feedback(),
            LoadReportSource::Off => false,
        };
        is_lacking && self.settings.limits.allows_probes
    }

    fn is_report_outdated(&self, id: ReplicaId) -> bool {
        self.replicas.get(id).is_some_and(|replica| {
            replica.probe.is_due(self.now) && !replica.load.is_recent(self.now)
        })
    }

    fn has_no_attempt(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.attempts().is_empty())
    }
}
