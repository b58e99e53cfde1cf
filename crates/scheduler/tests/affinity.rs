//! Tests of session affinity and of the prompt cache model.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    AttemptOutcome, CostWeights, Endpoint, EndpointState, Event, IncomingRequest, LoadReport,
    ReplicaId, RequestId, Scheduler, SchedulerSettings,
};
use std::collections::{BTreeMap, BTreeSet};
use support::{
    available_endpoints, endpoint, incoming_request, probed_replicas, replica_id, settings,
    started_attempts, SchedulerHarness, StartedAttempt,
};

/// The number of attempts in the router's own zone for `n` requests of new sessions. Two of the four replicas are in that
/// zone.
fn attempts_in_own_zone(cross_zone: f64, n: u64) -> usize {
    let settings = SchedulerSettings {
        costs: CostWeights {
            cross_zone,
            ..CostWeights::default()
        },
        ..settings()
    };
    let mut harness = SchedulerHarness::new(settings, 4);
    let mut in_own_zone = 0;
    for id in 1..=n {
        let actions = harness.arrive(incoming_request(id, 0, 0, 30.0));
        let own_zone = [replica_id(0), replica_id(2)];
        let attempts = started_attempts(&actions);
        let local_attempts = attempts
            .iter()
            .filter(|attempt| own_zone.contains(&attempt.replica));
        in_own_zone += local_attempts.count();
        harness.first_token(id, 0.001);
        harness.end_attempt(id, 0, AttemptOutcome::Completed, true);
    }
    in_own_zone
}

/// The hit rate of affinity replicas that a router learns from requests of new sessions. Each request is given by the number
/// of its prompt tokens and the number of those found in the cache.
fn hit_rate_after(requests: impl IntoIterator<Item = (u64, f64)>) -> f64 {
    let mut harness = SchedulerHarness::new(settings(), 1);
    for (n, (prompt_tokens, cached_tokens)) in requests.into_iter().enumerate() {
        let n = n as u64 + 1;
        harness.arrive(IncomingRequest {
            prompt_tokens,
            ..incoming_request(n, 0, 0, 10.0)
        });
        harness.first_token(n, 0.1);
        let (request, outcome) = (RequestId(n), AttemptOutcome::Completed);
        let report = Some(LoadReport {
            cached_prompt_tokens: Some(cached_tokens),
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
fn session_returns_to_the_replica_that_served_it() {
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

/// If each router had a different affinity replica for a session, its prompts would be prefilled again at each of them.
#[test]
fn all_routers_agree_on_the_affinity_replica() {
    let mut affinity_replicas = BTreeSet::new();
    for router in 0..20 {
        let mut harness = SchedulerHarness::new(
            SchedulerSettings {
                router_index: router,
                router_count: 20,
                ..settings()
            },
            1,
        );
        harness.scheduler = Scheduler::new(
            SchedulerSettings {
                router_index: router,
                router_count: 20,
                ..settings()
            },
            router as u64,
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

/// A small replica must not get as many sessions as a large one.
#[test]
fn sessions_are_distributed_by_capacity_weight() {
    let mut harness = SchedulerHarness::new(settings(), 0);
    let weighted = |n| Endpoint {
        capacity_weight: Some(if n < 5 { 3.0 } else { 1.0 }),
        ..endpoint(n, EndpointState::Available, None)
    };
    harness.handle(Event::EndpointsReplaced((0..10).map(weighted).collect()));
    let mut large = 0;
    for n in 0..200 {
        let to = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)))[0].replica;
        large += usize::from((0..5).any(|number| replica_id(number) == to));
        harness.end_attempt(n, 0, AttemptOutcome::Cancelled, true);
    }
    assert!(
        (130..=170).contains(&large),
        "{large} of 200, three quarters expected"
    );
}

/// Rendezvous scores are integers. If the weights made them so coarse that many are equal, a few replicas would get all
/// sessions.
#[test]
fn sessions_stay_spread_for_any_learned_prefill_time() {
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
    let (without_cost, with_cost) = (
        attempts_in_own_zone(0.0, 300),
        attempts_in_own_zone(0.16, 300),
    );
    assert!((100..200).contains(&without_cost), "{without_cost}");
    assert!(with_cost > 255, "{with_cost}");
}

/// While the router's concurrency limit is exhausted, a session must still be sent to its affinity replica. An idle replica
/// may be used beyond the limit, but does not have the session's prompts in its cache.
#[test]
fn session_is_sent_to_its_affinity_replica_beyond_an_exhausted_limit() {
    let mut site = SchedulerSettings {
        router_count: 100,
        ..settings()
    };
    site.classes[0].ttft_objective = 10.0;
    for n in 0..20 {
        let mut harness = SchedulerHarness::among_many_routers();
        harness.scheduler = Scheduler::new(site.clone(), n).unwrap();
        harness.handle(Event::EndpointsReplaced(available_endpoints(4)));
        // The limit of one router among a hundred is a single request, which this request uses up.
        for replica in probed_replicas(&harness.arrive(incoming_request(1, 0, 0, 60.0))) {
            harness.report_load(replica, 0.0, 0.1);
        }
        harness.advance(1.1);
        // All reports are outdated now, so both candidates are probed.
        harness.advance(1.1);
        let later = IncomingRequest {
            session: Some(100 + n),
            prompt_tokens: 20_000,
            ..incoming_request(2, 0, 0, 60.0)
        };
        let order = probed_replicas(&harness.arrive(later));
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

/// If this router sent the previous turn of a session to another replica than the affinity replica, the next turn is sent
/// there as well.
#[test]
fn turn_is_sent_to_the_replica_of_the_previous_turn() {
    let mut returned = 0;
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
        let other = started_attempts(&harness.arrive(turn(2)))[0].replica;
        harness.complete_with_cached_tokens(2, 0.0);
        harness.handle(Event::EndpointsChanged(vec![entry(
            0,
            EndpointState::Available,
        )]));
        returned += usize::from(started_attempts(&harness.arrive(turn(3)))[0].replica == other);
    }
    assert!(
        returned >= 18,
        "{returned} of 20 were sent to the replica of the previous turn"
    );
}

/// If most sessions have a single turn, caches hold nothing for them, so affinity replicas must not be preferred.
#[test]
fn affinity_replicas_without_cache_hits_are_no_longer_preferred() {
    let replicas_used = |cached_tokens: f64| {
        let mut harness = SchedulerHarness::new(settings(), 8);
        for n in 0..150 {
            harness.arrive(IncomingRequest {
                prompt_tokens: 6000,
                ..incoming_request(n, 0, 0, 5.0)
            });
            harness.complete_with_cached_tokens(n, cached_tokens);
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
    let (none, all) = (replicas_used(0.0), replicas_used(6000.0));
    assert!(
        none >= 6 && all <= 2,
        "{none} replicas used if nothing is cached, {all} if everything is"
    );
}

/// With a mean over requests the frequent first turns, which have nothing cached, would hide the long prompts of later
/// turns, whose prefill at another replica is expensive.
#[test]
fn cache_hit_rate_is_a_mean_over_tokens() {
    // Four first turns for each later turn, whose prompt is fifteen times as long and completely cached.
    let turns = (0..200).map(|n| {
        if n % 5 == 4 {
            (15_000, 15_000.0)
        } else {
            (1_000, 0.0)
        }
    });
    let expected = hit_rate_after(turns);
    assert!(expected > 0.6, "{expected}: 79 % of the tokens were cached");
    let nothing = hit_rate_after((0..200).map(|_| (8_000, 0.0)));
    assert!(
        nothing < 0.1,
        "{nothing} is still expected although nothing was cached"
    );
}

/// A turn of session 7, with this request number.
fn turn_of_session(number: u64) -> IncomingRequest {
    IncomingRequest {
        session: Some(7),
        prompt_tokens: 600,
        ..incoming_request(number, 0, 0, 30.0)
    }
}

/// Sends requests of other sessions to both replicas, and ends some of them so that `affinity_replica` has three requests
/// more in flight than the other replica.
fn make_affinity_replica_busier(harness: &mut SchedulerHarness, affinity_replica: ReplicaId) {
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
    let at_affinity_replica = in_flight[&affinity_replica].len();
    assert!(
        at_affinity_replica >= 8,
        "{at_affinity_replica} requests at the affinity replica"
    );
    for (replica, requests) in in_flight {
        let remaining = if replica == affinity_replica {
            at_affinity_replica
        } else {
            at_affinity_replica.saturating_sub(3)
        };
        for request in requests.iter().skip(remaining) {
            harness.end_attempt(*request, 0, AttemptOutcome::Completed, true);
        }
    }
}

/// A cached prompt must not be prefilled again at another replica just because its own replica is slightly busier: prefill
/// delays all requests that run at the other replica.
#[test]
fn cached_prompt_stays_at_a_slightly_busier_replica() {
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
        make_affinity_replica_busier(&mut harness, affinity_replica);
        let sent = started_attempts(&harness.arrive(turn_of_session(2)));
        stayed += usize::from(
            sent.first()
                .is_some_and(|attempt| attempt.replica == affinity_replica),
        );
    }
    assert!(
        stayed >= 36,
        "{stayed} of 40 were sent to the replica of the previous turn"
    );
}
