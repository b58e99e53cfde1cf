//! One replica as this router knows it: what the endpoint list says, what it reports, what it has of this router.

use crate::endpoint_confirmation::ReplicaEvidence;
use crate::outlier_detection::ReplicaHealth;
use crate::rendezvous;
use crate::slow_start::SlowStart;
use crate::statistics::RunningMean;
use crate::types::{
    DeduplicationScope, Endpoint, EndpointState, LifecycleRules, LoadReport, ReplicaId, Seconds,
};

/// A load report is asked for again after this long, when a request may go to the replica.
pub(crate) const PROBE_INTERVAL: Seconds = 1.0;
/// A load report counts less with age and is worth nothing after this long.
const REPORT_LIFETIME: Seconds = 3.0;
/// No replica can have this many prompt tokens, or requests, waiting: a report of more is no report.
const MAX_REPORTED: f64 = 1e9;
/// A replica that reports at least this many requests queued has a queue.
const MIN_QUEUED: f64 = 0.5;
/// How far answers ran over their estimates is a mean over this many.
const ESTIMATE_ERROR_SAMPLES: f64 = 4.0;
/// The estimates of this many answers are taken to have been right, beside those seen.
const ESTIMATE_ERROR_PRIOR_SAMPLES: f64 = 4.0;
/// What a replica's last answers were off by is forgotten in this time.
const ESTIMATE_ERROR_LIFETIME: Seconds = 5.0;
/// A time to first token below this counts as this long where it is compared with its estimate.
const MIN_COMPARED_TIME: Seconds = 0.005;
/// Bounds of the logarithm of one answer's error.
const MIN_ERROR_LOGARITHM: f64 = -2.0;
const MAX_ERROR_LOGARITHM: f64 = 3.0;

/// Requests that a replica reported to hold.
#[derive(Clone, Copy)]
pub(crate) struct HeldRequests {
    /// Of all routers.
    pub(crate) reported: f64,
    /// This router's requests in flight there when the report came.
    pub(crate) own_in_flight: usize,
}

/// What a replica last reported.
pub(crate) struct ReportedLoad {
    queued_prompt_tokens: f64,
    reported_at: Seconds,
    /// From 0 to 1.
    pub(crate) memory_utilization: f64,
    /// Requests queued for a place in the batch.
    pub(crate) requests_queued: f64,
    /// `None` where reports do not say it.
    pub(crate) requests_held: Option<HeldRequests>,
    /// Requests that its batch holds, learned from a report with a queue.
    pub(crate) batch_size: Option<f64>,
}

impl ReportedLoad {
    fn new() -> Self {
        ReportedLoad {
            queued_prompt_tokens: 0.0,
            reported_at: f64::NEG_INFINITY,
            memory_utilization: 0.0,
            requests_queued: 0.0,
            requests_held: None,
            batch_size: None,
        }
    }

    /// Takes over what a report says; figures that cannot be are passed over.
    fn record(&mut self, report: LoadReport, now: Seconds, own_in_flight: usize) {
        let is_count = |figure: &f64| (0.0..MAX_REPORTED).contains(figure);
        if let Some(tokens) = report.queued_prompt_tokens.filter(is_count) {
            self.queued_prompt_tokens = tokens;
            self.reported_at = now;
        }
        let is_utilization = |figure: &f64| (0.0..f64::INFINITY).contains(figure);
        if let Some(utilization) = report.memory_utilization.filter(is_utilization) {
            self.memory_utilization = utilization;
        }
        if let Some(queued) = report.requests_queued.filter(is_count) {
            self.requests_queued = queued;
        }
        if let Some(held) = report.requests_held.filter(is_count) {
            self.requests_held = Some(HeldRequests {
                reported: held,
                own_in_flight,
            });
            if self.requests_queued >= MIN_QUEUED {
                self.batch_size = Some((held - self.requests_queued).round().max(1.0));
            }
        }
    }

    pub(crate) fn age(&self, now: Seconds) -> Seconds {
        now - self.reported_at
    }

    pub(crate) fn is_recent(&self, now: Seconds) -> bool {
        now < self.reported_at + PROBE_INTERVAL
    }

    /// How much the report still counts, from 1 when new to 0.
    pub(crate) fn freshness(&self, now: Seconds) -> f64 {
        (1.0 - self.age(now) / REPORT_LIFETIME).max(0.0)
    }

    /// Prompt tokens as last reported, however long ago.
    pub(crate) fn queued_prompt_tokens(&self) -> f64 {
        self.queued_prompt_tokens
    }
}

/// The probes of one replica.
#[derive(Default)]
pub(crate) struct ProbeState {
    next_probe_at: Seconds,
    is_in_flight: bool,
}

impl ProbeState {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.is_in_flight
    }

    /// A probe for a load report was sent.
    pub(crate) fn record_sent(&mut self, now: Seconds) {
        self.is_in_flight = true;
        self.schedule_next(now);
    }

    pub(crate) fn record_ended(&mut self) {
        self.is_in_flight = false;
    }

    pub(crate) fn schedule_next(&mut self, now: Seconds) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    pub(crate) fn schedule_at(&mut self, time: Seconds) {
        self.next_probe_at = time;
    }

    pub(crate) fn is_due(&self, now: Seconds) -> bool {
        now >= self.next_probe_at
    }

    /// Whether a probe in flight has gone without an answer for longer than this.
    pub(crate) fn is_unanswered_for(&self, now: Seconds, span: Seconds) -> bool {
        self.is_in_flight && now > self.next_probe_at - PROBE_INTERVAL + span
    }
}

/// One replica.
pub(crate) struct Replica {
    zone: usize,
    cell: usize,
    host_type: usize,
    capacity_weight: Option<f64>,
    state: EndpointState,
    address_key: u64,
    /// This router's attempts in flight.
    in_flight: usize,
    /// This router's prompt tokens sent and not yet read.
    unread_prompt_tokens: f64,
    /// Logarithm of how far the last first tokens ran over their estimates.
    estimate_error: RunningMean,
    pub(crate) load: ReportedLoad,
    pub(crate) probe: ProbeState,
    pub(crate) evidence: ReplicaEvidence,
    pub(crate) slow_start: SlowStart,
    pub(crate) health: ReplicaHealth,
}

impl Replica {
    /// A replica of which nothing is known; the endpoint list fills in the rest.
    pub(crate) fn new(id: ReplicaId) -> Self {
        Replica {
            zone: 0,
            cell: 0,
            host_type: 0,
            capacity_weight: None,
            state: EndpointState::Draining,
            address_key: rendezvous::address_key(id),
            in_flight: 0,
            unread_prompt_tokens: 0.0,
            estimate_error: RunningMean::default(),
            load: ReportedLoad::new(),
            probe: ProbeState::default(),
            evidence: ReplicaEvidence::default(),
            slow_start: SlowStart::default(),
            health: ReplicaHealth::new(),
        }
    }

    /// Takes over what the endpoint list says.
    pub(crate) fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        self.zone = endpoint.zone;
        self.cell = endpoint.cell;
        self.host_type = endpoint.host_type;
        self.capacity_weight = endpoint.capacity_weight;
        self.state = endpoint.state;
    }

    pub(crate) fn mark_removed(&mut self) {
        self.state = EndpointState::Removed;
    }

    pub(crate) fn is_available(&self) -> bool {
        self.state == EndpointState::Available
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    pub(crate) fn zone(&self) -> usize {
        self.zone
    }

    pub(crate) fn host_type(&self) -> usize {
        self.host_type
    }

    pub(crate) fn capacity_weight(&self) -> Option<f64> {
        self.capacity_weight
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// A new process begins: it knows nothing of the one before it. `slow_start_debt` is a part of one attempt.
    pub(crate) fn restart(&mut self, started_at: Option<Seconds>, slow_start_debt: f64) {
        self.slow_start.restart(started_at, slow_start_debt);
        self.health.restart();
    }

    pub(crate) fn is_warm(&self, rules: &LifecycleRules, now: Seconds) -> bool {
        !self.slow_start.is_warming_up(rules, now)
    }

    /// An attempt was sent that is overdue after this long.
    pub(crate) fn record_attempt(
        &mut self,
        unread_tokens: f64,
        now: Seconds,
        overdue_after: Seconds,
    ) {
        self.health.record_attempt(now, overdue_after);
        self.in_flight += 1;
        self.unread_prompt_tokens += unread_tokens;
        self.slow_start.record_attempt();
    }

    /// A prompt is read; the time to its first token is compared with its estimate.
    pub(crate) fn record_first_token(
        &mut self,
        unread_tokens: f64,
        estimate: Seconds,
        elapsed: Seconds,
    ) {
        self.remove_unread_tokens(unread_tokens);
        if estimate > 0.0 {
            let ratio = elapsed.max(MIN_COMPARED_TIME) / estimate;
            let error = ratio.ln().clamp(MIN_ERROR_LOGARITHM, MAX_ERROR_LOGARITHM);
            self.estimate_error.record(error, ESTIMATE_ERROR_SAMPLES);
        }
    }

    /// An attempt has ended that had this many tokens still to be read.
    pub(crate) fn record_attempt_end(&mut self, unread_tokens: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.remove_unread_tokens(unread_tokens);
    }

    fn remove_unread_tokens(&mut self, tokens: f64) {
        self.unread_prompt_tokens = (self.unread_prompt_tokens - tokens).max(0.0);
    }

    pub(crate) fn record_report(&mut self, report: LoadReport, now: Seconds) {
        self.load.record(report, now, self.in_flight);
    }

    /// Prompt tokens that will be read here before those of an attempt sent now. `mean_queued_tokens` stands for what is
    /// not reported.
    pub(crate) fn queued_tokens(&self, now: Seconds, mean_queued_tokens: f64) -> f64 {
        let weight = self.load.freshness(now);
        let reported = self.load.queued_prompt_tokens() * weight;
        reported + mean_queued_tokens * (1.0 - weight) + self.unread_prompt_tokens
    }

    /// The factor by which the last answers ran over their estimates.
    pub(crate) fn estimate_error_factor(&self, now: Seconds) -> f64 {
        let age = now - self.health.last_response_at();
        let error = self.estimate_error.shrunk(ESTIMATE_ERROR_PRIOR_SAMPLES);
        (error * (-age / ESTIMATE_ERROR_LIFETIME).exp()).exp()
    }

    /// Its place in a session's order, lowest first.
    pub(crate) fn rendezvous_score(&self, session: u64, weight: f64) -> u64 {
        rendezvous::score(session, self.address_key, weight)
    }

    /// Whether the two drop each other's repeats of a request.
    pub(crate) fn shares_deduplication(&self, other: &Replica, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::AllReplicas => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}
