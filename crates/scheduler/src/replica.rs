//! The state of one replica: its endpoint list entry, its reported load, and this router's attempts and observations.

use crate::endpoint_confirmation::ReplicaEvidence;
use crate::outlier_detection::ReplicaHealth;
use crate::rendezvous;
use crate::slow_start::SlowStart;
use crate::statistics::RunningMean;
use crate::types::{
    DeduplicationScope, Endpoint, EndpointState, LifecycleRules, LoadReport, ReplicaId, Seconds,
};

/// Minimum interval between probes of a replica, and the age below which a load report is recent enough to need no probe.
pub(crate) const PROBE_INTERVAL: Seconds = 1.0;
/// The weight of a load report falls linearly to 0 over this time.
const REPORT_LIFETIME: Seconds = 3.0;
/// Reported numbers of tokens or requests from this value on are impossible and are ignored.
const MAX_REPORTED: f64 = 1e9;
/// If a replica reports fewer queued requests than this, its queue is treated as empty.
const MIN_QUEUED: f64 = 0.5;
/// Number of first tokens in the mean error of estimates.
const ESTIMATE_ERROR_SAMPLES: f64 = 4.0;
/// Number of samples without error that are added to the mean (shrinkage).
const ESTIMATE_ERROR_PRIOR_SAMPLES: f64 = 4.0;
/// Time constant with which the error of estimates decays after the last response.
const ESTIMATE_ERROR_LIFETIME: Seconds = 5.0;
/// Lower bound of the time to first token in the comparison with its estimate.
const MIN_COMPARED_TIME: Seconds = 0.005;
/// Bounds of one sample's error, which is the natural logarithm of the ratio of a time to first token to its estimate.
const MIN_ERROR_LOGARITHM: f64 = -2.0;
const MAX_ERROR_LOGARITHM: f64 = 3.0;

/// The number of requests held, from a load report.
#[derive(Clone, Copy)]
pub(crate) struct HeldRequests {
    /// Requests of all routers.
    pub(crate) reported: f64,
    /// This router's requests in flight at the replica when the report arrived.
    pub(crate) own_in_flight: usize,
}

/// The load that a replica last reported.
pub(crate) struct ReportedLoad {
    queued_prompt_tokens: f64,
    reported_at: Seconds,
    /// From 0 to 1.
    pub(crate) memory_utilization: f64,
    /// Requests queued for a batch slot.
    pub(crate) requests_queued: f64,
    /// `None` if reports do not contain it.
    pub(crate) requests_held: Option<HeldRequests>,
    /// Batch size, derived from a report that contains requests held and queued; `None` before the first such report.
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

    /// Records a report; impossible values are ignored.
    fn record(&mut self, report: LoadReport, now: Seconds, own_in_flight: usize) {
        let is_count = |value: &f64| (0.0..MAX_REPORTED).contains(value);
        if let Some(tokens) = report.queued_prompt_tokens.filter(is_count) {
            self.queued_prompt_tokens = tokens;
            self.reported_at = now;
        }
        let is_utilization = |value: &f64| (0.0..f64::INFINITY).contains(value);
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

    /// The weight of the report, from 1 for a new report down to 0 at the age of [`REPORT_LIFETIME`].
    pub(crate) fn freshness(&self, now: Seconds) -> f64 {
        (1.0 - self.age(now) / REPORT_LIFETIME).max(0.0)
    }

    /// Queued prompt tokens as last reported, regardless of age.
    pub(crate) fn queued_prompt_tokens(&self) -> f64 {
        self.queued_prompt_tokens
    }
}

/// The probe schedule of one replica, and whether a probe for a load report is in flight.
#[derive(Default)]
pub(crate) struct ProbeState {
    next_probe_at: Seconds,
    is_in_flight: bool,
}

impl ProbeState {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.is_in_flight
    }

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

    /// Whether a probe has been in flight for longer than `duration`.
    pub(crate) fn is_unanswered_for(&self, now: Seconds, duration: Seconds) -> bool {
        self.is_in_flight && now > self.next_probe_at - PROBE_INTERVAL + duration
    }
}

pub(crate) struct Replica {
    zone: usize,
    cell: usize,
    host_type: usize,
    capacity_weight: Option<f64>,
    state: EndpointState,
    address_key: u64,
    /// This router's attempts in flight.
    in_flight: usize,
    /// Prompt tokens of this router's attempts that are not yet prefilled.
    pending_prefill_tokens: f64,
    /// Natural logarithm of the ratio of recent times to first token to their estimates.
    estimate_error: RunningMean,
    pub(crate) load: ReportedLoad,
    pub(crate) probe: ProbeState,
    pub(crate) evidence: ReplicaEvidence,
    pub(crate) slow_start: SlowStart,
    pub(crate) health: ReplicaHealth,
}

impl Replica {
    /// Creates a replica that gets no requests until its endpoint list entry is applied.
    pub(crate) fn new(id: ReplicaId) -> Self {
        Replica {
            zone: 0,
            cell: 0,
            host_type: 0,
            capacity_weight: None,
            state: EndpointState::Draining,
            address_key: rendezvous::address_key(id),
            in_flight: 0,
            pending_prefill_tokens: 0.0,
            estimate_error: RunningMean::default(),
            load: ReportedLoad::new(),
            probe: ProbeState::default(),
            evidence: ReplicaEvidence::default(),
            slow_start: SlowStart::default(),
            health: ReplicaHealth::new(),
        }
    }

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

    /// Begins slow start and resets the health for a new process. `slow_start_debt` is a fraction of one attempt.
    pub(crate) fn restart(&mut self, started_at: Option<Seconds>, slow_start_debt: f64) {
        self.slow_start.restart(started_at, slow_start_debt);
        self.health.restart();
    }

    pub(crate) fn is_warm(&self, rules: &LifecycleRules, now: Seconds) -> bool {
        !self.slow_start.is_warming_up(rules, now)
    }

    /// Records an attempt that becomes overdue after `overdue_delay`.
    pub(crate) fn record_attempt(
        &mut self,
        prefill_tokens: f64,
        now: Seconds,
        overdue_delay: Seconds,
    ) {
        self.health.record_attempt(now, overdue_delay);
        self.in_flight += 1;
        self.pending_prefill_tokens += prefill_tokens;
        self.slow_start.record_attempt();
    }

    /// Records a first token, which shows that the prompt has been prefilled, and the error of its estimated time.
    pub(crate) fn record_first_token(
        &mut self,
        prefill_tokens: f64,
        estimated_ttft: Seconds,
        elapsed: Seconds,
    ) {
        self.remove_pending_prefill(prefill_tokens);
        if estimated_ttft > 0.0 {
            let ratio = elapsed.max(MIN_COMPARED_TIME) / estimated_ttft;
            let error = ratio.ln().clamp(MIN_ERROR_LOGARITHM, MAX_ERROR_LOGARITHM);
            self.estimate_error.record(error, ESTIMATE_ERROR_SAMPLES);
        }
    }

    /// Records the end of an attempt with this many prompt tokens not yet prefilled.
    pub(crate) fn record_attempt_end(&mut self, pending_prefill_tokens: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.remove_pending_prefill(pending_prefill_tokens);
    }

    fn remove_pending_prefill(&mut self, tokens: f64) {
        self.pending_prefill_tokens = (self.pending_prefill_tokens - tokens).max(0.0);
    }

    pub(crate) fn record_report(&mut self, report: LoadReport, now: Seconds) {
        self.load.record(report, now, self.in_flight);
    }

    /// Prompt tokens that the replica prefills before those of an attempt sent now. As a load report ages, its weight passes
    /// to `mean_queued_tokens`.
    pub(crate) fn queued_tokens(&self, now: Seconds, mean_queued_tokens: f64) -> f64 {
        let weight = self.load.freshness(now);
        let reported = self.load.queued_prompt_tokens() * weight;
        reported + mean_queued_tokens * (1.0 - weight) + self.pending_prefill_tokens
    }

    /// The factor by which recent times to first token exceeded their estimates.
    pub(crate) fn estimate_error_factor(&self, now: Seconds) -> f64 {
        let age = now - self.health.last_response_at();
        let error = self.estimate_error.shrunk(ESTIMATE_ERROR_PRIOR_SAMPLES);
        (error * (-age / ESTIMATE_ERROR_LIFETIME).exp()).exp()
    }

    /// The replica's score in a session's order, lowest first.
    pub(crate) fn rendezvous_score(&self, session: u64, weight: f64) -> u64 {
        rendezvous::score(session, self.address_key, weight)
    }

    /// The groups of replicas with which this one recognises repeated requests, by its current entry on the endpoint list.
    pub(crate) fn deduplication_groups(&self) -> DeduplicationGroups {
        DeduplicationGroups {
            zone: self.zone,
            cell: self.cell,
        }
    }
}

/// The groups of replicas with which a replica recognises repeated requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DeduplicationGroups {
    zone: usize,
    cell: usize,
}

impl DeduplicationGroups {
    /// Whether replicas of these two groups recognise repeats of each other's requests.
    pub(crate) fn are_shared(self, other: DeduplicationGroups, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::AllReplicas => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}
