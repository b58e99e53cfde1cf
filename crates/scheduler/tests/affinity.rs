//! Session affinity and prompt caches.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    AttemptOutcome, CostWeights, Endpoint, EndpointState, Event, IncomingRequest, LoadReport,
    ReplicaId, RequestId, Scheduler, SchedulerSettings,
};
use std::collections::{BTreeMap, BTreeSet};
use support::{
    available_endpoints, endpoint, incoming_request, probes, replica_id, settings,
    started_attempts, SchedulerHarness, StartedAttempt,
};

/// Sends of `n` sessions to the router's own zone, of four replicas that are half there, after as many early
/// first tokens.
fn attempts_in_own_zone(cross_zone: f64, n: u64) -> usize {
    let settings = SchedulerSettings {
        costs: CostWeights {
            cross_zone,
            ..CostWeights::default()
        },
        ..settings()
    };
    let mut harness = SchedulerHarness::new(settings, 4);
    let mut near = 0;
    for id in 1..=n {
        let out = harness.arrive(incoming_request(id, 0, 0, 30.0));
        let own_zone = [replica_id(0), replica_id(2)];
        let attempts = started_attempts(&out);
        let near_attempts = attempts
            .iter()
            .filter(|attempt| own_zone.contains(&attempt.replica));
        near += near_attempts.count();
        harness.first_token(id, 0.001);
        harness.end_attempt(id, 0, AttemptOutcome::Completed, true);
    }
    near
}

/// A router of one replica that has completed requests of new sessions, each given by its prompt tokens and those found in
/// the cache. Returns the part of a prompt that it then expects to find at a session's affinity replica.
fn hit_rate_after(requests: impl IntoIterator<Item = (u64, f64)>) -> f64 {
    let mut harness = SchedulerHarness::new(settings(), 1);
    for (n, (due, found)) in requests.into_iter().enumerate() {
        let n = n as u64 + 1;
        harness.arrive(IncomingRequest {
            prompt_tokens: due,
            ..incoming_request(n, 0, 0, 10.0)
        });
        harness.first_token(n, 0.1);
        let (request, outcome) = (RequestId(n), AttemptOutcome::Completed);
        let report = Some(LoadReport {
            cached_prompt_tokens: Some(found),
            ..LoadReport::default()
        });
        harness.handle(Event::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            is_request_finished: true,
            report,
        });
    }
    harness
        .scheduler
        .export_learned_state()
        .cache_hit_rates
        .affinity_replica
}

#[test]
fn session_returns_to_the_replica_that_read_it() {
    let mut harness = SchedulerHarness::new(settings(), 4);
    let mut affinity_replicas = BTreeSet::new();
    for n in 0..10 {
        let next = IncomingRequest {
            session: Some(7),
            prompt_tokens: 8000 + 100 * n,
            ..incoming_request(n, 0, 0, 5.0)
        };
        let to = started_attempts(&harness.arrive(next))[0].replica;
        affinity_replicas.insert(to);
        harness.first_token(n, 0.1);
        harness.end_attempt(n, 0, AttemptOutcome::Completed, true);
        harness.now += 0.5;
    }
    assert_eq!(affinity_replicas.len(), 1, "{affinity_replicas:?}");
}

/// Otherwise turns are read anew because each router looks for their session somewhere else.
#[test]
fn all_routers_agree_on_the_affinity_replica() {
    let mut affinity_replicas = BTreeSet::new();
    for me in 0..20 {
        let mut harness = SchedulerHarness::new(
            SchedulerSettings {
                router_index: me,
                router_count: 20,
                ..settings()
            },
            1,
        );
        harness.scheduler = Scheduler::new(
            SchedulerSettings {
                router_index: me,
                router_count: 20,
                ..settings()
            },
            me as u64,
        )
        .unwrap();
        harness.handle(Event::EndpointsReplaced(available_endpoints(30)));
        let turn = IncomingRequest {
            session: Some(7),
            prompt_tokens: 9000,
            ..incoming_request(1, 0, 0, 5.0)
        };
        affinity_replicas.insert(started_attempts(&harness.arrive(turn))[0].replica);
    }
    assert_eq!(affinity_replicas.len(), 1, "{affinity_replicas:?}");
}

/// Otherwise slow replicas get as many sessions as fast ones.
#[test]
fn larger_replicas_have_more_sessions() {
    let mut harness = SchedulerHarness::new(settings(), 0);
    let sized = |n| Endpoint {
        capacity_weight: Some(if n < 5 { 3.0 } else { 1.0 }),
        ..endpoint(n, EndpointState::Available, None)
    };
    harness.handle(Event::EndpointsReplaced((0..10).map(sized).collect()));
    let mut large = 0;
    for n in 0..200 {
        let to = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)))[0].replica;
        large += usize::from((0..5).any(|number| replica_id(number) == to));
        harness.end_attempt(n, 0, AttemptOutcome::Cancelled, true);
    }
    assert!(
        (130..=170).contains(&large),
        "{large} of 200, three quarters are due"
    );
}

/// Rendezvous scores must not be so coarse that they fall together, which would leave all sessions to a few replicas.
#[test]
fn sessions_stay_spread_whatever_the_learned_prefill_time() {
    let mut harness = SchedulerHarness::new(settings(), 50);
    let mut affinity_replicas: BTreeMap<ReplicaId, usize> = BTreeMap::new();
    for n in 0..2000 {
        let to = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)))[0].replica;
        *affinity_replicas.entry(to).or_default() += usize::from(n >= 1000);
        harness.first_token(n, 0.0005);
        harness.end_attempt(n, 0, AttemptOutcome::Completed, true);
    }
    let (max, min) = (
        affinity_replicas.values().max().unwrap(),
        affinity_replicas.values().min().unwrap(),
    );
    assert!(
        affinity_replicas.len() == 50 && *max <= 45 && *min >= 5,
        "{min} to {max} of 1000 at 50 replicas"
    );
}

#[test]
fn cross_zone_cost_prefers_the_own_zone() {
    // Without a cost half of the attempts cross zones.
    let (free, priced) = (
        attempts_in_own_zone(0.0, 300),
        attempts_in_own_zone(0.16, 300),
    );
    assert!((100..200).contains(&free), "{free}");
    assert!(priced > 255, "{priced}");
}

/// Otherwise sessions are scattered over idle replicas, where all is read anew, since the limit is exhausted and their
/// affinity replica is not idle.
#[test]
fn session_goes_to_its_affinity_replica_beside_an_exhausted_limit() {
    let mut site = SchedulerSettings {
        router_count: 100,
        ..settings()
    };
    site.classes[0].ttft_objective = 10.0;
    for n in 0..20 {
        let mut harness = SchedulerHarness::among_many_routers();
        harness.scheduler = Scheduler::new(site.clone(), n).unwrap();
        harness.handle(Event::EndpointsReplaced(available_endpoints(4)));
        // The limit of one router among a hundred is a single request, and this one stays.
        for replica in probes(&harness.arrive(incoming_request(1, 0, 0, 60.0))) {
            harness.report_load(replica, 0.0, 0.1);
        }
        harness.advance(1.1);
        // All reports are out of date by now: both candidates are probed.
        harness.advance(1.1);
        let later = IncomingRequest {
            session: Some(100 + n),
            prompt_tokens: 20_000,
            ..incoming_request(2, 0, 0, 60.0)
        };
        let order = probes(&harness.arrive(later));
        let mut sent = Vec::new();
        for replica in order.iter().rev() {
            let tokens = if *replica == order[0] { 1_000.0 } else { 0.0 };
            sent.extend(started_attempts(
                &harness.report_load(*replica, tokens, 0.1),
            ));
        }
        assert_eq!(
            sent,
            [StartedAttempt {
                request: 2,
                replica: order[0]
            }]
        );
    }
}

/// Turns are not sent to the session's affinity replica where this router sent the previous turn elsewhere.
#[test]
fn turn_follows_the_replica_of_the_previous_turn() {
    let mut back = 0;
    for session in 0..20 {
        let turn = |n| IncomingRequest {
            session: Some(session),
            prompt_tokens: 6000,
            ..incoming_request(n, 0, 0, 5.0)
        };
        let mut harness = SchedulerHarness::new(settings(), 8);
        let affinity_replica = started_attempts(&harness.arrive(turn(1)))[0].replica;
        harness.end_attempt(1, 0, AttemptOutcome::Cancelled, true);
        let entry = |n: usize, state| Endpoint {
            id: affinity_replica,
            ..endpoint(n, state, None)
        };
        harness.handle(Event::EndpointsChanged(vec![entry(
            0,
            EndpointState::Draining,
        )]));
        let away = started_attempts(&harness.arrive(turn(2)))[0].replica;
        harness.complete_with_cached_tokens(2, 0.0);
        harness.handle(Event::EndpointsChanged(vec![entry(
            0,
            EndpointState::Available,
        )]));
        back += usize::from(started_attempts(&harness.arrive(turn(3)))[0].replica == away);
    }
    assert!(
        back >= 18,
        "{back} of 20 went where the turn before was read"
    );
}

/// Sessions of one turn have nothing in any cache: affinity replicas must not attract them.
#[test]
fn affinity_replicas_without_cache_hits_lose_their_preference() {
    let sent_to = |kept: f64| {
        let mut harness = SchedulerHarness::new(settings(), 8);
        for n in 0..150 {
            harness.arrive(IncomingRequest {
                prompt_tokens: 6000,
                ..incoming_request(n, 0, 0, 5.0)
            });
            harness.complete_with_cached_tokens(n, kept);
        }
        let mut seen = BTreeSet::new();
        for n in 1000..1040 {
            let turn = IncomingRequest {
                session: Some(7777),
                prompt_tokens: 6000,
                ..incoming_request(n, 0, 0, 5.0)
            };
            seen.insert(started_attempts(&harness.arrive(turn))[0].replica);
            harness.end_attempt(n, 0, AttemptOutcome::Cancelled, true);
        }
        seen.len()
    };
    let (none, all) = (sent_to(0.0), sent_to(6000.0));
    assert!(
        none >= 6 && all <= 2,
        "{none} replicas where nothing is cached, {all} where all is"
    );
}

/// Most requests are first turns with nothing in the cache; the long prompts of later turns are what reading them
/// elsewhere would cost.
#[test]
fn cache_hit_rate_is_a_mean_over_tokens() {
    // Four first turns for each later one, whose prompt is fifteen times as long and found in the cache whole.
    let turns = (0..200).map(|n| {
        if n % 5 == 4 {
            (15_000, 15_000.0)
        } else {
            (1_000, 0.0)
        }
    });
    let expected = hit_rate_after(turns);
    assert!(
        expected > 0.6,
        "{expected}: 79 in a hundred tokens were found"
    );
    let nothing = hit_rate_after((0..200).map(|_| (8_000, 0.0)));
    assert!(
        nothing < 0.1,
        "{nothing} is still expected where nothing was found"
    );
}

/// The turn of session 7 with this number.
fn turn_of_session(number: u64) -> IncomingRequest {
    IncomingRequest {
        session: Some(7),
        prompt_tokens: 600,
        ..incoming_request(number, 0, 0, 30.0)
    }
}

/// Sends requests of other sessions until both replicas are busy, and ends some at the replica that is not `affinity_replica`, so
/// that it has three requests fewer.
fn keep_home_busier(harness: &mut SchedulerHarness, affinity_replica: ReplicaId) {
    let mut in_flight: BTreeMap<ReplicaId, Vec<u64>> = BTreeMap::new();
    for number in 100..128 {
        for attempt in started_attempts(&harness.arrive(incoming_request(number, 0, 0, 30.0))) {
            harness.first_token(attempt.request, 0.05);
            in_flight
                .entry(attempt.replica)
                .or_default()
                .push(attempt.request);
        }
    }
    let at_home = in_flight[&affinity_replica].len();
    assert!(at_home >= 8, "{at_home} at affinity_replica");
    for (replica, requests) in in_flight {
        let kept = if replica == affinity_replica {
            at_home
        } else {
            at_home.saturating_sub(3)
        };
        for request in requests.iter().skip(kept) {
            harness.end_attempt(*request, 0, AttemptOutcome::Completed, true);
        }
    }
}

/// A turn is not read anew elsewhere because its replica is a little busier: reading holds up all requests that run where
/// it is done.
#[test]
fn long_prompt_stays_with_its_replica_the_more_requests_run() {
    let mut stayed = 0;
    for seed in 0..40 {
        let mut harness = SchedulerHarness::with_seed(settings(), seed, 2);
        let affinity_replica = started_attempts(&harness.arrive(turn_of_session(1)))[0].replica;
        harness.first_token(1, 0.1);
        let report = LoadReport {
            cached_prompt_tokens: Some(0.0),
            ..LoadReport::default()
        };
        harness.handle(Event::AttemptEnded {
            request: RequestId(1),
            attempt: 0,
            outcome: AttemptOutcome::Completed,
            is_request_finished: true,
            report: Some(report),
        });
        keep_home_busier(&mut harness, affinity_replica);
        let sent = started_attempts(&harness.arrive(turn_of_session(2)));
        stayed += usize::from(
            sent.first()
                .is_some_and(|attempt| attempt.replica == affinity_replica),
        );
    }
    assert!(
        stayed >= 36,
        "{stayed} of 40 went to where the turn before was read"
    );
}
