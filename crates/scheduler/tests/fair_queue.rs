//! Tests of the fair queue: priority tiers, deficit round robin over tenants, earliest deadline first.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{AttemptOutcome, Event, IncomingRequest, RequestId};
use support::{answered_requests, incoming_request, settings, started_attempts, SchedulerHarness};

#[test]
fn dispatches_higher_priority_first() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let started = harness.fill_capacity();
    harness.arrive(incoming_request(1, 1, 0, 30.0));
    harness.arrive(incoming_request(2, 0, 0, 30.0));
    harness.handle(Event::ClientDisconnected(RequestId(1000 + started)));
    assert_eq!(
        started_attempts(&harness.end_attempt(1000, 0, AttemptOutcome::Completed, true))[0].request,
        2
    );
}

#[test]
fn gives_tenants_turns_regardless_of_their_backlogs() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let started = harness.fill_capacity();
    harness.handle(Event::ClientDisconnected(RequestId(1000 + started)));
    for n in 0..3 {
        harness.arrive(incoming_request(n, 1, 0, 30.0));
    }
    harness.arrive(incoming_request(10, 1, 1, 30.0));
    let mut order = vec![];
    for n in 0..started {
        order.extend(
            started_attempts(&harness.end_attempt(1000 + n, 0, AttemptOutcome::Completed, true))
                .iter()
                .map(|attempt| attempt.request),
        );
    }
    let position = order
        .iter()
        .position(|n| *n == 10)
        .expect("the second tenant is served");
    assert!(position <= 1, "order {order:?}");
}

#[test]
fn dispatches_earliest_deadline_of_a_tenant_first() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let started = harness.fill_capacity();
    harness.handle(Event::ClientDisconnected(RequestId(1000 + started)));
    harness.arrive(incoming_request(1, 1, 0, 30.0));
    harness.arrive(incoming_request(2, 1, 0, 20.0));
    assert_eq!(
        started_attempts(&harness.end_attempt(1000, 0, AttemptOutcome::Completed, true))[0].request,
        2
    );
}

#[test]
fn queues_requests_beyond_quota_behind_those_within() {
    let mut site = settings();
    site.tenants[0].rate_limit = 1.0;
    let mut harness = SchedulerHarness::new(site, 1);
    let started = harness.fill_capacity();
    harness.handle(Event::ClientDisconnected(RequestId(1000 + started)));
    harness.arrive(incoming_request(1, 1, 0, 30.0));
    harness.arrive(incoming_request(2, 1, 1, 30.0));
    assert_eq!(
        started_attempts(&harness.end_attempt(1000, 0, AttemptOutcome::Completed, true))[0].request,
        2
    );
}

/// Client-declared work affects the order of tenants. Missing, zero or implausible values must not starve another tenant.
#[test]
fn declared_work_affects_round_robin_within_bounds() {
    let light_dispatched = |light: Option<f64>, heavy: Option<f64>| {
        let mut site = settings();
        site.classes[0].ttft_objective = 500.0;
        let mut harness = SchedulerHarness::new(site, 1);
        harness.fill_capacity();
        for n in 0..40 {
            let (tenant, work) = if n % 2 == 0 { (0, light) } else { (1, heavy) };
            let request = IncomingRequest {
                expected_work: work,
                ..incoming_request(n, 0, tenant, 900.0)
            };
            assert!(answered_requests(&harness.arrive(request)).is_empty());
        }
        let mut sent = Vec::new();
        let mut n = 1000;
        while sent.len() < 15 && n < 1100 {
            sent.extend(started_attempts(&harness.end_attempt(
                n,
                0,
                AttemptOutcome::Cancelled,
                true,
            )));
            n += 1;
        }
        sent.iter()
            .filter(|attempt| attempt.request % 2 == 0)
            .count()
    };
    let (undeclared, declared) = (
        light_dispatched(None, None),
        light_dispatched(Some(0.5), Some(1.5)),
    );
    assert!(
        declared > undeclared + 1,
        "{undeclared} light requests of 15 without declared work, {declared} with it"
    );
    for implausible in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let light = light_dispatched(Some(1.0), Some(implausible));
        assert!((2..=13).contains(&light), "{implausible}: {light} of 15");
    }
}

#[test]
fn dispatch_work_counts_turns_and_placements() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let started = harness.fill_capacity();
    let before = harness.scheduler.dispatch_work();
    assert!(before.placements >= started, "{before:?}");
    assert!(before.queue_turns >= before.placements, "{before:?}");
    harness.handle(Event::ClientDisconnected(RequestId(1000 + started)));
    harness.arrive(incoming_request(1, 1, 0, 30.0));
    assert_eq!(
        harness.scheduler.dispatch_work(),
        before,
        "nothing has capacity"
    );
    harness.end_attempt(1000, 0, AttemptOutcome::Completed, true);
    let after = harness.scheduler.dispatch_work();
    assert_eq!(after.placements, before.placements + 1);
}

/// Guards against a node that stands still: requests of one client with huge stated lengths wait in the queue, and each
/// dispatch played as many rounds as their cost has quanta.
#[test]
fn requests_with_huge_lengths_do_not_lengthen_the_search_for_the_next_request() {
    for tokens in [1 << 30, 1 << 40, u64::MAX / 2] {
        let mut harness = SchedulerHarness::new(settings(), 1);
        let started = harness.fill_capacity();
        harness.handle(Event::ClientDisconnected(RequestId(1000 + started)));
        for number in 0..4 {
            let huge = IncomingRequest {
                prompt_tokens: tokens,
                max_output_tokens: tokens,
                ..incoming_request(number, 1, (number % 2) as usize, 30.0)
            };
            harness.arrive(huge);
        }
        // Later requests bring the mean cost, which is the quantum, back to a usual value.
        for number in 100..400 {
            harness.arrive(incoming_request(number, 0, 0, 30.0));
            harness.handle(Event::ClientDisconnected(RequestId(number)));
        }
        let before = harness.scheduler.dispatch_work();
        let mut dispatched = 0;
        for number in 0..started {
            let actions = harness.end_attempt(1000 + number, 0, AttemptOutcome::Completed, true);
            dispatched += started_attempts(&actions).len() as u64;
        }
        let after = harness.scheduler.dispatch_work();
        let tenants = settings().tenants.len() as u64;
        assert!(dispatched > 0, "lengths of {tokens} tokens");
        assert!(
            after.queue_turns - before.queue_turns
                <= (after.placements - before.placements) * tenants,
            "lengths of {tokens} tokens: {before:?}, {after:?}"
        );
    }
}

/// Guards against a sum of lengths that overflows: in the simulator's protocol a client may state up to 2^63 tokens for each.
/// The sum panicked, or in a release build wrapped to 0, so that the largest request was charged as the smallest.
#[test]
fn sum_of_huge_lengths_does_not_overflow() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let huge = IncomingRequest {
        prompt_tokens: 1 << 63,
        max_output_tokens: 1 << 63,
        ..incoming_request(1, 0, 0, 30.0)
    };
    let actions = harness.arrive(huge);
    assert_eq!(started_attempts(&actions).len(), 1);
    let learned = harness.scheduler.export_learned_state();
    assert!(learned.mean_request_cost >= 2f64.powi(63), "{learned:?}");
}
