//! Tests of attempts while the endpoint list may be outdated: each attempt needs evidence, which is a recent successful
//! probe of its replica.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, AttemptOutcome, EndpointListStatus, Event, ReplicaId, RequestId, SchedulerSettings,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{
    answered_requests, incoming_request, probed_replicas, settings, started_attempts,
    SchedulerHarness, TIMER_INTERVAL,
};

const REPLICAS: usize = 4;

fn harness_with(settings: SchedulerSettings, status: EndpointListStatus) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(settings, REPLICAS);
    harness.handle(Event::EndpointListStatusChanged(status));
    harness
}

fn unconfirmed() -> SchedulerHarness {
    harness_with(settings(), EndpointListStatus::Unconfirmed)
}

fn arrive(harness: &mut SchedulerHarness, number: u64) -> Vec<Action> {
    harness.handle(Event::RequestArrived(incoming_request(number, 0, 0, 5.0)));
    harness.last_actions.clone()
}

fn end_probe(
    harness: &mut SchedulerHarness,
    replica: ReplicaId,
    outcome: AttemptOutcome,
) -> Vec<Action> {
    harness.handle(Event::ProbeEnded {
        replica,
        outcome,
        report: None,
    });
    harness.last_actions.clone()
}

#[test]
fn request_waits_for_the_probe_of_its_replica() {
    let mut harness = unconfirmed();
    let actions = arrive(&mut harness, 1);
    assert_eq!(started_attempts(&actions), []);
    let probed = probed_replicas(&actions);
    assert_eq!(probed.len(), 1);
    let actions = end_probe(&mut harness, probed[0], AttemptOutcome::Completed);
    let started = started_attempts(&actions);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].replica, probed[0]);
}

#[test]
fn replica_that_declines_its_probe_is_not_used() {
    for outcome in [
        AttemptOutcome::ServerError,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
    ] {
        let mut harness = unconfirmed();
        let mut declined = probed_replicas(&arrive(&mut harness, 1));
        for _ in 1..REPLICAS {
            let next =
                probed_replicas(&end_probe(&mut harness, *declined.last().unwrap(), outcome));
            assert_eq!(next.len(), 1, "{outcome:?}");
            assert!(!declined.contains(&next[0]), "{outcome:?}");
            declined.extend(next);
        }
        let last = *declined.last().unwrap();
        let actions = end_probe(&mut harness, last, AttemptOutcome::Completed);
        assert_eq!(started_attempts(&actions)[0].replica, last, "{outcome:?}");
    }
}

#[test]
fn evidence_expires_within_the_drain_grace() {
    let mut harness = unconfirmed();
    let probed = probed_replicas(&arrive(&mut harness, 1));
    end_probe(&mut harness, probed[0], AttemptOutcome::Completed);
    harness.now += settings().lifecycle.drain_grace;
    let actions = arrive(&mut harness, 2);
    assert_eq!(started_attempts(&actions), [], "the evidence is too old");
    assert_eq!(probed_replicas(&actions).len(), 1);
}

#[test]
fn waiting_requests_are_dispatched_once_the_list_is_confirmed() {
    let mut harness = unconfirmed();
    arrive(&mut harness, 1);
    harness.handle(Event::EndpointListStatusChanged(
        EndpointListStatus::Confirmed,
    ));
    assert_eq!(started_attempts(&harness.last_actions).len(), 1);
}

#[test]
fn without_probes_requests_wait_for_the_first_answer_for_a_bounded_time() {
    let mut settings = settings();
    settings.limits.allows_probes = false;
    let mut harness = harness_with(settings.clone(), EndpointListStatus::Restored);
    assert_eq!(started_attempts(&arrive(&mut harness, 1)), []);
    harness.handle(Event::EndpointListFailed);
    assert_eq!(started_attempts(&harness.last_actions), []);
    harness.handle(Event::EndpointListStatusChanged(
        EndpointListStatus::Unreachable,
    ));
    assert_eq!(started_attempts(&harness.last_actions).len(), 1);

    // The wait for a poll is bounded.
    let mut harness = harness_with(settings.clone(), EndpointListStatus::Restored);
    harness.now += 2.9;
    assert_eq!(started_attempts(&arrive(&mut harness, 1)), []);
    harness.now += 0.1;
    harness.handle(Event::TimerFired);
    assert_eq!(started_attempts(&harness.last_actions).len(), 1);

    let mut harness = harness_with(settings, EndpointListStatus::Unconfirmed);
    assert_eq!(started_attempts(&arrive(&mut harness, 1)).len(), 1);
}

#[test]
fn request_whose_replicas_all_decline_gets_its_final_answer() {
    let mut harness = unconfirmed();
    let mut actions = arrive(&mut harness, 1);
    let mut answered = Vec::new();
    while harness.now < 106.0 && answered.is_empty() {
        for replica in probed_replicas(&actions) {
            end_probe(&mut harness, replica, AttemptOutcome::ServerError);
        }
        harness.now += TIMER_INTERVAL;
        harness.handle(Event::TimerFired);
        actions = harness.last_actions.clone();
        assert_eq!(started_attempts(&actions), []);
        answered = answered_requests(&actions);
    }
    assert_eq!(answered, [1]);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive,
    ProbesEnd(bool),
    Status(EndpointListStatus),
    Wait(f64),
    ClientDisconnects(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![
        Just(EndpointListStatus::Confirmed),
        Just(EndpointListStatus::Unconfirmed),
        Just(EndpointListStatus::Unreachable),
        Just(EndpointListStatus::Incomplete),
        Just(EndpointListStatus::Restored),
    ];
    prop_oneof![
        4 => Just(Step::Arrive),
        4 => any::<bool>().prop_map(Step::ProbesEnd),
        1 => status.prop_map(Step::Status),
        3 => (0.0_f64..0.4).prop_map(Step::Wait),
        1 => (1_u64..40).prop_map(Step::ClientDisconnects),
    ]
}

proptest! {
    /// While the list is not confirmed, each attempt is sent to a replica whose last completed probe was successful and was
    /// sent no longer ago than half of the drain grace.
    #[test]
    fn attempts_follow_recent_evidence(steps in proptest::collection::vec(step(), 1..120)) {
        let mut harness = unconfirmed();
        let max_age = settings().lifecycle.drain_grace / 2.0 + 1e-9;
        let mut is_confirmed = false;
        let mut request = 0;
        // Send times of the probes in flight and of the last successful probe of each replica.
        let mut in_flight: Vec<(ReplicaId, f64)> = Vec::new();
        let mut accepted: BTreeMap<ReplicaId, f64> = BTreeMap::new();
        for step in steps {
            let mut events = Vec::new();
            match step {
                Step::Arrive => {
                    request += 1;
                    events.push(Event::RequestArrived(incoming_request(request, 0, 0, 5.0)));
                }
                Step::ProbesEnd(is_accepted) => {
                    for (replica, sent_at) in std::mem::take(&mut in_flight) {
                        let outcome = if is_accepted {
                            accepted.insert(replica, sent_at);
                            AttemptOutcome::Completed
                        } else {
                            accepted.remove(&replica);
                            AttemptOutcome::ServerError
                        };
                        events.push(Event::ProbeEnded { replica, outcome, report: None });
                    }
                }
                Step::Status(status) => {
                    is_confirmed = status == EndpointListStatus::Confirmed;
                    events.push(Event::EndpointListStatusChanged(status));
                }
                Step::Wait(span) => {
                    harness.now += span;
                    events.push(Event::TimerFired);
                }
                Step::ClientDisconnects(number) => {
                    events.push(Event::ClientDisconnected(RequestId(number)));
                }
            }
            for event in events {
                harness.handle(event);
                let now = harness.now;
                let actions = harness.last_actions.clone();
                in_flight.extend(probed_replicas(&actions).into_iter().map(|replica| (replica, now)));
                if is_confirmed {
                    continue;
                }
                for attempt in started_attempts(&actions) {
                    let probed_at = accepted.get(&attempt.replica);
                    prop_assert!(
                        probed_at.is_some_and(|sent_at| now - sent_at <= max_age),
                        "{attempt:?} at {now}, last successful probe at {probed_at:?}"
                    );
                }
            }
        }
    }
}
