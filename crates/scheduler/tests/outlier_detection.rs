//! Tests of ejection, trials, unresponsive replicas, panic mode and removed replicas.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{Action, AttemptOutcome, EndpointState, Event, RequestId, Scheduler};
use support::{
    available_endpoints, endpoint, incoming_request, replica_id, settings, started_attempts,
    SchedulerHarness, StartedAttempt,
};

/// First tokens must not reset the failures of a replica whose streams never complete.
#[test]
fn ejects_replica_after_consecutive_broken_streams_until_one_completes() {
    for outcome in [AttemptOutcome::TimedOut, AttemptOutcome::ConnectionReset] {
        let mut harness = SchedulerHarness::new(settings(), 3);
        let mut sent = [[0; 3]; 2];
        for n in 0..800 {
            let actions = harness.arrive(incoming_request(n, 0, 0, 5.0));
            let to = actions.iter().find_map(|action| match action {
                Action::StartAttempt { replica, .. } => Some(*replica),
                _ => None,
            });
            let to = (0..3)
                .find(|number| Some(replica_id(*number)) == to)
                .unwrap();
            // Replica 0 sends first tokens like the others; its streams complete only in the second half.
            let half = usize::from(n >= 400);
            sent[half][to] += 1;
            harness.handle(Event::FirstToken {
                request: RequestId(n),
                attempt: 0,
                elapsed: 0.01,
            });
            let completes = to != 0 || half == 1;
            harness.end_attempt(
                n,
                0,
                if completes {
                    AttemptOutcome::Completed
                } else {
                    outcome
                },
                true,
            );
            harness.advance(0.02);
        }
        // Three attempts, then trials after pauses of 0.7, 1.4 and 2.8 s within the 8 s of the first half.
        assert!((5..=7).contains(&sent[0][0]), "{outcome:?}: {sent:?}");
        assert!(sent[1][0] > 50, "{outcome:?}: {sent:?}");
    }
}

/// A single fault that breaks all streams of a replica at once must count as one broken stream.
#[test]
fn counts_streams_that_break_together_once() {
    let mut harness = SchedulerHarness::new(settings(), 3);
    let mut at_first = Vec::new();
    for n in 0..24 {
        let actions = harness.arrive(incoming_request(n, 0, 0, 5.0));
        harness.handle(Event::FirstToken {
            request: RequestId(n),
            attempt: 0,
            elapsed: 0.01,
        });
        if started_attempts(&actions)
            .iter()
            .any(|attempt| attempt.replica == replica_id(0))
        {
            at_first.push(n);
        }
    }
    assert!(at_first.len() > 2, "{at_first:?}");
    for n in 0..24 {
        harness.end_attempt(
            n,
            0,
            if at_first.contains(&n) {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::Completed
            },
            true,
        );
    }
    let mut attempts = 0;
    for n in 100..130 {
        let actions = harness.arrive(incoming_request(n, 0, 0, 5.0));
        attempts += started_attempts(&actions)
            .iter()
            .filter(|attempt| attempt.replica == replica_id(0))
            .count();
        harness.handle(Event::FirstToken {
            request: RequestId(n),
            attempt: 0,
            elapsed: 0.01,
        });
        harness.end_attempt(n, 0, AttemptOutcome::Completed, true);
    }
    assert!(attempts > 3, "{attempts} of 30 were sent to the replica");
}

/// A replica that fails immediately always has capacity; it must not attract every queued request.
#[test]
fn ejects_replica_that_fails_immediately_and_retries_it_later() {
    let mut harness = SchedulerHarness::new(settings(), 3);
    let mut at_failing_replica = 0;
    for n in 0..60 {
        let mut sent = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
        let mut attempt = 0;
        while let Some(StartedAttempt {
            request: id,
            replica: to,
        }) = sent.pop()
        {
            if to == replica_id(0) {
                at_failing_replica += 1;
                sent = started_attempts(&harness.end_attempt(
                    id,
                    attempt,
                    AttemptOutcome::ServerError,
                    false,
                ));
                attempt += 1;
            } else {
                harness.handle(Event::FirstToken {
                    request: RequestId(id),
                    attempt,
                    elapsed: 0.05,
                });
                harness.end_attempt(id, attempt, AttemptOutcome::Completed, true);
            }
        }
        harness.advance(0.1);
    }
    assert!(
        (3..=12).contains(&at_failing_replica),
        "{at_failing_replica} attempts at the failing replica"
    );
}

/// Requests must not stay at a replica that does not respond at all.
#[test]
fn moves_requests_away_from_unresponsive_replica_while_time_is_left() {
    let mut site = settings();
    site.classes[0].late_weight = 0.5;
    let mut harness = SchedulerHarness::new(site, 3);
    let first = started_attempts(&harness.arrive(incoming_request(1, 0, 0, 8.0)))[0].replica;
    let actions = harness.advance(1.3);
    assert!(
        actions.contains(&Action::CancelAttempt {
            request: RequestId(1),
            attempt: 0
        }),
        "{actions:?}"
    );
    let retries = started_attempts(&harness.end_attempt(1, 0, AttemptOutcome::Cancelled, false));
    assert!(
        retries.len() == 1 && retries[0].replica != first,
        "{retries:?}"
    );
}

/// Panic mode: a fault that all replicas share must not eject the whole fleet.
#[test]
fn still_uses_replicas_when_all_fail() {
    let mut harness = SchedulerHarness::new(settings(), 3);
    let mut attempts = 0;
    for n in 0..40 {
        let mut sent = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
        let mut attempt = 0;
        while let Some(StartedAttempt { request: id, .. }) = sent.pop() {
            attempts += usize::from(n >= 20);
            sent = started_attempts(&harness.end_attempt(
                id,
                attempt,
                AttemptOutcome::ServerError,
                false,
            ));
            attempt += 1;
        }
        harness.advance(0.1);
    }
    assert!(attempts >= 20, "{attempts} attempts in the second half");
}

/// A replica that has stopped responding must not get as many requests as the others until the TTFT objective has passed:
/// once its first attempt is overdue, other replicas are preferred.
#[test]
fn prefers_others_to_a_replica_with_an_overdue_attempt() {
    let mut site = settings();
    site.classes[0].ttft_objective = 4.0;
    site.limits.allows_probes = false;
    let (mut at_hung_replica, mut sent) = (0, 0);
    for seed in 0..10 {
        let mut harness = SchedulerHarness::new(site.clone(), 4);
        harness.scheduler = Scheduler::new(site.clone(), seed).unwrap();
        harness.handle(Event::EndpointsReplaced(available_endpoints(4)));
        let mut hung = None;
        for n in 0..60 {
            let Some(StartedAttempt {
                request: id,
                replica: to,
            }) = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 9.0)))
                .first()
                .copied()
            else {
                continue;
            };
            hung = hung.or((n >= 20).then_some(to));
            let counted = n >= 40;
            (sent, at_hung_replica) = (
                sent + u32::from(counted),
                at_hung_replica + u32::from(counted && hung == Some(to)),
            );
            if hung != Some(to) {
                harness.complete_with_cached_tokens(id, 0.0);
            }
            harness.advance(0.06);
        }
    }
    assert!(
        sent >= 190 && at_hung_replica * 20 <= sent,
        "{at_hung_replica} of {sent} attempts at the hung replica, one of four"
    );
}

#[test]
fn sends_nothing_to_draining_and_removed_replicas() {
    let mut harness = SchedulerHarness::new(settings(), 2);
    harness.handle(Event::EndpointsChanged(vec![endpoint(
        0,
        EndpointState::Draining,
        None,
    )]));
    for n in 0..4 {
        let to = started_attempts(&harness.arrive(incoming_request(n, 1, 0, 5.0)));
        assert!(
            to.iter().all(|attempt| attempt.replica == replica_id(1)),
            "{to:?}"
        );
    }
    harness.handle(Event::EndpointsReplaced(vec![endpoint(
        0,
        EndpointState::Available,
        None,
    )]));
    let to = started_attempts(&harness.arrive(incoming_request(9, 1, 0, 5.0)));
    assert!(
        to.iter().all(|attempt| attempt.replica == replica_id(0)),
        "{to:?}"
    );
}

#[test]
fn deletes_removed_replicas_without_attempts_in_flight() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    assert_eq!(
        started_attempts(&harness.arrive(incoming_request(1, 1, 0, 5.0))).len(),
        1
    );
    for n in 0..50 {
        harness.handle(Event::EndpointsChanged(vec![
            endpoint(n, EndpointState::Removed, None),
            endpoint(n + 1, EndpointState::Available, None),
        ]));
    }
    // The first replica still has an attempt in flight.
    assert_eq!(harness.scheduler.gauges().replica_count, 2);
    harness.end_attempt(1, 0, AttemptOutcome::Completed, true);
    harness.handle(Event::EndpointsReplaced(vec![endpoint(
        50,
        EndpointState::Available,
        None,
    )]));
    assert_eq!(harness.scheduler.gauges().replica_count, 1);
}
