//! The concurrency limit: its start, growth, cuts and its parts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    AttemptOutcome, EndpointState, Event, IncomingRequest, RequestId, SchedulerSettings,
};
use support::{endpoint, incoming_request, probes, settings, started_attempts, SchedulerHarness};

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

/// Otherwise the limit never grows where answers do not stream.
#[test]
fn limit_grows_on_answers_without_streams() {
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

/// The limits of many routers must not add up to more than a replica can hold.
#[test]
fn routers_share_what_a_replica_may_hold() {
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

/// One late replica must not take the capacity of all: cuts are shallow, and growth makes up for them.
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

/// An even part of a quota below one request a second must not reject requests within the quota.
#[test]
fn small_part_of_a_quota_covers_requests_that_come_together() {
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

/// Requests beyond a quota leave the rest of the limit to requests that other routers may have queued.
#[test]
fn requests_beyond_quota_use_a_part_of_the_limit() {
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
    // Broken streams cut the limit as timeouts and replicas at capacity do.
    let room_after = |outcome| {
        let mut harness = SchedulerHarness::new(settings(), 1);
        for id in 1..=60 {
            harness.arrive(incoming_request(id, 0, 0, 30.0));
            harness.first_token(id, 0.2);
            harness.end_attempt(id, 0, outcome, true);
        }
        harness.advance(0.8);
        harness.fill_capacity()
    };
    assert!(room_after(AttemptOutcome::ConnectionReset) < room_after(AttemptOutcome::Completed));
}

#[test]
fn limit_does_not_shrink_while_requests_wait_longer_in_the_router() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let before = harness.fill_capacity();
    for n in 0..before {
        harness.first_token(1000 + n, 0.2);
    }
    for n in 0..40 {
        // The next one has been queued for longer than its first token then takes.
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

/// Routers must not learn of a change too late: replicas that leave take their part of the limit along.
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

/// Requests must not be queued by a limit too coarse for a router's few requests while replicas are idle.
#[test]
fn idle_replica_is_used_beside_a_small_limit() {
    for (tokens, more) in [(0.0, 1), (5_000.0, 0)] {
        let mut harness = SchedulerHarness::among_many_routers();
        // The limit of one router among a hundred is a single request.
        for replica in probes(&harness.arrive(incoming_request(1, 0, 0, 5.0))) {
            harness.report_load(replica, tokens, 0.1);
        }
        let mut sent = 0;
        for replica in probes(&harness.arrive(IncomingRequest {
            session: Some(7),
            ..incoming_request(2, 0, 0, 5.0)
        })) {
            sent += started_attempts(&harness.report_load(replica, tokens, 0.1)).len();
        }
        assert_eq!(sent, more, "{tokens} tokens queued");
    }
}
