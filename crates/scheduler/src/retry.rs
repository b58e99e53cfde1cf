//! Retry rules: a request that a replica may have run is sent again only if running it twice has no second effect.
//!
//! Replicas recognise repeats of a keyed request for a limited time, the retention. An attempt is written some time after its
//! placement, since its connection may be established late and its body may be written slowly. Therefore each attempt of such
//! a request, the first one too, has a time by which its last byte must be written.
//!
//! The replicas that recognise a repeat are those of the group that the first attempt's replica had when it was placed: another
//! process may take over its name or its address later.
//!
//! Invariant: the attempts of a keyed request that may have run were all written within the retention after the first of them
//! was placed, in whichever order their connections were established.

use crate::fleet_view::FleetView;
use crate::replica::Replica;
use crate::request::Request;
use crate::time::MAX_PROCESS_STALL;
use crate::types::{DeduplicationScope, Idempotency, SchedulerSettings, Seconds};

/// The time by which the attempts of a keyed request must be written, if one of them is placed now. `None` if the class of
/// the request is not keyed.
fn write_deadline(
    settings: &SchedulerSettings,
    request: &Request,
    now: Seconds,
) -> Option<Seconds> {
    let Idempotency::Keyed { retention, .. } = settings.classes[request.class()].idempotency else {
        return None;
    };
    let first = request.first_attempt_that_may_have_run();
    let start = first.map_or(now, |first| first.sent_at);
    Some(start + retention - MAX_PROCESS_STALL)
}

/// The time within which the last byte of an attempt that is placed now must be written, so that its replica still recognises
/// it as a repeat of the request's other attempts, and they as repeats of it. `None` for no limit.
pub(crate) fn write_timeout(
    settings: &SchedulerSettings,
    request: &Request,
    now: Seconds,
) -> Option<Seconds> {
    let timeout = write_deadline(settings, request, now)? - now;
    // With a retention that is shorter than a stall a request gets a single attempt, which needs no limit.
    Some(timeout).filter(|timeout| *timeout > 0.0)
}

/// Whether another attempt of a request that is placed now has no second effect at the replicas within the scope of
/// deduplication.
pub(crate) fn may_repeat(settings: &SchedulerSettings, request: &Request, now: Seconds) -> bool {
    if request.first_attempt_that_may_have_run().is_none() {
        return true;
    }
    match settings.classes[request.class()].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { .. } => {
            write_deadline(settings, request, now).is_some_and(|deadline| now < deadline)
        }
    }
}

/// Whether another attempt of a request can be in time, is within the limit of attempts, and has no second effect.
pub(crate) fn may_retry(
    settings: &SchedulerSettings,
    request: &Request,
    now: Seconds,
    earliest_answer: Seconds,
) -> bool {
    let is_in_time = earliest_answer < request.deadlines().useful_until;
    let is_within_limit = request.attempts().len() < settings.limits.max_attempts;
    is_in_time && is_within_limit && may_repeat(settings, request, now)
}

/// Whether another attempt at this replica has no second effect.
pub(crate) fn may_run_at(view: &FleetView<'_>, request: &Request, replica: &Replica) -> bool {
    let Some(first) = request.first_attempt_that_may_have_run() else {
        return true;
    };
    let is_in_scope = match view.settings.classes[request.class()].idempotency {
        Idempotency::Keyed { scope, .. } => {
            let groups = replica.deduplication_groups();
            groups.are_shared(first.deduplication_groups, scope)
        }
        Idempotency::Idempotent | Idempotency::NonIdempotent => true,
    };
    is_in_scope && may_repeat(view.settings, request, view.now)
}

/// Whether the client can retry a request at any router, at this time at the earliest, without a second effect.
pub(crate) fn is_safe_for_client_to_retry(
    settings: &SchedulerSettings,
    request: &Request,
    retry_at: Seconds,
) -> bool {
    let Some(first) = request.first_attempt_that_may_have_run() else {
        return true;
    };
    match settings.classes[request.class()].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, retention } => {
            scope == DeduplicationScope::AllReplicas && retry_at < first.sent_at + retention
        }
    }
}
