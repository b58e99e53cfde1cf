//! Estimates the time to first token (TTFT) of an attempt at a replica, and the cost of sending it there.
//!
//! One estimate in seconds is used instead of weights for tokens, queue lengths and zones, whose effect would differ from
//! site to site. `docs/design.md` lists the numbers behind each term. Costs are relative to the value of one answer of
//! priority weight 1.

use crate::attempt::Attempt;
use crate::fleet_view::{FleetView, ATTEMPT_OVERHEAD_TOKENS};
use crate::outlier_detection::RESTART_SUSPECTED_AFTER;
use crate::prompt_cache::{CacheSource, PreviousTurn};
use crate::replica::Replica;
use crate::request::Request;
use crate::types::{ReplicaId, Seconds};

/// Queued tokens are prefilled in parallel with running answers, so they delay a new prompt by only this fraction of their
/// prefill time.
const QUEUED_TOKENS_WEIGHT: f64 = 0.4;
/// Weight of the reported requests of other routers. Reports arrive with the end of answers and may be outdated.
const REPORT_WEIGHT: f64 = 0.3;
/// Variance of the number of requests held right after a load report.
const HELD_VARIANCE: f64 = 0.2;
/// Lower bound of the mean number of other routers' requests from which the variance of the requests held is derived.
const MIN_OTHERS_VARIANCE: f64 = 0.1;
/// Ratio of the standard deviation of a normal distribution to the scale of the logistic distribution that approximates it.
const LOGISTIC_SCALE: f64 = 1.7;
/// Upper bound of the exponent in the mean excess of the logistic distribution, which prevents an overflow.
const MAX_EXCESS_EXPONENT: f64 = 30.0;
/// Expected extra delay at a replica with an unanswered probe.
const UNANSWERED_PROBE_DELAY: Seconds = 0.3;
/// A replica with an overdue attempt is expected to remain unresponsive for this fraction of the time since that attempt.
const UNRESPONSIVE_FRACTION: f64 = 0.5;
/// The cost of one second of prefill for each request that runs at the replica, because prefill delays all of them.
const PREFILL_COST: f64 = 0.15;
/// Assumed number of requests that a prefill delays besides those at the replica, if the session's previous turn is known.
const EXTRA_DELAYED_WITH_PREVIOUS_TURN: f64 = 4.0;
/// Assumed number of requests that a prefill delays besides those at the replica, if the session's previous turn is unknown.
const EXTRA_DELAYED_OTHERWISE: f64 = 1.0;
/// The cost of a full batch, or of full memory, because batch slots and memory in use are unavailable to later requests.
const OCCUPANCY_COST: f64 = 0.3;
/// Upper bound of the batch load, in full batches.
const MAX_BATCH_LOAD: f64 = 8.0;
/// Weight of the batch load if load reports do not contain the requests held, which are then only estimated.
const UNREPORTED_WEIGHT: f64 = 0.5;
/// Added to the choice weight, so that a replica with full memory is still chosen sometimes.
const MIN_CHOICE_WEIGHT: f64 = 0.05;

/// The inputs of an estimate that are the same for all candidates.
pub(crate) struct EstimateInput {
    prompt_tokens: f64,
    shared_prefix_tokens: f64,
    previous_turn: Option<PreviousTurn>,
    /// The replica expected to have the session's prompts in its cache; `None` if this router knows the replica of the
    /// previous turn, or if a probe of the affinity replica is unanswered.
    affinity_replica: Option<ReplicaId>,
    /// Time after which a first token has no value.
    time_left: Seconds,
    /// Mean number of other routers' requests at a replica.
    mean_held_by_others: f64,
}

/// The parameters of estimates that follow from the scheduler's timing.
pub(crate) struct EstimateTiming {
    /// Lower bound of [`EstimateInput::time_left`].
    pub(crate) min_time_left: Seconds,
    /// A probe that has been in flight for longer than this counts as unanswered.
    pub(crate) probe_answer_time: Seconds,
}

impl EstimateInput {
    pub(crate) fn new(
        view: &FleetView<'_>,
        request: &Request,
        candidates: &[ReplicaId],
        timing: &EstimateTiming,
    ) -> Self {
        let incoming = request.incoming();
        let prompt_tokens = incoming.prompt_tokens as f64;
        let previous_turn = incoming
            .session
            .and_then(|session| view.prompt_cache.previous_turn(session));
        // A replica with an unanswered probe may have restarted with an empty cache.
        let answers_probes = |id: &ReplicaId| {
            let span = timing.probe_answer_time;
            let replica = view.replicas.get(*id);
            replica.is_some_and(|replica| !replica.probe.is_unanswered_for(view.now, span))
        };
        let affinity_replica = candidates.first().copied();
        let time_left = request.deadlines().useful_until - view.now;
        EstimateInput {
            prompt_tokens,
            shared_prefix_tokens: (incoming.shared_prefix_tokens as f64).min(prompt_tokens),
            previous_turn,
            affinity_replica: affinity_replica
                .filter(|id| previous_turn.is_none() && answers_probes(id)),
            time_left: time_left.max(timing.min_time_left),
            mean_held_by_others: view
                .replicas
                .mean_in_flight_of_others(view.settings.router_count),
        }
    }
}

/// The part of a prompt that a replica is expected to have in its cache.
struct CachedPrompt {
    tokens: f64,
    source: CacheSource,
}

/// The requests of all routers at a replica.
struct Occupancy {
    /// Estimated number of requests that run or are queued at the replica.
    held: f64,
    batch_size: f64,
    service_time: Seconds,
    /// Estimated time until a new request gets a batch slot.
    wait: Seconds,
}

pub(crate) struct Candidate {
    /// The attempt that is started if the candidate is chosen.
    pub(crate) attempt: Attempt,
    /// Relative to the value of one answer of priority weight 1.
    pub(crate) cost: f64,
    /// Relative weight among candidates of equal cost.
    pub(crate) choice_weight: f64,
}

/// Estimates an attempt at a replica from its prefill time, the wait for a batch slot and the error of recent estimates
/// there.
pub(crate) fn estimate(
    view: &FleetView<'_>,
    input: &EstimateInput,
    id: ReplicaId,
    replica: &Replica,
) -> Candidate {
    let cached = cached_prompt(view, input, id);
    let prefill_tokens = input.prompt_tokens - cached.tokens;
    let prefill_time = view.host_types.prefill_time(replica.host_type());
    let occupancy = occupancy(view, input, replica);
    let queued = view.queued_tokens(replica) * QUEUED_TOKENS_WEIGHT;
    let prefill = (queued + prefill_tokens + ATTEMPT_OVERHEAD_TOKENS) * prefill_time;
    let probe_delay = if replica.probe.is_in_flight() {
        UNANSWERED_PROBE_DELAY
    } else {
        0.0
    };
    let error_factor = replica.estimate_error_factor(view.now);
    let time_to_first_token = (prefill + occupancy.wait) * error_factor + probe_delay;

    let late_probability = late_probability(time_to_first_token, input.time_left);
    let cross_zone_cost = if view.is_local_zone(replica) {
        0.0
    } else {
        view.settings.costs.cross_zone
    };
    let prefill_cost = prefill_cost(input, &occupancy, prefill_tokens, prefill_time);
    let memory = replica.load.memory_utilization;
    let batch_load = batch_load(view, replica, &occupancy);
    Candidate {
        attempt: Attempt::new(
            id,
            replica.deduplication_groups(),
            view.now,
            prefill_tokens,
            cached.source,
            time_to_first_token,
        ),
        cost: late_probability
            + cross_zone_cost
            + prefill_cost
            + OCCUPANCY_COST * (batch_load + memory.min(1.0)),
        choice_weight: 1.0 + MIN_CHOICE_WEIGHT - memory.clamp(0.0, 1.0),
    }
}

/// The probability that the first token is late, if the error of the estimate is about as large as the estimate itself.
fn late_probability(time_to_first_token: Seconds, time_left: Seconds) -> f64 {
    let squared = time_to_first_token * time_to_first_token;
    squared / (squared + time_left * time_left)
}

/// The part of the prompt expected in a replica's cache: the previous turn, if this router sent it there; the whole prompt,
/// if this is the session's affinity replica; otherwise the shared prefix. Each part is multiplied by its learned hit rate.
fn cached_prompt(view: &FleetView<'_>, input: &EstimateInput, id: ReplicaId) -> CachedPrompt {
    let hit_rate = |source| view.prompt_cache.hit_rate(source);
    let shared_prefix = input.shared_prefix_tokens * hit_rate(CacheSource::SharedPrefix);
    match input.previous_turn {
        Some(turn) if turn.replica == id => {
            let source = CacheSource::PreviousTurn;
            let previous = turn.prompt_tokens.min(input.prompt_tokens) * hit_rate(source);
            CachedPrompt {
                tokens: shared_prefix.max(previous),
                source,
            }
        }
        None if input.affinity_replica == Some(id) => {
            let source = CacheSource::AffinityReplica;
            let own = input.prompt_tokens - input.shared_prefix_tokens;
            CachedPrompt {
                tokens: shared_prefix + own * hit_rate(source),
                source,
            }
        }
        _ => CachedPrompt {
            tokens: shared_prefix,
            source: CacheSource::SharedPrefix,
        },
    }
}

fn occupancy(view: &FleetView<'_>, input: &EstimateInput, replica: &Replica) -> Occupancy {
    let load = &replica.load;
    let host_type = replica.host_type();
    let service_time = view.host_types.service_time(host_type);
    let held_by_others = input.mean_held_by_others;
    // As answers end, the number of other routers' requests drifts from the reported value to the mean.
    let report_weight = (-load.age(view.now) / service_time).exp();
    let reported_by_others = load.requests_held.map_or(held_by_others, |held| {
        (held.reported - held.own_in_flight as f64).max(0.0)
    });
    let held = replica.in_flight() as f64
        + held_by_others
        + (reported_by_others - held_by_others) * report_weight * REPORT_WEIGHT;
    let batch_size = load
        .batch_size
        .unwrap_or_else(|| view.host_types.batch_size(host_type));
    let excess = excess_over_batch(held + 1.0 - batch_size, held_by_others, report_weight);
    let mut wait = excess * service_time / batch_size;
    wait += if load.requests_held.is_none() {
        load.requests_queued * load.freshness(view.now) * service_time / batch_size
    } else {
        0.0
    };
    if let Some(overdue) = replica.health.overdue_since(view.now) {
        wait += UNRESPONSIVE_FRACTION * overdue.min(RESTART_SUSPECTED_AFTER);
    }
    Occupancy {
        held,
        batch_size,
        service_time,
        wait,
    }
}

/// The mean number of requests in excess of a full batch, if the number of requests held is normally distributed
/// (approximated by a logistic distribution). `mean_excess` is the mean number of requests held minus the batch size and may
/// be negative; `held_by_others` is the mean number of other routers' requests at the replica.
fn excess_over_batch(mean_excess: f64, held_by_others: f64, report_weight: f64) -> f64 {
    let unreported = 1.0 - report_weight * report_weight;
    let variance = held_by_others.max(MIN_OTHERS_VARIANCE) * unreported + HELD_VARIANCE;
    let scale = variance.sqrt() / LOGISTIC_SCALE;
    let exponent = (mean_excess / scale).min(MAX_EXCESS_EXPONENT);
    (exponent.exp().ln_1p() * scale).max(mean_excess)
}

/// The cost of the delay that this prompt's prefill causes to the requests that run at the replica.
fn prefill_cost(
    input: &EstimateInput,
    occupancy: &Occupancy,
    prefill_tokens: f64,
    prefill_time: Seconds,
) -> f64 {
    let extra_delayed = if input.previous_turn.is_some() {
        EXTRA_DELAYED_WITH_PREVIOUS_TURN
    } else {
        EXTRA_DELAYED_OTHERWISE
    };
    PREFILL_COST * (occupancy.held + extra_delayed) * prefill_tokens * prefill_time
}

/// The number of full batches at the replica, weighted by its service time relative to the mean of all host types.
fn batch_load(view: &FleetView<'_>, replica: &Replica, occupancy: &Occupancy) -> f64 {
    let weight = if replica.load.requests_held.is_some() {
        1.0
    } else {
        UNREPORTED_WEIGHT
    };
    let batches = occupancy.held / occupancy.batch_size * occupancy.service_time;
    (batches / view.host_types.mean_service_time() * weight).min(MAX_BATCH_LOAD)
}

/// Estimates all candidates in the given order; unknown replicas are left out.
pub(crate) fn estimate_all(
    view: &FleetView<'_>,
    input: &EstimateInput,
    candidates: &[ReplicaId],
) -> Vec<Candidate> {
    let mut estimates = Vec::with_capacity(candidates.len());
    for id in candidates {
        if let Some(replica) = view.replicas.get(*id) {
            estimates.push(estimate(view, input, *id, replica));
        }
    }
    estimates
}
