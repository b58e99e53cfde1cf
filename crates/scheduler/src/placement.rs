//! Placement: the choice of the replica for the next attempt of a request.
//!
//! Among the replicas that have capacity and may run the request, one is chosen at random, weighted by the estimated cost
//! (softmax), because routers that all choose the cheapest replica at the same time would overload it. If there are more
//! routers than replicas, only the first replicas of the session's order are candidates, because their load reports are
//! recent.

use crate::affinity;
use crate::fleet_view::FleetView;
use crate::latency_estimate::{estimate_all, Candidate, EstimateInput, EstimateTiming};
use crate::replica::Replica;
use crate::request::Request;
use crate::retry;
use crate::types::ReplicaId;

/// Candidates whose costs differ by less than this are chosen with similar probability.
const SOFTMAX_TEMPERATURE: f64 = 0.005;

/// Constraints on the placement of one attempt.
pub(crate) struct PlacementLimits {
    /// The request may use only a fraction of the concurrency limit.
    pub(crate) is_best_effort: bool,
    /// The fleet's budget allows an attempt at a replica of another zone.
    pub(crate) may_cross_zones: bool,
}

/// The replicas that the next attempt of this request may be sent to, with their estimates. Replicas that have already had
/// an attempt of the request are included only if there are no others.
pub(crate) fn candidates(
    view: &FleetView<'_>,
    request: &Request,
    limits: &PlacementLimits,
    timing: &EstimateTiming,
) -> Vec<Candidate> {
    let affinity = affinity::affinity_candidates(view, request.incoming());
    let has_sparse_feedback = view.concurrency.has_sparse_feedback();
    let has_free_slot = view.has_free_slot(limits.is_best_effort);
    // Other replicas would have to prefill again what the affinity replica has in its cache, so the router's concurrency
    // limit does not apply to the affinity replica.
    let exempt_replica = affinity.first().copied().filter(|_| has_sparse_feedback);
    let is_eligible = |id: ReplicaId, replica: &Replica| {
        view.has_capacity(replica, has_free_slot || exempt_replica == Some(id))
            && retry::may_run_at(view, request, replica)
            && (limits.may_cross_zones || view.is_local_zone(replica))
    };
    let is_untried = |id: ReplicaId| {
        request
            .attempts()
            .iter()
            .all(|attempt| attempt.replica != id)
    };
    let select = |qualifies: &dyn Fn(ReplicaId, &Replica) -> bool| -> Vec<ReplicaId> {
        if has_sparse_feedback {
            return affinity::rendezvous_order(view, request.incoming(), qualifies);
        }
        let all = view.replicas.iter();
        let qualified = all.filter(|(id, replica)| qualifies(*id, replica));
        qualified.map(|(id, _)| id).collect()
    };
    let mut selected = select(&|id, replica| is_eligible(id, replica) && is_untried(id));
    if selected.is_empty() {
        selected = select(&is_eligible);
    }
    let input = EstimateInput::new(view, request, &affinity, timing);
    estimate_all(view, &input, &selected)
}

/// Chooses one candidate at random, weighted by cost. `random` returns a number from 0 to 1 and is called once per
/// candidate.
pub(crate) fn choose(
    candidates: Vec<Candidate>,
    mut random: impl FnMut() -> f64,
) -> Option<Candidate> {
    // Weights are relative to the lowest cost. Otherwise, if all candidates had high costs, all weights would underflow to
    // zero and the last candidate would be chosen.
    let costs = candidates.iter().map(|candidate| candidate.cost);
    let lowest_cost = costs.fold(f64::INFINITY, f64::min);
    let mut chosen = None;
    let mut total_weight = 0.0;
    for candidate in candidates {
        let advantage = (lowest_cost - candidate.cost) / SOFTMAX_TEMPERATURE;
        let weight = candidate.choice_weight * advantage.exp();
        total_weight += weight;
        if random() * total_weight <= weight {
            chosen = Some(candidate);
        }
    }
    chosen
}
