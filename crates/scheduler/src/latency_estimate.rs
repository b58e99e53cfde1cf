//! The estimate of an attempt's time to first token at a replica, and of what sending it there costs.
//!
//! One estimate in seconds takes the place of weights in tokens, queue places and zones, whose units meant something else
//! at each site. `docs/design.md` has the figures of each term. Costs are in answers of priority weight 1.

use crate::attempt::Attempt;
use crate::fleet_view::{FleetView, BASE_TOKENS};
use crate::outlier_detection::RESTART_SUSPICION;
use crate::prompt_cache::{CacheSource, PreviousTurn};
use crate::replica::Replica;
use crate::request::Request;
use crate::types::{ReplicaId, Seconds};

/// Queued tokens are read beside others' answers: they delay a new prompt by this part of the time to read them.
const QUEUED_TOKENS_PART: f64 = 0.4;
/// What other routers hold at a replica is told at the end of answers and may be late: the part that is believed.
const REPORT_TRUST: f64 = 0.3;
/// Variance of the requests held now, in requests squared, where a report has just come.
const HELD_VARIANCE: f64 = 0.2;
/// Other routers hold at least this many requests, for the variance.
const MIN_OTHERS_VARIANCE: f64 = 0.1;
/// The ratio of a normal distribution's deviation to that of the logistic one that stands for it.
const LOGISTIC_SCALE: f64 = 1.7;
/// Bounds the exponent in the logistic's mean excess.
const MAX_EXCESS_EXPONENT: f64 = 30.0;
/// A replica that leaves a probe unanswered is expected to keep a request this much longer.
const UNANSWERED_PROBE_DELAY: Seconds = 0.3;
/// A replica without a response since an overdue attempt is expected to go on so for this part of that time.
const SILENCE_PART: f64 = 0.5;
/// Reading a prompt holds up all requests that run there: the cost of one second for each of them.
const PREFILL_COST: f64 = 0.15;
/// Requests held up count as this many more where the session's previous turn is known, and as one more elsewhere.
const HELD_UP_WITH_PREVIOUS_TURN: f64 = 4.0;
const HELD_UP_OTHERWISE: f64 = 1.0;
/// A place taken is one that later requests lack: the cost of filling a batch, or the memory.
const PLACE_COST: f64 = 0.3;
/// The most batches, in mean service times, that places taken count for.
const MAX_PLACES_TAKEN: f64 = 8.0;
/// Where reports do not say what a replica holds, this part of the guess is believed.
const UNREPORTED_TRUST: f64 = 0.5;
/// A replica whose memory is full is chosen this much as often as an empty one, not never.
const MIN_CHOICE_WEIGHT: f64 = 0.05;

/// What an estimate needs to know of a request and of the router: the same for all candidates.
pub(crate) struct EstimateInput {
    prompt_tokens: f64,
    shared_prefix_tokens: f64,
    previous_turn: Option<PreviousTurn>,
    /// Where the session's prompts are expected to be cached, if its previous turn is not known.
    affinity_replica: Option<ReplicaId>,
    /// Time until a first token earns nothing.
    time_left: Seconds,
    /// Requests of other routers at a replica, the mean.
    mean_held_by_others: f64,
}

/// Parameters of an estimate that the scheduler's timing sets.
pub(crate) struct EstimateTiming {
    /// The time left counts as this much at least.
    pub(crate) min_time_left: Seconds,
    /// A probe counts as unanswered after this long.
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
        // A replica that leaves a probe unanswered may have been restarted, and then has nothing in its cache.
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

/// What a replica is expected to have of a prompt in its cache.
struct CachedPrompt {
    tokens: f64,
    source: CacheSource,
}

/// The requests at a replica, of all routers.
struct Occupancy {
    /// Requests held, the mean.
    held: f64,
    batch_size: f64,
    service_time: Seconds,
    /// Time until a new request has a place in the batch.
    wait: Seconds,
}

/// One candidate for an attempt.
pub(crate) struct Candidate {
    pub(crate) attempt: Attempt,
    /// What sending the attempt there costs.
    pub(crate) cost: f64,
    /// How often it is chosen beside other candidates of that cost.
    pub(crate) choice_weight: f64,
}

/// Estimates an attempt at a replica: reading the prompt, waiting for a place in the batch, and how far the last answers
/// there ran over their estimates.
pub(crate) fn estimate(
    view: &FleetView<'_>,
    input: &EstimateInput,
    id: ReplicaId,
    replica: &Replica,
) -> Candidate {
    let cached = cached_prompt(view, input, id);
    let unread_tokens = input.prompt_tokens - cached.tokens;
    let prefill_time = view.host_types.prefill_time(replica.host_type());
    let occupancy = occupancy(view, input, replica);
    let queued = view.queued_tokens(replica) * QUEUED_TOKENS_PART;
    let reading = (queued + unread_tokens + BASE_TOKENS) * prefill_time;
    let probe_delay = if replica.probe.is_in_flight() {
        UNANSWERED_PROBE_DELAY
    } else {
        0.0
    };
    let error_factor = replica.estimate_error_factor(view.now);
    let time_to_first_token = (reading + occupancy.wait) * error_factor + probe_delay;

    let late = lateness(time_to_first_token, input.time_left);
    let crossing = if view.is_local_zone(replica) {
        0.0
    } else {
        view.settings.costs.cross_zone
    };
    let prefill = prefill_cost(input, &occupancy, unread_tokens, prefill_time);
    let memory = replica.load.memory_utilization;
    let places = places_taken(view, replica, &occupancy);
    Candidate {
        attempt: Attempt::new(
            id,
            view.now,
            unread_tokens,
            cached.source,
            time_to_first_token,
        ),
        cost: late + crossing + prefill + PLACE_COST * (places + memory.min(1.0)),
        choice_weight: 1.0 + MIN_CHOICE_WEIGHT - memory.clamp(0.0, 1.0),
    }
}

/// The chance to be late, with errors about as large as the estimate.
fn lateness(time_to_first_token: Seconds, time_left: Seconds) -> f64 {
    let squared = time_to_first_token * time_to_first_token;
    squared / (squared + time_left * time_left)
}

/// What a replica is expected to have in its cache: the previous turn where this router sent it, else what affinity
/// replicas have shown.
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
    let others = input.mean_held_by_others;
    // What other routers hold drifts from what the last report showed to the mean as answers end.
    let report_weight = (-load.age(view.now) / service_time).exp();
    let reported_others = load.requests_held.map_or(others, |held| {
        (held.reported - held.own_in_flight as f64).max(0.0)
    });
    let held = replica.in_flight() as f64
        + others
        + (reported_others - others) * report_weight * REPORT_TRUST;
    let batch_size = load
        .batch_size
        .unwrap_or_else(|| view.host_types.batch_size(host_type));
    let excess = excess_over_batch(held + 1.0 - batch_size, others, report_weight);
    let mut wait = excess * service_time / batch_size;
    wait += if load.requests_held.is_none() {
        load.requests_queued * load.freshness(view.now) * service_time / batch_size
    } else {
        0.0
    };
    if let Some(overdue) = replica.health.overdue_since(view.now) {
        wait += SILENCE_PART * overdue.min(RESTART_SUSPICION);
    }
    Occupancy {
        held,
        batch_size,
        service_time,
        wait,
    }
}

/// The mean number of requests over a full batch, where the requests held are normally distributed about their mean (a
/// logistic distribution stands for the normal one). `mean_excess` may be negative.
fn excess_over_batch(mean_excess: f64, others: f64, report_weight: f64) -> f64 {
    let unreported = 1.0 - report_weight * report_weight;
    let variance = others.max(MIN_OTHERS_VARIANCE) * unreported + HELD_VARIANCE;
    let scale = variance.sqrt() / LOGISTIC_SCALE;
    let exponent = (mean_excess / scale).min(MAX_EXCESS_EXPONENT);
    (exponent.exp().ln_1p() * scale).max(mean_excess)
}

/// The cost of reading this prompt to the requests that run at the replica.
fn prefill_cost(
    input: &EstimateInput,
    occupancy: &Occupancy,
    unread_tokens: f64,
    prefill_time: Seconds,
) -> f64 {
    let held_up = if input.previous_turn.is_some() {
        HELD_UP_WITH_PREVIOUS_TURN
    } else {
        HELD_UP_OTHERWISE
    };
    PREFILL_COST * (occupancy.held + held_up) * unread_tokens * prefill_time
}

/// The batches that are taken, weighed by how long answers hold a place there.
fn places_taken(view: &FleetView<'_>, replica: &Replica, occupancy: &Occupancy) -> f64 {
    let trust = if replica.load.requests_held.is_some() {
        1.0
    } else {
        UNREPORTED_TRUST
    };
    let batches = occupancy.held / occupancy.batch_size * occupancy.service_time;
    (batches / view.host_types.mean_service_time() * trust).min(MAX_PLACES_TAKEN)
}

/// The candidates' estimates in their order.
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
