//! Tests of the export and import of learned state.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    AttemptOutcome, Event, IncomingRequest, LearnedState, LoadReport, RequestId,
};
use support::{incoming_request, settings, started_attempts, SchedulerHarness};

const SESSIONS: u64 = 40;
const REPLICAS: usize = 8;
const FIRST_LATER_REQUEST: u64 = 1000;

fn turn(number: u64, session: u64) -> IncomingRequest {
    IncomingRequest {
        session: Some(session),
        ..incoming_request(number, 0, 0, 30.0)
    }
}

/// A router that has completed ten turns of each session.
fn experienced_router() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(settings(), REPLICAS);
    for number in 1..=10 * SESSIONS {
        let sent = started_attempts(&harness.arrive(turn(number, number % SESSIONS)));
        assert_eq!(sent.len(), 1);
        harness.now += 0.05;
        harness.first_token(number, 0.05);
        let report = LoadReport {
            cached_prompt_tokens: Some(700.0),
            ..LoadReport::default()
        };
        harness.handle(Event::AttemptEnded {
            request: RequestId(number),
            attempt: 0,
            outcome: AttemptOutcome::Completed,
            is_request_finished: true,
            report: Some(report),
        });
    }
    harness
}

/// The number of sessions that a new router sends to the replica of their previous turn, and the router's concurrency limit
/// afterwards.
fn sessions_continued(learned: &LearnedState, imports: bool) -> (usize, f64) {
    let mut harness = SchedulerHarness::new(settings(), REPLICAS);
    if imports {
        harness.scheduler.import_learned_state(learned);
    }
    let mut continued = 0;
    for (number, record) in (FIRST_LATER_REQUEST..).zip(&learned.sessions) {
        let sent = started_attempts(&harness.arrive(turn(number, record.session)));
        harness.end_attempt(number, 0, AttemptOutcome::Completed, true);
        let previous = record.replica;
        continued += usize::from(sent.first().is_some_and(|sent| sent.replica.0 == previous));
    }
    (continued, harness.scheduler.gauges().concurrency_limit)
}

#[test]
fn router_with_imported_state_continues_sessions_and_limit() {
    let harness = experienced_router();
    let learned = harness.scheduler.export_learned_state();
    assert!(learned.is_plausible(), "{learned:?}");
    assert_eq!(learned.sessions.len(), SESSIONS as usize);
    let (with, limit) = sessions_continued(&learned, true);
    let (without, _) = sessions_continued(&learned, false);
    assert!(with >= 36 && without < 30, "{with} with, {without} without");
    let before = harness.scheduler.gauges().concurrency_limit;
    assert!((limit - before).abs() < 60.0, "{limit} after {before}");
}
