//! Load reports: when replicas are probed for them, and how they steer placement.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    AttemptOutcome, Event, IncomingRequest, LoadReportSource, SchedulerSettings,
};
use support::{
    held_requests_report, incoming_request, probes, replica_id, settings, started_attempts,
    SchedulerHarness, StartedAttempt,
};

/// A session leaves an affinity replica with much to read for the next replica in its order.
#[test]
fn probes_for_load_reports_before_an_attempt_and_follows_them() {
    let mut away = 0;
    for session in 0..20 {
        let mut harness = SchedulerHarness::new(
            SchedulerSettings {
                load_report_source: LoadReportSource::Probes,
                ..settings()
            },
            8,
        );
        let turn = IncomingRequest {
            session: Some(session),
            ..incoming_request(1, 0, 0, 5.0)
        };
        let actions = harness.arrive(turn);
        let asked = probes(&actions);
        assert_eq!(
            (asked.len(), started_attempts(&actions).len()),
            (2, 0),
            "{actions:?}"
        );
        harness
            .scheduler
            .handle_event(harness.now, Event::EndpointsChanged(vec![]), &mut vec![]);
        let mut sent = started_attempts(&harness.report_load(asked[0], 60_000.0, 0.1));
        sent.extend(started_attempts(&harness.report_load(asked[1], 0.0, 0.1)));
        assert_eq!(sent.len(), 1);
        away += usize::from(sent[0].replica != asked[0]);
    }
    assert!(away >= 18, "{away} of 20");
    let mut harness = SchedulerHarness::new(
        SchedulerSettings {
            load_report_source: LoadReportSource::Probes,
            ..settings()
        },
        8,
    );
    harness.arrive(incoming_request(1, 0, 0, 5.0));
    assert_eq!(
        started_attempts(&harness.advance(0.02)).len(),
        1,
        "an unanswered probe delays nothing for long"
    );
}

/// Such a report must not turn sessions away from their affinity replica.
#[test]
fn ignores_reports_that_cannot_be_true() {
    for tokens in [f64::NAN, f64::INFINITY, 1e300, -1e300] {
        let mut harness = SchedulerHarness::new(
            SchedulerSettings {
                load_report_source: LoadReportSource::Probes,
                ..settings()
            },
            8,
        );
        for n in 0..20 {
            let turn = IncomingRequest {
                prompt_tokens: 9000,
                ..incoming_request(n, 0, 0, 5.0)
            };
            let mut actions = harness.arrive(turn);
            let affinity_replica = probes(&actions).first().copied();
            for asked in probes(&actions) {
                actions.extend(harness.report_load(
                    asked,
                    if Some(asked) == affinity_replica {
                        tokens
                    } else {
                        2000.0
                    },
                    0.1,
                ));
            }
            actions.extend(harness.advance(0.02));
            assert_eq!(
                started_attempts(&actions)
                    .iter()
                    .map(|attempt| Some(attempt.replica))
                    .collect::<Vec<_>>(),
                [affinity_replica],
                "{tokens}"
            );
            harness.end_attempt(n, 0, AttemptOutcome::Cancelled, true);
            harness.now += 2.0;
        }
    }
}

/// Among many routers the last report of a replica is a minute old: placement must not rest on it.
#[test]
fn probes_both_candidates_where_feedback_is_sparse() {
    for (full, memory) in [(20_000.0, 0.1), (0.0, 0.9)] {
        let mut passed_over = 0;
        for n in 0..40 {
            let mut harness = SchedulerHarness::among_many_routers();
            let to = probes(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
            assert_eq!(
                (to.len(), started_attempts(&harness.last_actions).len()),
                (2, 0)
            );
            assert_eq!(
                started_attempts(&harness.report_load(to[1], 0.0, 0.1)),
                [],
                "the request waits for both answers"
            );
            let sent = started_attempts(&harness.report_load(to[0], full, memory));
            assert_eq!(sent.len(), 1);
            passed_over += usize::from(sent[0].replica == to[1]);
            // Replicas that have just reported are not probed again.
            assert!(
                probes(&harness.arrive(incoming_request(1000 + n, 0, 0, 5.0)))
                    .iter()
                    .all(|replica| !to.contains(replica))
            );
        }
        assert!(
            passed_over >= 36,
            "{passed_over} of 40 went to the emptier replica"
        );
    }
}

/// Requests must not wait for the answer of a replica that does not respond.
#[test]
fn unanswered_probe_delays_nothing() {
    for n in 0..20 {
        let mut harness = SchedulerHarness::among_many_routers();
        let to = probes(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
        harness.report_load(to[1], 0.0, 0.1);
        assert_eq!(
            started_attempts(&harness.advance(0.03)),
            [StartedAttempt {
                request: n,
                replica: to[1]
            }]
        );
    }
}

/// Small fleets must not pay for probes that they do not need: their reports come with every answer.
#[test]
fn sends_no_probes_where_feedback_is_dense() {
    let mut harness = SchedulerHarness::new(
        SchedulerSettings {
            router_count: 4,
            ..settings()
        },
        12,
    );
    assert_eq!(probes(&harness.arrive(incoming_request(1, 0, 0, 5.0))), []);
}

/// Where batches are small, a request sent to a replica whose batch is full waits there for a whole answer, though nothing
/// is left to read.
#[test]
fn passes_over_replica_with_queued_requests() {
    let mut away = 0;
    for session in 0..20 {
        let mut harness = SchedulerHarness::new(
            SchedulerSettings {
                load_report_source: LoadReportSource::Probes,
                ..settings()
            },
            8,
        );
        let turn = IncomingRequest {
            session: Some(session),
            ..incoming_request(1, 0, 0, 5.0)
        };
        let asked = probes(&harness.arrive(turn));
        let mut sent =
            started_attempts(&harness.handle(held_requests_report(asked[0], None, 12.0)));
        sent.extend(started_attempts(
            &harness.handle(held_requests_report(asked[1], None, 0.0)),
        ));
        assert_eq!(sent.len(), 1);
        away += usize::from(sent[0].replica != asked[0]);
    }
    assert!(
        away >= 18,
        "{away} of 20 went to the replica without a queue"
    );
}

/// Two replicas with batches of 2 reported one request each; what this router sent to one of them since then fills it.
#[test]
fn counts_own_attempts_since_the_report_against_the_batch() {
    let mut away = 0;
    for session in 0..40 {
        let mut harness = SchedulerHarness::new(settings(), 2);
        for n in [0, 1] {
            harness.handle(held_requests_report(replica_id(n), Some(3.0), 1.0));
            harness.handle(held_requests_report(replica_id(n), Some(1.0), 0.0));
        }
        let turn = |n| IncomingRequest {
            session: Some(100 * n + session),
            ..incoming_request(n, 0, 0, 5.0)
        };
        let first = started_attempts(&harness.arrive(turn(1)));
        away +=
            usize::from(started_attempts(&harness.arrive(turn(2)))[0].replica != first[0].replica);
    }
    assert!(away >= 36, "{away} of 40 passed over the full batch");
}

/// Where reports do not say what a replica holds, a queue while it held few requests shows a small batch, and requests then
/// spread over replicas with capacity.
#[test]
fn learns_batch_size_from_a_reported_queue() {
    let second_elsewhere = |queued: f64| {
        let mut elsewhere = 0;
        for session in 0..20 {
            let mut harness = SchedulerHarness::new(settings(), 2);
            let turn = |n: u64| IncomingRequest {
                session: Some(100 * n + session),
                ..incoming_request(n, 0, 0, 5.0)
            };
            for n in 10..30 {
                harness.arrive(turn(n));
                harness.handle(held_requests_report(
                    replica_id(n as usize % 2),
                    None,
                    queued,
                ));
                harness.end_attempt(n, 0, AttemptOutcome::Cancelled, true);
            }
            let reports = [
                held_requests_report(replica_id(0), None, 0.0),
                held_requests_report(replica_id(1), None, 0.0),
            ];
            reports
                .into_iter()
                .for_each(|report| drop(harness.handle(report)));
            let sent: Vec<_> = (1..=6)
                .flat_map(|n| started_attempts(&harness.arrive(turn(n))))
                .collect();
            let first = sent
                .iter()
                .filter(|attempt| attempt.replica == replica_id(0))
                .count();
            elsewhere += usize::from(sent.len() == 6 && first == 3);
        }
        elsewhere
    };
    let (small, unknown) = (second_elsewhere(1.0), second_elsewhere(0.0));
    assert!(
        small >= 12 && small > unknown + 4,
        "{small} of 20 evenly with a batch of 2, {unknown} with none shown"
    );
}
