//! When routers poll the endpoint list.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, EndpointListMode, Event, LifecycleRules, Scheduler, SchedulerSettings, Seconds,
};
use std::collections::BTreeSet;
use support::{settings, SchedulerHarness};

/// Routers must not poll together, and none may give up polling.
#[test]
fn polls_are_spread_over_routers_and_retried_after_a_failure() {
    let mut at = BTreeSet::new();
    for me in 0..4 {
        let site = SchedulerSettings {
            router_index: me,
            router_count: 4,
            endpoint_list_mode: EndpointListMode::Polled,
            ..settings()
        };
        let mut harness = SchedulerHarness::new(site, 1);
        let mut waited = 0;
        while !harness.advance(0.02).contains(&Action::WatchEndpoints) {
            waited += 1;
            assert!(waited < 200, "router {me} never polled");
        }
        at.insert(waited);
        harness.handle(Event::EndpointListFailed);
        let again = harness.advance(10.0);
        assert_eq!(
            again
                .iter()
                .filter(|action| **action == Action::WatchEndpoints)
                .count(),
            1
        );
    }
    assert_eq!(at.len(), 4, "polled after {at:?} timer intervals");
}

/// The pause must not grow with the poll interval, and routers must not all come back to a service at once: a change counts
/// as notified 6 s after it could be had, also where the first poll after that is delayed and rejected by a busy service.
#[test]
fn failed_poll_is_retried_within_bounds_and_spread_over_routers() {
    const NOTIFIED_AFTER: Seconds = 6.0;
    /// A busy service answers a poll after this long, and its caller waits a little longer.
    const CALL_TIME: Seconds = 2.2;
    let mut pauses = Vec::new();
    for me in 0..200 {
        let rules = LifecycleRules {
            poll_interval: 60.0,
            ..settings().lifecycle
        };
        let settings = SchedulerSettings {
            router_index: me,
            router_count: 200,
            lifecycle: rules,
            endpoint_list_mode: EndpointListMode::Polled,
            ..settings()
        };
        let mut brain = Scheduler::new(settings, me as u64).unwrap();
        let (mut now, mut out) = (100.0, Vec::new());
        brain.handle_event(now, Event::EndpointListFailed, &mut out);
        while !out.contains(&Action::WatchEndpoints) {
            now += 0.02;
            assert!(
                2.0 * (now - 100.0) + CALL_TIME < NOTIFIED_AFTER,
                "router {me} has not polled again"
            );
            brain.handle_event(now, Event::TimerFired, &mut out);
        }
        pauses.push(now - 100.0);
    }
    pauses.sort_by(f64::total_cmp);
    // In no tenth of a second do more than a tenth of them poll.
    for (n, pause) in pauses.iter().enumerate() {
        assert!(
            pauses[n..]
                .iter()
                .filter(|later| **later < pause + 0.1)
                .count()
                <= 20,
            "too many polls at {pause}"
        );
    }
}
