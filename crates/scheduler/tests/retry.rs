//! Tests of retries, idempotency and hedging.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, AttemptOutcome, DeduplicationScope, Endpoint, EndpointState, Event, Idempotency,
    LoadReportSource, ReplicaId, RequestId, Seconds, SiteLimits,
};
use support::{
    answered_requests, endpoint, incoming_request, replica_id, settings, started_attempts,
    SchedulerHarness,
};

/// The time by which a stall of the process may delay a write.
const MAX_PROCESS_STALL: Seconds = 0.15;
/// Tolerance of comparisons of times.
const TOLERANCE: Seconds = 1e-9;

/// The time within which the first of the started attempts must be written.
fn write_timeout(actions: &[Action]) -> Option<Seconds> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt { write_timeout, .. } => *write_timeout,
        _ => None,
    })
}

#[test]
fn fails_non_idempotent_request_that_may_have_run() {
    for (outcome, is_retried) in [
        (AttemptOutcome::ServerError, false),
        (AttemptOutcome::AtCapacity, true),
    ] {
        let mut harness = SchedulerHarness::new(settings(), 2);
        harness.arrive(incoming_request(1, 2, 0, 5.0));
        let actions = harness.end_attempt(1, 0, outcome, false);
        assert_eq!(
            started_attempts(&actions).len(),
            usize::from(is_retried),
            "{outcome:?}"
        );
        assert_eq!(
            actions.contains(&Action::Fail {
                request: RequestId(1)
            }),
            !is_retried,
            "{outcome:?}"
        );
    }
}

#[test]
fn retries_keyed_request_within_its_scope_and_retention() {
    for (scope, retention, candidate_count) in [
        (DeduplicationScope::AllReplicas, 5.0, 3),
        (DeduplicationScope::Zone, 5.0, 1),
        (DeduplicationScope::Cell, 0.0, 0),
    ] {
        let mut site = settings();
        site.classes[0].idempotency = Idempotency::Keyed { scope, retention };
        let mut harness = SchedulerHarness::new(site, 4);
        let first = started_attempts(&harness.arrive(incoming_request(1, 0, 0, 5.0)))[0].replica;
        let actions = harness.end_attempt(1, 0, AttemptOutcome::ConnectionReset, false);
        let retries = started_attempts(&actions);
        assert_eq!(
            retries.len(),
            usize::from(candidate_count > 0),
            "{scope:?}: {actions:?}"
        );
        if candidate_count == 1 {
            let zone = |replica: ReplicaId| {
                let number = (0..4).find(|number| replica_id(*number) == replica);
                number.unwrap() % 2
            };
            assert_eq!(zone(retries[0].replica), zone(first));
        }
    }
}

/// Guards against a keyed request that runs twice: its repeat was placed within the retention, but written after it. The time
/// to write is what is left of the retention, less the time for which the process may stall.
#[test]
fn attempts_of_a_keyed_request_must_be_written_within_the_retention() {
    let mut site = settings();
    site.classes[0].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::AllReplicas,
        retention: 2.0,
    };
    let mut harness = SchedulerHarness::new(site, 2);
    let first = harness.arrive(incoming_request(1, 0, 0, 5.0));
    let placed_at = harness.now;
    let is_within_retention = |timeout: Option<Seconds>, now: Seconds| {
        let left = placed_at + 2.0 - MAX_PROCESS_STALL - now;
        timeout.is_some_and(|timeout| (timeout - left).abs() < TOLERANCE)
    };
    assert!(
        is_within_retention(write_timeout(&first), harness.now),
        "{first:?}"
    );
    harness.advance(0.7);
    let second = harness.end_attempt(1, 0, AttemptOutcome::ServerError, false);
    assert!(
        is_within_retention(write_timeout(&second), harness.now),
        "{second:?}"
    );
}

/// A repeat that was not written in time is the last attempt: the client gets its answer at once.
#[test]
fn answers_a_keyed_request_at_the_end_of_its_retention() {
    let mut site = settings();
    site.classes[0].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::AllReplicas,
        retention: 2.0,
    };
    site.classes[0].ttft_objective = 20.0;
    let mut harness = SchedulerHarness::new(site, 2);
    harness.arrive(incoming_request(1, 0, 0, 30.0));
    harness.advance(0.5);
    harness.end_attempt(1, 0, AttemptOutcome::ServerError, false);
    harness.advance(1.5);
    let actions = harness.end_attempt(1, 1, AttemptOutcome::NotSent, false);
    assert_eq!(
        (
            started_attempts(&actions).len(),
            answered_requests(&actions)
        ),
        (0, vec![1])
    );
}

/// Guards against a keyed request that its client repeats after replicas have forgotten it: a rejection invites the client to
/// send the request again, so it is given only while the repeat can be within the retention.
#[test]
fn keyed_request_that_may_have_run_is_rejected_only_within_its_retention() {
    for (waited, is_rejected) in [(1.0, true), (2.0, false)] {
        let mut site = settings();
        site.classes[0].idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::AllReplicas,
            retention: 2.0,
        };
        site.classes[0].ttft_objective = 20.0;
        site.limits.max_attempts = 1;
        let mut harness = SchedulerHarness::new(site, 2);
        harness.arrive(incoming_request(1, 0, 0, 30.0));
        harness.advance(waited);
        let actions = harness.end_attempt(1, 0, AttemptOutcome::ServerError, false);
        let has_rejection = actions
            .iter()
            .any(|action| matches!(action, Action::Reject { .. }));
        assert_eq!(answered_requests(&actions), [1]);
        assert_eq!(has_rejection, is_rejected, "after {waited} s: {actions:?}");
    }
}

/// Without a retention only the first attempt may be sent; it has no time limit.
#[test]
fn first_attempt_without_retention_may_be_written_at_any_time() {
    let mut site = settings();
    site.classes[0].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::AllReplicas,
        retention: 0.0,
    };
    let mut harness = SchedulerHarness::new(site, 2);
    let first = harness.arrive(incoming_request(1, 0, 0, 5.0));
    assert_eq!(started_attempts(&first).len(), 1);
    assert_eq!(write_timeout(&first), None);
}

#[test]
fn sends_no_probes_cancellations_or_retries_if_the_site_forbids_them() {
    let mut site = settings();
    site.limits = SiteLimits {
        allows_probes: false,
        allows_cancellation: false,
        allows_hedging: false,
        max_attempts: 1,
        max_retry_after: 0.0,
    };
    (site.tenants, site.load_report_source) = (vec![], LoadReportSource::Off);
    let mut harness = SchedulerHarness::new(site, 2);
    harness.arrive(incoming_request(1, 0, 0, 3.0));
    let mut actions = harness.advance(2.0);
    actions.extend(harness.end_attempt(1, 0, AttemptOutcome::ServerError, false));
    assert_eq!(
        (
            started_attempts(&actions).len(),
            answered_requests(&actions)
        ),
        (0, vec![1])
    );
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Probe { .. } | Action::CancelAttempt { .. })),
        "{actions:?}"
    );
}

#[test]
fn fails_invalid_request_immediately_without_ejecting_the_replica() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    for n in 0..6 {
        assert_eq!(
            started_attempts(&harness.arrive(incoming_request(n, 0, 0, 30.0))).len(),
            1,
            "request {n}"
        );
        let actions = harness.end_attempt(n, 0, AttemptOutcome::InvalidRequest, false);
        assert_eq!(
            actions,
            [Action::Fail {
                request: RequestId(n)
            }]
        );
    }
}

/// A hedged attempt is sent to another replica while it can be in time, for only a fraction of all attempts.
#[test]
fn hedges_overdue_request_at_another_replica_within_a_limit() {
    let mut site = settings();
    site.classes[0].ttft_objective = 4.0;
    for (allows_hedging, expected) in [(true, 1), (false, 0)] {
        site.limits.allows_hedging = allows_hedging;
        let mut harness = SchedulerHarness::new(site.clone(), 4);
        for n in 0..100 {
            harness.arrive(incoming_request(n, 0, 0, 9.0));
            harness.complete_with_cached_tokens(n, 0.0);
            harness.advance(0.04);
        }
        let first = started_attempts(&harness.arrive(incoming_request(500, 0, 0, 9.0)))[0].replica;
        let second = started_attempts(&harness.advance(1.0));
        assert_eq!(second.len(), expected, "{second:?}");
        assert!(second.iter().all(|attempt| attempt.replica != first));
    }
    site.limits.allows_hedging = true;
    let mut harness = SchedulerHarness::new(site, 8);
    let (mut firsts, mut hedged) = (0, 0);
    for n in 0..100 {
        firsts += started_attempts(&harness.arrive(incoming_request(n, 0, 0, 3.0))).len();
        hedged += started_attempts(&harness.advance(0.1)).len();
    }
    assert!(
        hedged <= 3 + firsts / 8,
        "{hedged} hedged attempts after {firsts} first attempts, none of which is answered"
    );
}

/// Guards against a keyed request that runs twice because another process takes the name of the replica that may have run it:
/// the repeat must stay with the replicas that recognised repeats when the first attempt was placed.
#[test]
fn repeat_stays_with_the_replicas_that_know_the_first_attempt() {
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut site = settings();
        site.classes[0].idempotency = Idempotency::Keyed {
            scope,
            retention: 5.0,
        };
        let mut harness = SchedulerHarness::new(site, 4);
        let arrived = harness.arrive(incoming_request(1, 0, 0, 5.0));
        let first = started_attempts(&arrived)[0].replica;
        let number = (0..4).find(|number| replica_id(*number) == first).unwrap();
        let other_group = endpoint(number + 1, EndpointState::Available, None);
        let moved = Endpoint {
            id: first,
            ..other_group
        };
        harness.handle(Event::EndpointsChanged(vec![moved]));
        let actions = harness.end_attempt(1, 0, AttemptOutcome::ConnectionReset, false);
        let retries = started_attempts(&actions);
        let same_group = replica_id((number + 2) % 4);
        assert_eq!(retries.len(), 1, "{scope:?}: {actions:?}");
        assert_eq!(retries[0].replica, same_group, "{scope:?}");
    }
}
