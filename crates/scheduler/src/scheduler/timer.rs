//! Handles the timer: polls, expired and overdue requests, slow-start budgets, and probes of unresponsive replicas.

use super::{Scheduler, EXPIRY_MARGIN, TIMER_INTERVAL};
use crate::hedging;
use crate::outlier_detection;
use crate::request::Request;
use crate::slow_start::SlowStartTraffic;
use crate::types::{Action, BudgetKind, EndpointListMode, RequestId};

impl Scheduler {
    pub(super) fn on_timer(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            after: TIMER_INTERVAL,
        });
        let is_polled = self.settings.endpoint_list_mode == EndpointListMode::Polled;
        if is_polled && self.endpoint_poll.take_due(self.now) {
            actions.push(Action::WatchEndpoints);
        }
        self.enqueue_deferred();
        self.answer_expired(actions);
        self.update_panic_mode();
        self.resize_concurrency_limit();
        self.refill_slow_start_budgets(actions);
        for id in self.requests_awaiting_first_token() {
            self.check_for_overdue_attempts(id, actions);
        }
    }

    /// Removes queued requests whose first token can no longer arrive in time, because they would only use up capacity. A
    /// request with an attempt in flight is not answered yet, because that attempt may still be in time.
    fn answer_expired(&mut self, actions: &mut Vec<Action>) {
        let margin = EXPIRY_MARGIN.max(self.traffic.mean_time_to_first_token());
        while let Some(id) = self.queue.first_expiring_by(self.now + margin) {
            self.dequeue(id);
            let request = self.requests.get(&id);
            if request.is_some_and(|request| !request.has_attempt_in_flight()) {
                self.answer_request(id, actions);
            }
        }
    }

    fn update_panic_mode(&mut self) {
        let mut ejected = 0;
        let mut available = 0;
        for replica in self.replicas.available() {
            available += 1;
            ejected += usize::from(replica.health.is_ejected());
        }
        self.is_panic_mode = outlier_detection::is_panic_mode(ejected, available);
    }

    /// Refills the slow-start budgets for one timer interval, and probes unresponsive replicas if the site allows it.
    fn refill_slow_start_budgets(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let traffic = SlowStartTraffic {
            attempt_rate: self.traffic.attempt_rate(now),
            warm_replica_count: self.concurrency.warm_replica_count(),
            max_available_replicas: self.concurrency.max_available_replicas(),
        };
        let rate = traffic.rate_per_replica(now, &self.settings, &self.budgets);
        let is_idle = traffic.is_idle();
        let rules = &self.settings.lifecycle;
        let allows_probes = self.settings.limits.allows_probes;
        for (id, replica) in self.replicas.iter_mut() {
            let fraction = replica.slow_start.warm_up_fraction(rules, now);
            replica
                .slow_start
                .refill(fraction, rate, TIMER_INTERVAL, is_idle);
            let awaits_probe = replica.health.is_unresponsive() && replica.is_available();
            if awaits_probe && allows_probes && replica.probe.is_due(now) {
                replica.probe.schedule_next(now);
                if self.budgets.request_unit(now, BudgetKind::Probes, 0.0) {
                    replica.evidence.record_probe_sent(now);
                    actions.push(Action::Probe { replica: id });
                }
            }
        }
    }

    /// Checks a request without a first token. If its deadline has passed, the router answers it. If its attempts are
    /// overdue or at unresponsive replicas, it gets a hedged attempt; if the site does not allow hedging, its attempts are
    /// cancelled so that it is retried.
    fn check_for_overdue_attempts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| request.awaits_first_token())
        else {
            return;
        };
        if self.now >= request.deadlines().deadline {
            self.answer_request(id, actions);
            return;
        }
        let is_hedging_due = self.is_hedging_due(request);
        let is_stuck = self.mark_unresponsive_replicas(id);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let needs_attempt = is_stuck || is_hedging_due;
        if !needs_attempt || self.is_panic_mode || request.is_queued() || !self.may_retry(request) {
            return;
        }
        let attempt_rate = self.traffic.attempt_rate(self.now);
        let is_within_limit = is_stuck || self.hedging.try_take(self.now, attempt_rate);
        if !is_within_limit {
            return;
        }
        if !self.settings.limits.allows_hedging {
            // The retry after the cancellation is counted against the retry budget.
            self.cancel_attempts(id, actions);
        } else if self.request_budget(BudgetKind::HedgedAttempts, id) {
            self.enqueue(id);
        }
    }

    /// Whether a hedged attempt is due: the only attempt is overdue, and another attempt could still be in time.
    fn is_hedging_due(&self, request: &Request) -> bool {
        let expected_at = self.now + self.traffic.mean_time_to_first_token();
        self.settings.limits.allows_hedging
            && hedging::is_overdue(request, self.now, TIMER_INTERVAL)
            && !self.deferred.contains(&request.id())
            && expected_at < request.deadlines().useful_until
    }

    /// Marks a replica as unresponsive if it has not responded at all since it was sent an attempt of this request, and that
    /// was longer ago than the TTFT objective. Returns whether at least one attempt is in flight and all attempts in flight
    /// are at unresponsive replicas.
    fn mark_unresponsive_replicas(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let now = self.now;
        let allows_probes = self.settings.limits.allows_probes;
        let objective = request.deadlines().ttft_objective;
        let mut is_stuck = request.has_attempt_in_flight();
        for attempt in request.in_flight() {
            let Some(replica) = self.replicas.get_mut(attempt.replica) else {
                continue;
            };
            let has_responded = replica.health.last_response_at() >= attempt.sent_at;
            let is_late = now - attempt.sent_at > objective;
            if !has_responded && is_late && !replica.health.is_unresponsive() {
                replica.health.mark_unresponsive(now, allows_probes);
                replica.probe.schedule_at(now);
            }
            is_stuck &= replica.health.is_unresponsive();
        }
        is_stuck
    }
}
