//! Tests of early rejection, expiry in the queue, and invalid settings and events.

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
    let mut rejected_with = None;
    for n in 0..400 {
        let actions = harness.arrive(incoming_request(n, 1, 0, 5.0));
        if let Some(Action::Reject { retry_after, .. }) = actions.first() {
            rejected_with = Some(*retry_after);
            break;
        }
    }
    let retry_after = rejected_with.expect("a request is rejected");
    assert!(retry_after > 1.0 && retry_after <= 2.0, "{retry_after}");
}

#[test]
fn rejects_queued_requests_before_their_deadline() {
    let mut harness = SchedulerHarness::new(settings(), 0);
    harness.arrive(incoming_request(1, 1, 0, 0.5));
    let early = answered_requests(&harness.advance(0.4));
    let late = answered_requests(&harness.advance(0.1));
    assert_eq!((early.len(), late), (0, vec![1]));
}

/// Guards against requests that expire between two timer events and get no answer.
#[test]
fn answers_requests_with_less_than_a_timer_interval_left_immediately() {
    let mut harness = SchedulerHarness::new(settings(), 0);
    let actions = harness.arrive(incoming_request(1, 1, 0, 0.008));
    assert_eq!(answered_requests(&actions), vec![1]);
}

/// Guards against capacity being used for queued requests whose first token can no longer arrive in time.
#[test]
fn rejects_queued_requests_whose_first_token_would_be_late() {
    let mut rejected_after = Vec::new();
    for time_to_first_token in [0.01, 0.5] {
        let mut harness = SchedulerHarness::new(settings(), 1);
        for n in 0..80 {
            harness.arrive(incoming_request(n, 0, 0, 5.0));
            harness.handle(Event::FirstToken {
                request: RequestId(n),
                attempt: 0,
                elapsed: time_to_first_token,
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
        rejected_after.push(harness.now - start);
    }
    assert!(
        rejected_after[0] > 0.9 && rejected_after[0] < 1.04,
        "{rejected_after:?}"
    );
    assert!(
        rejected_after[1] > 0.4 && rejected_after[1] < 0.7,
        "{rejected_after:?}"
    );
}

#[test]
fn late_or_repeated_end_of_an_attempt_gives_no_answer() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let started = harness.fill_capacity();
    harness.handle(Event::ClientDisconnected(RequestId(1000)));
    assert!(
        answered_requests(&harness.end_attempt(1000, 0, AttemptOutcome::TimedOut, true)).is_empty()
    );
    assert!(
        started >= 1
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
fn rejects_invalid_settings() {
    let invalidations: [fn(&mut SchedulerSettings); 5] = [
        |site| site.classes.clear(),
        |site| site.router_count = 0,
        |site| site.limits.max_attempts = 0,
        |site| site.lifecycle.slow_start_duration = f64::NAN,
        remove_quotas,
    ];
    for (n, invalidate) in invalidations.iter().enumerate() {
        let mut site = settings();
        invalidate(&mut site);
        assert!(Scheduler::new(site, 0).is_err(), "case {n}");
    }
}

#[test]
fn ignores_events_about_unknown_requests_and_invalid_numbers() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let unknown_class = IncomingRequest {
        class: 99,
        ..incoming_request(1, 0, 0, 5.0)
    };
    assert_eq!(answered_requests(&harness.arrive(unknown_class)), vec![1]);
    let invalid_time_left = IncomingRequest {
        time_left: f64::NAN,
        tenant: 77,
        ..incoming_request(2, 0, 0, 0.0)
    };
    harness.arrive(invalid_time_left);
    assert!(harness
        .end_attempt(55, 3, AttemptOutcome::Completed, true)
        .is_empty());
    harness.now = f64::NAN;
    assert!(harness
        .handle(Event::ClientDisconnected(RequestId(55)))
        .is_empty());
}
