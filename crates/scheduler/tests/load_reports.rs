//! Tests of load reports: when replicas are probed for them, and how they affect placement.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    AttemptOutcome, Event, IncomingRequest, LoadReportSource, SchedulerSettings,
};
use support::{
    held_requests_report, incoming_request, probed_replicas, replica_id, settings,
    started_attempts, SchedulerHarness, StartedAttempt,
};

/// If the affinity replica reports many queued tokens, the request is sent to the next replica in the session's order.
#[test]
fn probes_candidates_before_an_attempt_and_uses_their_reports() {
    let mut at_next_replica = 0;
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
        let probed = probed_replicas(&actions);
        assert_eq!(
            (probed.len(), started_attempts(&actions).len()),
            (2, 0),
            "{actions:?}"
        );
        harness
            .scheduler
            .handle_event(harness.now, Event::EndpointsChanged(vec![]), &mut vec![]);
        let mut sent = started_attempts(&harness.report_load(probed[0], 60_000.0, 0.1));
        sent.extend(started_attempts(&harness.report_load(probed[1], 0.0, 0.1)));
        assert_eq!(sent.len(), 1);
        at_next_replica += usize::from(sent[0].replica != probed[0]);
    }
    assert!(
        at_next_replica >= 18,
        "{at_next_replica} of 20 were sent to the next replica"
    );
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
        "an unanswered probe delays an attempt by one timer interval"
    );
}

/// Impossible numbers in a report must not move sessions away from their affinity replica.
#[test]
fn ignores_impossible_reports() {
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
            let affinity_replica = probed_replicas(&actions).first().copied();
            for probed in probed_replicas(&actions) {
                actions.extend(harness.report_load(
                    probed,
                    if Some(probed) == affinity_replica {
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

/// With many routers a replica's last report may be a minute old, so placement must not use it.
#[test]
fn probes_both_candidates_if_feedback_is_sparse() {
    for (queued_tokens, memory) in [(20_000.0, 0.1), (0.0, 0.9)] {
        let mut to_less_loaded = 0;
        for n in 0..40 {
            let mut harness = SchedulerHarness::among_many_routers();
            let probed = probed_replicas(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
            assert_eq!(
                (probed.len(), started_attempts(&harness.last_actions).len()),
                (2, 0)
            );
            assert_eq!(
                started_attempts(&harness.report_load(probed[1], 0.0, 0.1)),
                [],
                "the request waits for both answers"
            );
            let sent = started_attempts(&harness.report_load(probed[0], queued_tokens, memory));
            assert_eq!(sent.len(), 1);
            to_less_loaded += usize::from(sent[0].replica == probed[1]);
            // Replicas with recent reports are not probed again.
            assert!(
                probed_replicas(&harness.arrive(incoming_request(1000 + n, 0, 0, 5.0)))
                    .iter()
                    .all(|replica| !probed.contains(replica))
            );
        }
        assert!(
            to_less_loaded >= 36,
            "{to_less_loaded} of 40 were sent to the less loaded replica"
        );
    }
}

/// Requests must not wait for the probe of an unresponsive replica.
#[test]
fn unanswered_probe_does_not_block_a_request() {
    for n in 0..20 {
        let mut harness = SchedulerHarness::among_many_routers();
        let probed = probed_replicas(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
        harness.report_load(probed[1], 0.0, 0.1);
        assert_eq!(
            started_attempts(&harness.advance(0.03)),
            [StartedAttempt {
                request: n,
                replica: probed[1]
            }]
        );
    }
}

/// With few routers, each of them gets enough load reports with its answers, so probes would be an unnecessary cost.
#[test]
fn sends_no_probes_if_feedback_is_dense() {
    let mut harness = SchedulerHarness::new(
        SchedulerSettings {
            router_count: 4,
            ..settings()
        },
        12,
    );
    assert_eq!(
        probed_replicas(&harness.arrive(incoming_request(1, 0, 0, 5.0))),
        []
    );
}

/// A request that is sent to a replica with a full batch waits there until an answer ends, even if no prompt tokens are
/// queued.
#[test]
fn avoids_replica_with_queued_requests() {
    let mut at_next_replica = 0;
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
        let probed = probed_replicas(&harness.arrive(turn));
        let mut sent =
            started_attempts(&harness.handle(held_requests_report(probed[0], None, 12.0)));
        sent.extend(started_attempts(
            &harness.handle(held_requests_report(probed[1], None, 0.0)),
        ));
        assert_eq!(sent.len(), 1);
        at_next_replica += usize::from(sent[0].replica != probed[0]);
    }
    assert!(
        at_next_replica >= 18,
        "{at_next_replica} of 20 were sent to the replica without a queue"
    );
}

/// Two replicas with a batch size of 2 have reported one request each. An attempt that this router sends to one of them
/// after the report fills that replica's batch.
#[test]
fn counts_own_attempts_since_the_report_against_the_batch() {
    let mut at_other_replica = 0;
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
        at_other_replica +=
            usize::from(started_attempts(&harness.arrive(turn(2)))[0].replica != first[0].replica);
    }
    assert!(
        at_other_replica >= 36,
        "{at_other_replica} of 40 avoided the full batch"
    );
}

/// If reports do not contain the requests held, a reported queue at a replica with few requests shows that its batch is
/// small. Requests must then be spread evenly.
#[test]
fn infers_batch_size_from_a_reported_queue() {
    let evenly_spread = |queued: f64| {
        let mut even_runs = 0;
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
            let at_first_replica = sent
                .iter()
                .filter(|attempt| attempt.replica == replica_id(0))
                .count();
            even_runs += usize::from(sent.len() == 6 && at_first_replica == 3);
        }
        even_runs
    };
    let (small, unknown) = (evenly_spread(1.0), evenly_spread(0.0));
    assert!(
        small >= 12 && small > unknown + 4,
        "{small} of 20 spread evenly with a batch of 2, {unknown} with an unknown batch size"
    );
}
