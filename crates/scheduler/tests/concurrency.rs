//! Tests of the concurrency limit: initial value, growth, reduction and division.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    AttemptOutcome, EndpointState, Event, IncomingRequest, RequestId, SchedulerSettings,
};
use support::{
    endpoint, incoming_request, probed_replicas, settings, started_attempts, SchedulerHarness,
};

#[test]
fn limit_grows_on_early_first_tokens_and_shrinks_at_capacity() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let before = harness.fill_capacity();
    for n in 0..before {
        harness.first_token(1000 + n, 0.01);
    }
    for n in 0..before {
        harness.end_attempt(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    harness.advance(1.1);
    harness.handle(Event::ClientDisconnected(RequestId(1000 + before)));
    harness.end_attempt(1000 + before, 0, AttemptOutcome::Cancelled, true);
    let grown = harness.fill_capacity();
    assert!(grown > before, "{before} then {grown}");
    let mut harness = SchedulerHarness::new(settings(), 1);
    let before = harness.fill_capacity();
    harness.end_attempt(1000, 0, AttemptOutcome::AtCapacity, false);
    for n in 1..before {
        harness.end_attempt(1000 + n, 0, AttemptOutcome::Cancelled, true);
    }
    harness.advance(30.0);
    harness.last_actions.clear();
    let mut sent = 0;
    for n in 5000..5020 {
        sent += started_attempts(&harness.arrive(incoming_request(n, 0, 0, 30.0))).len() as u64;
    }
    assert!(sent < before, "{before} then {sent}");
}

/// Guards against a limit that never grows if answers are not streamed.
#[test]
fn limit_grows_on_answers_without_streaming() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let before = harness.fill_capacity();
    for n in 0..=before {
        harness.end_attempt(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    harness.advance(1.1);
    let sent = (5000..5040)
        .map(|n| started_attempts(&harness.arrive(incoming_request(n, 0, 0, 30.0))).len() as u64);
    let after: u64 = sent.sum();
    assert!(after > before, "{before} then {after}");
}

/// The sum of all routers' limits must not exceed what the replicas can hold.
#[test]
fn initial_limit_is_divided_among_routers() {
    for (routers, sent) in [(1, 32), (4, 8), (32, 1), (300, 1)] {
        let mut site = SchedulerSettings {
            router_count: routers,
            ..settings()
        };
        site.limits.allows_probes = false;
        let mut harness = SchedulerHarness::new(site, 4);
        assert_eq!(harness.fill_capacity(), sent, "{routers} routers");
    }
}

/// One late replica must not permanently reduce the common limit: reductions are small, and early first tokens offset them.
#[test]
fn limit_shrinks_on_late_first_tokens_and_recovers_on_early_ones() {
    let mut harness = SchedulerHarness::new(settings(), 4);
    let before = harness.fill_capacity();
    harness.handle(Event::ClientDisconnected(RequestId(1000 + before)));
    for n in 0..before {
        harness.first_token(1000 + n, 0.9);
        harness.end_attempt(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    let in_flight = |harness: &mut SchedulerHarness, from: u64| {
        let sent = (from..from + 60)
            .map(|n| started_attempts(&harness.arrive(incoming_request(n, 0, 0, 30.0))).len());
        sent.sum::<usize>() as u64
    };
    let small = in_flight(&mut harness, 5000);
    assert!(
        small < before && small > before / 3,
        "{before} then {small}"
    );
    for n in 5000..5000 + small {
        harness.first_token(n, 0.01);
        harness.end_attempt(n, 0, AttemptOutcome::Completed, true);
    }
    let grown = in_flight(&mut harness, 6000) + 60 - small;
    assert!(grown > small, "{small} then {grown}");
}

/// A router's share of a quota may be below one request per second. A burst of requests within the quota must not be
/// rejected because of that.
#[test]
fn small_share_of_a_quota_allows_a_burst() {
    let mut site = SchedulerSettings {
        router_count: 100,
        ..settings()
    };
    site.tenants[0].rate_limit = 20.0;
    let mut harness = SchedulerHarness::new(site, 200);
    for n in 0..8 {
        harness.arrive(incoming_request(n, 1, 0, 5.0));
        assert_eq!(
            harness
                .end_attempt(n, 0, AttemptOutcome::Cancelled, true)
                .len(),
            0
        );
    }
    let held = harness.fill_capacity();
    assert!(held >= 1, "{held}");
}

/// Requests beyond a quota may use only a fraction of the limit, because other routers may have queued requests of higher
/// priority.
#[test]
fn requests_beyond_quota_use_a_fraction_of_the_limit() {
    let mut site = settings();
    site.tenants[0].rate_limit = 0.0;
    let mut harness = SchedulerHarness::new(site, 4);
    let sent =
        (0..60).map(|n| started_attempts(&harness.arrive(incoming_request(n, 1, 0, 30.0))).len());
    let (beyond, all) = (sent.sum::<usize>(), 32);
    assert!(beyond > 8 && beyond < all / 2 + 8, "{beyond} of {all}");
    assert_eq!(
        started_attempts(&harness.arrive(incoming_request(90, 1, 1, 30.0))).len(),
        1,
        "within its quota"
    );
}

#[test]
fn limit_shrinks_on_broken_streams() {
    // Broken streams reduce the limit like timeouts and replicas at capacity.
    let capacity_after = |outcome| {
        let mut harness = SchedulerHarness::new(settings(), 1);
        for id in 1..=60 {
            harness.arrive(incoming_request(id, 0, 0, 30.0));
            harness.first_token(id, 0.2);
            harness.end_attempt(id, 0, outcome, true);
        }
        harness.advance(0.8);
        harness.fill_capacity()
    };
    assert!(
        capacity_after(AttemptOutcome::ConnectionReset) < capacity_after(AttemptOutcome::Completed)
    );
}

#[test]
fn limit_does_not_shrink_while_requests_wait_longer_in_the_router_than_at_replicas() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let before = harness.fill_capacity();
    for n in 0..before {
        harness.first_token(1000 + n, 0.2);
    }
    for n in 0..40 {
        // The next request has been queued for longer than its time to first token.
        harness.advance(0.5);
        harness.end_attempt(1000 + n, 0, AttemptOutcome::Completed, true);
        harness.first_token(1000 + before + n, 0.4);
        harness.arrive(incoming_request(1001 + before + n, 0, 0, 30.0));
    }
    for n in 40..=before + 40 {
        harness.end_attempt(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    harness.handle(Event::ClientDisconnected(RequestId(1000 + before + 40)));
    let mut sent = 0;
    for n in 5000..5030 {
        sent += started_attempts(&harness.arrive(incoming_request(n, 0, 0, 30.0))).len() as u64;
    }
    assert!(sent >= before, "{before} then {sent}");
}

/// When replicas drain, the limit must shrink immediately: a router with few requests would learn too late from its answers
/// that there is less capacity.
#[test]
fn limit_follows_the_number_of_warm_replicas() {
    let mut harness = SchedulerHarness::new(settings(), 8);
    let before = harness.scheduler.gauges().concurrency_limit;
    harness.handle(Event::EndpointsChanged(
        (0..6)
            .map(|n| endpoint(n, EndpointState::Draining, None))
            .collect(),
    ));
    assert!(
        (harness.scheduler.gauges().concurrency_limit - before / 4.0).abs() < 1e-9,
        "{:?}",
        harness.scheduler.gauges()
    );
    harness.handle(Event::EndpointsChanged(
        (0..6)
            .map(|n| endpoint(n, EndpointState::Available, None))
            .collect(),
    ));
    assert!(
        (harness.scheduler.gauges().concurrency_limit - before).abs() < 1e-9,
        "{:?}",
        harness.scheduler.gauges()
    );
}

/// With many routers the limit of each router is too coarse: requests must not be queued while replicas report that they are
/// idle.
#[test]
fn idle_replica_is_used_beyond_a_small_limit() {
    for (tokens, more) in [(0.0, 1), (5_000.0, 0)] {
        let mut harness = SchedulerHarness::among_many_routers();
        // The limit of one router among a hundred is a single request.
        for replica in probed_replicas(&harness.arrive(incoming_request(1, 0, 0, 5.0))) {
            harness.report_load(replica, tokens, 0.1);
        }
        let mut sent = 0;
        for replica in probed_replicas(&harness.arrive(IncomingRequest {
            session: Some(7),
            ..incoming_request(2, 0, 0, 5.0)
        })) {
            sent += started_attempts(&harness.report_load(replica, tokens, 0.1)).len();
        }
        assert_eq!(sent, more, "{tokens} tokens queued");
    }
}
