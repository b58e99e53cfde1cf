//! Session affinity: which replicas a session's requests go to first.
//!
//! A session's next turn comes to any router, so each session has an order of replicas that all routers reckon alike (see
//! [`crate::rendezvous`]), those of the own zone first where crossing zones has a cost. Its first replicas are asked for
//! load reports before a request goes out, and the first one is expected to have the session's prompts in its cache.

use crate::fleet_view::FleetView;
use crate::replica::Replica;
use crate::types::{IncomingRequest, ReplicaId};

/// Replicas of a session's order that are used.
const CANDIDATE_COUNT: usize = 2;

/// A replica's place in a session's order. The derived order compares the fields from the first to the last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedReplica {
    is_remote: bool,
    score: u64,
    replica: ReplicaId,
}

/// The first replicas in a session's order among those that qualify. Where crossing zones has a cost these are the first
/// ones of the own zone and one beyond, since a zone may have more traffic than its replicas can carry.
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
                is_remote: !is_near(view, replica),
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

/// The replicas that a session's requests go to first, as far as they are healthy.
pub(crate) fn affinity_candidates(
    view: &FleetView<'_>,
    request: &IncomingRequest,
) -> Vec<ReplicaId> {
    rendezvous_order(view, request, |_, replica| {
        replica.is_available() && replica.health.is_affinity_candidate(view.now)
    })
}

fn is_near(view: &FleetView<'_>, replica: &Replica) -> bool {
    view.is_local_zone(replica) || view.settings.costs.cross_zone <= 0.0
}

/// Larger replicas come first more often: by the capacity that the list tells, else by how fast they read prompts.
fn rendezvous_weight(view: &FleetView<'_>, replica: &Replica) -> f64 {
    let host_type = replica.host_type();
    replica
        .capacity_weight()
        .unwrap_or_else(|| 1.0 / view.host_types.relative_prefill_time(host_type))
}
