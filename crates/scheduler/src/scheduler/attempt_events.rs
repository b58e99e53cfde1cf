//! Handles the first token and the end of an attempt: updates statistics and continues or finishes the request.

use super::{Scheduler, EXPIRY_MARGIN};
use crate::attempt::Attempt;
use crate::concurrency::FirstTokenTiming;
use crate::fleet_view::ATTEMPT_OVERHEAD_TOKENS;
use crate::outlier_detection::RESTART_SUSPECTED_AFTER;
use crate::request::Request;
use crate::retry;
use crate::types::{Action, AttemptOutcome, BudgetKind, LoadReport, ReplicaId, RequestId, Seconds};

/// Lower bound of the time to first token from which prefill times are learned.
const MIN_PREFILL_SAMPLE: Seconds = 0.001;

/// The fields of [`Event::AttemptEnded`](crate::types::Event::AttemptEnded).
pub(super) struct AttemptEnd {
    pub(super) request: RequestId,
    pub(super) attempt: usize,
    pub(super) outcome: AttemptOutcome,
    pub(super) is_request_finished: bool,
    pub(super) report: Option<LoadReport>,
}

/// The state of an attempt at its end.
struct EndedAttempt {
    replica: ReplicaId,
    sent_at: Seconds,
    was_streaming: bool,
    /// Prompt tokens that the replica had not yet prefilled.
    pending_prefill_tokens: f64,
}

impl Scheduler {
    pub(super) fn on_first_token(
        &mut self,
        id: RequestId,
        attempt: usize,
        elapsed: Seconds,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let ttft_objective = request.deadlines().ttft_objective;
        let arrived_at = request.arrived_at();
        let Some(attempt) = request.attempt_mut(attempt) else {
            return;
        };
        if !attempt.start_streaming() {
            return;
        }
        let replica_id = attempt.replica;
        let prefill_tokens = attempt.prefill_tokens;
        let estimated_ttft = attempt.estimated_ttft;
        let waited = attempt.sent_at - arrived_at;
        self.dequeue(id);
        self.cancel_attempts(id, actions);
        let Some(replica) = self.replicas.get_mut(replica_id) else {
            return;
        };
        replica.record_first_token(prefill_tokens, estimated_ttft, elapsed);
        self.traffic.record_time_to_first_token(elapsed);
        let per_token =
            elapsed.max(MIN_PREFILL_SAMPLE) / (prefill_tokens + ATTEMPT_OVERHEAD_TOKENS);
        self.host_types
            .record_prefill_time(replica.host_type(), per_token);
        let timing = FirstTokenTiming::classify(elapsed, ttft_objective, waited);
        let rules = &self.settings.lifecycle;
        let in_flight = || self.replicas.in_flight_at_warm(rules, self.now);
        self.concurrency.record_first_token(timing, in_flight);
        self.record_response(replica_id, true);
    }

    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(ended) = self.end_attempt(end, actions) else {
            return;
        };
        self.record_attempt_end(end, &ended);
        self.learn_from_outcome(end.outcome, &ended);
        if end.is_request_finished {
            self.finish_request(end.request, actions);
        } else {
            self.continue_request(end.request, end.outcome, actions);
        }
        self.remove_if_done(end.request);
    }

    /// Marks an attempt as ended; `None` if it is unknown or has already ended.
    fn end_attempt(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) -> Option<EndedAttempt> {
        let request = self.requests.get(&end.request)?;
        let attempt = request.attempts().get(end.attempt)?;
        let sent_at = attempt.sent_at;
        let was_streaming = attempt.is_streaming();
        if end.outcome == AttemptOutcome::Completed {
            // An answer without streaming counts as its own first token; otherwise the concurrency limit would never grow.
            self.on_first_token(end.request, end.attempt, self.now - sent_at, actions);
        }
        let request = self.requests.get_mut(&end.request)?;
        let attempt = request.attempt_mut(end.attempt)?;
        let pending_prefill_tokens = attempt.end(end.outcome)?;
        Some(EndedAttempt {
            replica: attempt.replica,
            sent_at,
            was_streaming,
            pending_prefill_tokens,
        })
    }

    /// Records the load report of an ended attempt and removes the attempt from its replica's counts.
    fn record_attempt_end(&mut self, end: &AttemptEnd, ended: &EndedAttempt) {
        if let Some(report) = end.report {
            // Recorded first because the replica made the report while it still held the attempt.
            self.record_load_report(ended.replica, report);
            let cached_tokens = report.cached_prompt_tokens;
            if end.outcome == AttemptOutcome::Completed {
                self.record_cached_tokens(end.request, end.attempt, cached_tokens);
            }
        }
        if let Some(replica) = self.replicas.get_mut(ended.replica) {
            replica.record_attempt_end(ended.pending_prefill_tokens);
        }
    }

    fn record_cached_tokens(&mut self, id: RequestId, attempt: usize, cached: Option<f64>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let attempt: Option<&Attempt> = request.attempts().get(attempt);
        if let (Some(attempt), Some(cached)) = (attempt, cached) {
            self.prompt_cache.record_cached_tokens(
                request.incoming(),
                attempt.replica,
                attempt.cache_source,
                cached,
            );
        }
    }

    fn learn_from_outcome(&mut self, outcome: AttemptOutcome, ended: &EndedAttempt) {
        if matches!(
            outcome,
            AttemptOutcome::AtCapacity | AttemptOutcome::ConnectFailed
        ) {
            if let Some(replica) = self.replicas.get_mut(ended.replica) {
                replica.evidence.record_declined(self.now);
            }
        }
        match outcome {
            AttemptOutcome::Completed => self.learn_from_completion(ended),
            AttemptOutcome::AtCapacity => {
                // Slow start is based on the attempt rate that warm replicas handle; declined attempts must not raise it.
                self.traffic.retract_attempt(self.now);
                self.concurrency.reduce();
                if let Some(replica) = self.replicas.get_mut(ended.replica) {
                    replica.health.record_at_capacity(self.now);
                }
            }
            AttemptOutcome::TimedOut
            | AttemptOutcome::ServerError
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::ConnectFailed => self.learn_from_failure(outcome, ended),
            AttemptOutcome::InvalidRequest => self.record_response(ended.replica, false),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    fn learn_from_completion(&mut self, ended: &EndedAttempt) {
        let mut host_type = 0;
        if let Some(replica) = self.replicas.get_mut(ended.replica) {
            replica.health.record_stream_completed(self.now);
            host_type = replica.host_type();
        }
        let service_time = self.now - ended.sent_at;
        self.host_types.record_service_time(host_type, service_time);
        self.record_response(ended.replica, true);
    }

    fn learn_from_failure(&mut self, outcome: AttemptOutcome, ended: &EndedAttempt) {
        let has_timed_out = outcome == AttemptOutcome::TimedOut;
        if ended.was_streaming || has_timed_out {
            // A broken stream is a sign of overload, like a timeout.
            self.concurrency.reduce();
        }
        let Some(replica) = self.replicas.get_mut(ended.replica) else {
            return;
        };
        if ended.was_streaming {
            replica
                .health
                .record_stream_failure(self.now, ended.sent_at);
        }
        if !has_timed_out {
            replica.health.record_failure(self.now);
        }
    }

    /// Retries, fails or answers an unfinished request after one of its attempts has ended.
    fn continue_request(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| !request.is_finished())
        else {
            return;
        };
        if outcome == AttemptOutcome::InvalidRequest {
            actions.push(Action::Fail { request: id });
            self.finish_request(id, actions);
        } else if !request.is_queued() && !request.has_attempt_in_flight() {
            let may_retry = self.may_retry(request);
            if may_retry && self.request_budget(BudgetKind::Retries, id) {
                self.enqueue(id);
            } else {
                self.answer_request(id, actions);
            }
        }
    }

    pub(super) fn may_retry(&self, request: &Request) -> bool {
        retry::may_retry(&self.settings, request, self.now, self.now + EXPIRY_MARGIN)
    }

    /// Records a response of a replica to a request, or to a probe (`is_answer` is false), which shows only that its process
    /// runs.
    pub(super) fn record_response(&mut self, id: ReplicaId, is_answer: bool) {
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        if let Some(since) = replica.health.record_response(self.now, is_answer) {
            // A replica that was unresponsive for long may have restarted even if the endpoint list does not show it. After
            // a short time it was only slow and is as warm as before.
            let started_at = if self.now - since > RESTART_SUSPECTED_AFTER {
                Some(self.now)
            } else {
                replica.slow_start.started_at()
            };
            replica.restart(started_at, self.rng.rand_float());
        }
    }

    pub(super) fn record_load_report(&mut self, id: ReplicaId, report: LoadReport) {
        let router_count = self.settings.router_count;
        let others = self.replicas.mean_in_flight_of_others(router_count);
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        replica.record_report(report, self.now);
        let host_type = replica.host_type();
        match (report.requests_queued, report.requests_held) {
            (Some(queued), None) => {
                let held = replica.in_flight() as f64 + others;
                self.host_types.infer_batch_size(host_type, held, queued);
            }
            _ => {
                if let Some(batch_size) = replica.load.batch_size {
                    self.host_types.record_batch_size(host_type, batch_size);
                }
            }
        }
        self.traffic
            .record_queued_tokens(replica.load.queued_prompt_tokens());
    }
}
