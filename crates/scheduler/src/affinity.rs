//! Session affinity: which replicas are preferred for the requests of a session.
//!
//! The turns of a session can arrive at any router, so all routers compute the same order of replicas for a session
//! ([`crate::rendezvous`]). If crossing zones has a cost, each router puts the replicas of its own zone first. The first
//! replicas are probed for load reports before an attempt, and the first one is expected to have the session's prompts in
//! its cache.

use crate::fleet_view::FleetView;
use crate::replica::Replica;
use crate::types::{IncomingRequest, ReplicaId};

/// Number of replicas at the front of a session's order that are considered, not counting an additional remote one.
const CANDIDATE_COUNT: usize = 2;

/// Sort key of a replica in a session's order. The derived order compares the fields from first to last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedReplica {
    is_remote: bool,
    score: u64,
    replica: ReplicaId,
}

/// The first replicas in a session's order that satisfy `qualifies`. If crossing zones has a cost, these are the first ones
/// in the router's own zone and one remote replica, because a zone may have more traffic than its replicas can handle.
pub(crate) fn rendezvous_order(
    view: &FleetView<'_>,
    request: &IncomingRequest,
    qualifies: impl Fn(ReplicaId, &Replica) -> bool,
) -> Vec<ReplicaId> {
    let session = request.session.unwrap_or(request.id.0);
    let mut ranked = Vec::new();
    for (id, replica) in view.replicas.iter() {
        if qualifies(id, replica) {
            ranked.push(RankedReplica {
                is_remote: !is_zone_preferred(view, replica),
                score: replica.rendezvous_score(session, rendezvous_weight(view, replica)),
                replica: id,
            });
        }
    }
    ranked.sort_unstable();
    let first_remote = ranked.iter().position(|replica| replica.is_remote);
    if let Some(position) = first_remote.filter(|position| *position > CANDIDATE_COUNT) {
        ranked.swap(CANDIDATE_COUNT, position);
    }
    let has_remote_next = ranked
        .get(CANDIDATE_COUNT)
        .is_some_and(|replica| replica.is_remote);
    ranked.truncate(CANDIDATE_COUNT + usize::from(has_remote_next));
    ranked.into_iter().map(|ranked| ranked.replica).collect()
}

/// The first healthy replicas in a session's order.
pub(crate) fn affinity_candidates(
    view: &FleetView<'_>,
    request: &IncomingRequest,
) -> Vec<ReplicaId> {
    rendezvous_order(view, request, |_, replica| {
        replica.is_available() && replica.health.is_affinity_candidate(view.now)
    })
}

fn is_zone_preferred(view: &FleetView<'_>, replica: &Replica) -> bool {
    view.is_local_zone(replica) || view.settings.costs.cross_zone <= 0.0
}

/// The hashing weight of a replica: its listed capacity weight, or its relative prefill speed if it has none.
fn rendezvous_weight(view: &FleetView<'_>, replica: &Replica) -> f64 {
    let host_type = replica.host_type();
    replica
        .capacity_weight()
        .unwrap_or_else(|| 1.0 / view.host_types.relative_prefill_time(host_type))
}
