//! Early rejection, expiry in the queue, and the end of requests.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, AttemptOutcome, Event, IncomingRequest, RequestId, Scheduler, SchedulerSettings,
};
use support::{answered_requests, incoming_request, settings, started_attempts, SchedulerHarness};

#[test]
fn rejects_nothing_while_a_replica_has_capacity() {
    let mut harness = SchedulerHarness::new(settings(), 3);
    for n in 0..12 {
        let actions = harness.arrive(incoming_request(n, 1, 0, 5.0));
        assert!(
            answered_requests(&actions).is_empty() && started_attempts(&actions).len() == 1,
            "request {n}: {actions:?}"
        );
    }
}

#[test]
fn rejects_requests_that_would_wait_past_their_objective_with_bounded_retry_after() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.fill_capacity();
    let mut refused = None;
    for n in 0..400 {
        let actions = harness.arrive(incoming_request(n, 1, 0, 5.0));
        if let Some(Action::Reject { retry_after, .. }) = actions.first() {
            refused = Some(*retry_after);
            break;
        }
    }
    let advice = refused.expect("a refusal");
    assert!(advice > 1.0 && advice <= 2.0, "{advice}");
}

#[test]
fn rejects_queued_requests_before_their_deadline() {
    let mut harness = SchedulerHarness::new(settings(), 0);
    harness.arrive(incoming_request(1, 1, 0, 0.5));
    let early = answered_requests(&harness.advance(0.4));
    let late = answered_requests(&harness.advance(0.1));
    assert_eq!((early.len(), late), (0, vec![1]));
}

/// Otherwise a request would be lost between two timers.
#[test]
fn answers_requests_with_less_than_a_timer_interval_left_at_once() {
    let mut harness = SchedulerHarness::new(settings(), 0);
    let actions = harness.arrive(incoming_request(1, 1, 0, 0.008));
    assert_eq!(answered_requests(&actions), vec![1]);
}

/// Capacity must not be spent on queued requests whose first token can no longer come in time.
#[test]
fn gives_up_queued_requests_that_cannot_have_their_first_token_in_time() {
    let mut given_up = Vec::new();
    for first in [0.01, 0.5] {
        let mut harness = SchedulerHarness::new(settings(), 1);
        for n in 0..80 {
            harness.arrive(incoming_request(n, 0, 0, 5.0));
            harness.handle(Event::FirstToken {
                request: RequestId(n),
                attempt: 0,
                elapsed: first,
            });
            harness.end_attempt(n, 0, AttemptOutcome::Completed, true);
        }
        harness.fill_capacity();
        harness.arrive(incoming_request(1, 0, 0, 5.0));
        let start = harness.now;
        while !harness
            .last_actions
            .iter()
            .any(|action| matches!(action, Action::Reject { .. }))
            && harness.now < start + 5.0
        {
            harness.advance(0.02);
        }
        given_up.push(harness.now - start);
    }
    assert!(given_up[0] > 0.9 && given_up[0] < 1.04, "{given_up:?}");
    assert!(given_up[1] > 0.4 && given_up[1] < 0.7, "{given_up:?}");
}

#[test]
fn frees_the_slot_of_a_late_outcome_without_another_attempt() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let out = harness.fill_capacity();
    harness.handle(Event::ClientDisconnected(RequestId(1000)));
    assert!(
        answered_requests(&harness.end_attempt(1000, 0, AttemptOutcome::TimedOut, true)).is_empty()
    );
    assert!(
        out >= 1
            && harness
                .end_attempt(1000, 0, AttemptOutcome::TimedOut, true)
                .is_empty()
    );
}

fn remove_quotas(site: &mut SchedulerSettings) {
    for tenant in &mut site.tenants {
        tenant.quota = 0.0;
    }
}

#[test]
fn rejects_illegal_settings() {
    let spoil: [fn(&mut SchedulerSettings); 5] = [
        |site| site.classes.clear(),
        |site| site.router_count = 0,
        |site| site.limits.max_attempts = 0,
        |site| site.lifecycle.slow_start_duration = f64::NAN,
        remove_quotas,
    ];
    for (n, spoil) in spoil.iter().enumerate() {
        let mut site = settings();
        spoil(&mut site);
        assert!(Scheduler::new(site, 0).is_err(), "case {n}");
    }
}

#[test]
fn ignores_events_about_unknown_requests_and_odd_times() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let odd = IncomingRequest {
        class: 99,
        ..incoming_request(1, 0, 0, 5.0)
    };
    assert_eq!(answered_requests(&harness.arrive(odd)), vec![1]);
    let nan = IncomingRequest {
        time_left: f64::NAN,
        tenant: 77,
        ..incoming_request(2, 0, 0, 0.0)
    };
    harness.arrive(nan);
    assert!(harness
        .end_attempt(55, 3, AttemptOutcome::Completed, true)
        .is_empty());
    harness.now = f64::NAN;
    assert!(harness
        .handle(Event::ClientDisconnected(RequestId(55)))
        .is_empty());
}
