//! Retry rules: a request that a replica may have run is sent again only if running it twice has no second effect.

use crate::fleet_view::FleetView;
use crate::replica::Replica;
use crate::request::Request;
use crate::types::{DeduplicationScope, Idempotency, SchedulerSettings, Seconds};

/// Whether another attempt of a request can be in time, is within the limit of attempts, and has no second effect.
pub(crate) fn may_retry(
    settings: &SchedulerSettings,
    request: &Request,
    earliest_answer: Seconds,
) -> bool {
    let idempotency = settings.classes[request.class()].idempotency;
    let is_safe = idempotency != Idempotency::NonIdempotent
        || request.first_attempt_that_may_have_run().is_none();
    let is_in_time = earliest_answer < request.deadlines().useful_until;
    is_safe && is_in_time && request.attempts().len() < settings.limits.max_attempts
}

/// Whether another attempt at this replica has no second effect.
pub(crate) fn may_run_at(view: &FleetView<'_>, request: &Request, replica: &Replica) -> bool {
    let Some(first) = request.first_attempt_that_may_have_run() else {
        return true;
    };
    match view.settings.classes[request.class()].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, retention } => {
            let first_replica = view.replicas.get(first.replica);
            let is_deduplicated =
                first_replica.is_some_and(|first| replica.shares_deduplication(first, scope));
            is_deduplicated && view.now < first.sent_at + retention
        }
    }
}

/// Whether the client can retry a request at any router without a second effect.
pub(crate) fn is_safe_for_client_to_retry(settings: &SchedulerSettings, request: &Request) -> bool {
    match settings.classes[request.class()].idempotency {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: DeduplicationScope::AllReplicas,
            ..
        } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
            request.first_attempt_that_may_have_run().is_none()
        }
    }
}
