//! Slow start under the sum of many routers that share nothing: what each sends by itself must add up to no more than the
//! settings allow and chance explains.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, EndpointState, Event, LifecycleRules, Scheduler, SchedulerSettings, Seconds, Tenant,
};
use proptest::prelude::*;
use support::{endpoint, incoming_request, replica_id, settings, started_attempts, TIMER_INTERVAL};

const REPLICAS: usize = 8;
/// The replica that has just started.
const STARTING: usize = 0;
/// The part of its capacity with which it starts.
const INITIAL_FRACTION: f64 = 0.15;
/// Requests a second that one warm replica bears.
const CAPACITY: f64 = 8.0;
/// The part of all capacity that tenants may use.
const QUOTA: f64 = 0.8;
/// How long each case is played after the start was notified.
const LENGTH: Seconds = 20.0;

#[derive(Clone, Debug)]
struct Case {
    routers: usize,
    seed: u64,
    /// Time without any request after the start was notified.
    idle: Seconds,
    /// Requests that come to each router at once when the idle time is over.
    burst: usize,
    /// Requests a second that come to the first router alone afterwards.
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

fn router(case: &Case, me: usize) -> Scheduler {
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
        router_index: me,
        router_count: case.routers,
        tenants: vec![tenant],
        lifecycle: rules,
        ..settings()
    };
    Scheduler::new(settings, case.seed.wrapping_add(me as u64)).unwrap()
}

/// Times at which one of the routers sent an attempt to the starting replica.
fn attempts_at_starting_replica(case: &Case) -> Vec<Seconds> {
    let start = 100.0;
    let mut sent = Vec::new();
    for me in 0..case.routers {
        let mut brain = router(case, me);
        let mut out = Vec::new();
        let started_at = |n: usize| (n == STARTING).then_some(start);
        let list = (0..REPLICAS)
            .map(|n| endpoint(n, EndpointState::Available, started_at(n)))
            .collect();
        brain.handle_event(start, Event::EndpointsReplaced(list), &mut out);
        let mut id = 0;
        let mut arrive = |brain: &mut Scheduler, now: Seconds, out: &mut Vec<Action>| {
            id += 1;
            brain.handle_event(
                now,
                Event::RequestArrived(incoming_request(id, 0, 0, 10.0)),
                out,
            );
        };
        for tick in 0..(LENGTH / TIMER_INTERVAL) as usize {
            let now = start + tick as f64 * TIMER_INTERVAL;
            brain.handle_event(now, Event::TimerFired, &mut out);
            if tick == (case.idle / TIMER_INTERVAL) as usize {
                (0..case.burst).for_each(|_| arrive(&mut brain, now, &mut out));
            }
            if me == 0 && now > start + case.idle && tick % 50 < case.uneven.min(50) {
                arrive(&mut brain, now, &mut out);
            }
            sent.extend(
                started_attempts(&out)
                    .iter()
                    .filter(|attempt| attempt.replica == replica_id(STARTING))
                    .map(|_| now),
            );
            out.clear();
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

    /// Routers must not each keep one attempt in reserve while they are idle: with a burst all of them would spend it at
    /// once, however many they are.
    #[test]
    fn all_routers_together_keep_to_what_a_starting_replica_bears(case in case()) {
        let sent = attempts_at_starting_replica(&case);
        for (first, at) in sent.iter().enumerate() {
            let within = sent[first..].iter().take_while(|time| **time < at + 1.0).count() as f64;
            // The rule counts against what the replica bears at the end of the window.
            let fraction = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * (at - 100.0) / settings().lifecycle.slow_start_duration;
            let allowed = 4.0 * CAPACITY * fraction;
            let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
            prop_assert!(within <= bound, "{within} attempts within a second of {at}, {bound:.1} allowed");
        }
    }
}
