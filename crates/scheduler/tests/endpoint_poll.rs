//! Tests of the poll schedule of the endpoint list.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, EndpointListMode, Event, LifecycleRules, Scheduler, SchedulerSettings, Seconds,
};
use std::collections::BTreeSet;
use support::{settings, SchedulerHarness};

/// Routers must not poll at the same time, and none may stop polling after a failure.
#[test]
fn polls_are_spread_over_routers_and_retried_after_a_failure() {
    let mut first_polls = BTreeSet::new();
    for router in 0..4 {
        let site = SchedulerSettings {
            router_index: router,
            router_count: 4,
            endpoint_list_mode: EndpointListMode::Polled,
            ..settings()
        };
        let mut harness = SchedulerHarness::new(site, 1);
        let mut intervals = 0;
        while !harness.advance(0.02).contains(&Action::WatchEndpoints) {
            intervals += 1;
            assert!(intervals < 200, "router {router} never polled");
        }
        first_polls.insert(intervals);
        harness.handle(Event::EndpointListFailed);
        let actions = harness.advance(10.0);
        assert_eq!(
            actions
                .iter()
                .filter(|action| **action == Action::WatchEndpoints)
                .count(),
            1
        );
    }
    assert_eq!(
        first_polls.len(),
        4,
        "polled after {first_polls:?} timer intervals"
    );
}

/// The retry interval must not grow with the poll interval, and routers must not retry at the same time. A change counts as
/// known to all routers 6 s after discovery has it. A router must have polled successfully by then, even if a busy
/// discovery service delays and rejects the first poll after the change.
#[test]
fn failed_poll_is_retried_within_bounds_and_spread_over_routers() {
    const NOTIFIED_AFTER: Seconds = 6.0;
    /// The time in which a busy discovery service answers a poll, with a margin.
    const CALL_TIME: Seconds = 2.2;
    let mut delays = Vec::new();
    for router in 0..200 {
        let rules = LifecycleRules {
            poll_interval: 60.0,
            ..settings().lifecycle
        };
        let settings = SchedulerSettings {
            router_index: router,
            router_count: 200,
            lifecycle: rules,
            endpoint_list_mode: EndpointListMode::Polled,
            ..settings()
        };
        let mut scheduler = Scheduler::new(settings, router as u64).unwrap();
        let (mut now, mut actions) = (100.0, Vec::new());
        scheduler.handle_event(now, Event::EndpointListFailed, &mut actions);
        while !actions.contains(&Action::WatchEndpoints) {
            now += 0.02;
            assert!(
                2.0 * (now - 100.0) + CALL_TIME < NOTIFIED_AFTER,
                "router {router} has not polled again"
            );
            scheduler.handle_event(now, Event::TimerFired, &mut actions);
        }
        delays.push(now - 100.0);
    }
    delays.sort_by(f64::total_cmp);
    // At most a tenth of the routers poll within any tenth of a second.
    for (n, delay) in delays.iter().enumerate() {
        assert!(
            delays[n..]
                .iter()
                .filter(|later| **later < delay + 0.1)
                .count()
                <= 20,
            "too many polls at {delay}"
        );
    }
}
