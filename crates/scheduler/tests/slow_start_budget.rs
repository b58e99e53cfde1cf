//! Property test of slow start with many routers that do not communicate: their attempts together must stay within the
//! limit of the settings, apart from random variation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, EndpointState, Event, LifecycleRules, Scheduler, SchedulerSettings, Seconds, Tenant,
};
use proptest::prelude::*;
use support::{endpoint, incoming_request, replica_id, settings, started_attempts, TIMER_INTERVAL};

const REPLICAS: usize = 8;
/// The replica in slow start.
const STARTING: usize = 0;
const INITIAL_FRACTION: f64 = 0.15;
/// Requests per second that one warm replica can handle.
const CAPACITY: f64 = 8.0;
/// The fraction of the total capacity that tenants may use.
const QUOTA: f64 = 0.8;
/// Simulated time after the routers have been notified of the replica's start.
const LENGTH: Seconds = 20.0;

#[derive(Clone, Debug)]
struct Case {
    routers: usize,
    seed: u64,
    /// Time without requests after the routers have been notified of the replica's start.
    idle: Seconds,
    /// Requests that arrive at each router at the end of the idle time.
    burst: usize,
    /// Requests per second that arrive only at the first router after the idle time.
    uneven: usize,
}

fn case() -> impl Strategy<Value = Case> {
    let routers = prop_oneof![Just(4), Just(20), Just(30), Just(60), Just(300)];
    (routers, any::<u64>(), 0.0..19.0f64, 1usize..12, 0usize..60).prop_map(
        |(routers, seed, idle, burst, uneven)| Case {
            routers,
            seed,
            idle,
            burst,
            uneven,
        },
    )
}

fn scheduler(case: &Case, router: usize) -> Scheduler {
    let tenant = Tenant {
        quota: 1.0,
        rate_limit: QUOTA * CAPACITY * REPLICAS as f64,
    };
    let rules = LifecycleRules {
        slow_start_initial_fraction: INITIAL_FRACTION,
        overload_factor: 4.0,
        overload_window: 1.0,
        ..settings().lifecycle
    };
    let settings = SchedulerSettings {
        router_index: router,
        router_count: case.routers,
        tenants: vec![tenant],
        lifecycle: rules,
        ..settings()
    };
    Scheduler::new(settings, case.seed.wrapping_add(router as u64)).unwrap()
}

/// The times of all attempts that the routers sent to the starting replica.
fn attempts_at_starting_replica(case: &Case) -> Vec<Seconds> {
    let start = 100.0;
    let mut sent = Vec::new();
    for router in 0..case.routers {
        let mut scheduler = scheduler(case, router);
        let mut actions = Vec::new();
        let started_at = |n: usize| (n == STARTING).then_some(start);
        let list = (0..REPLICAS)
            .map(|n| endpoint(n, EndpointState::Available, started_at(n)))
            .collect();
        scheduler.handle_event(start, Event::EndpointsReplaced(list), &mut actions);
        let mut id = 0;
        let mut arrive = |scheduler: &mut Scheduler, now: Seconds, actions: &mut Vec<Action>| {
            id += 1;
            scheduler.handle_event(
                now,
                Event::RequestArrived(incoming_request(id, 0, 0, 10.0)),
                actions,
            );
        };
        for tick in 0..(LENGTH / TIMER_INTERVAL) as usize {
            let now = start + tick as f64 * TIMER_INTERVAL;
            scheduler.handle_event(now, Event::TimerFired, &mut actions);
            if tick == (case.idle / TIMER_INTERVAL) as usize {
                (0..case.burst).for_each(|_| arrive(&mut scheduler, now, &mut actions));
            }
            if router == 0 && now > start + case.idle && tick % 50 < case.uneven.min(50) {
                arrive(&mut scheduler, now, &mut actions);
            }
            sent.extend(
                started_attempts(&actions)
                    .iter()
                    .filter(|attempt| attempt.replica == replica_id(STARTING))
                    .map(|_| now),
            );
            actions.clear();
        }
    }
    sent.sort_by(f64::total_cmp);
    sent
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Idle routers must not keep units of their slow-start budgets: in a burst of requests all routers would spend them at
    /// the same time.
    #[test]
    fn all_routers_together_do_not_overload_a_starting_replica(case in case()) {
        let sent = attempts_at_starting_replica(&case);
        for (first, at) in sent.iter().enumerate() {
            let within = sent[first..].iter().take_while(|time| **time < at + 1.0).count() as f64;
            // The site's rule uses the capacity at the end of the window. The capacity at its start, used here, is a
            // stricter bound.
            let fraction = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * (at - 100.0) / settings().lifecycle.slow_start_duration;
            let allowed = 4.0 * CAPACITY * fraction;
            let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
            prop_assert!(within <= bound, "{within} attempts within a second of {at}, {bound:.1} allowed");
        }
    }
}
