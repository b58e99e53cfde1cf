//! Tests of slow start with one router and with many routers that do not communicate.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, AttemptOutcome, Endpoint, EndpointState, Event, ReplicaId, RequestId, Scheduler,
    SchedulerSettings, Seconds, Tenant,
};
use std::collections::BTreeMap;
use support::{
    endpoint, incoming_request, replica_id, settings, started_attempts, SchedulerHarness,
    TIMER_INTERVAL,
};

const ROUTERS: usize = 100;
/// Time from the first token of an answer to its end.
const ANSWER_TIME_MICROS: u64 = 500_000;

fn to_micros(time: Seconds) -> u64 {
    (time * 1e6) as u64
}

/// Identifies the next event of an attempt. The derived order is by time first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    at_micros: u64,
    router: usize,
    request: u64,
}

struct PendingAttempt {
    time_to_first_token: Seconds,
    has_first_token: bool,
}

/// Many routers that share replicas, each with little traffic.
struct RouterFleet {
    harnesses: Vec<SchedulerHarness>,
    last_request: u64,
    /// Number of attempts by replica.
    sent: BTreeMap<ReplicaId, usize>,
}

impl RouterFleet {
    /// 100 routers with this many warm replicas and a rate limit of two requests per second and replica.
    fn new(replicas: usize) -> RouterFleet {
        let harness = |router_index| {
            let tenant = Tenant {
                quota: 1.0,
                rate_limit: 2.0 * replicas as f64,
            };
            let site = SchedulerSettings {
                router_index,
                router_count: ROUTERS,
                tenants: vec![tenant],
                ..settings()
            };
            SchedulerHarness::with_seed(site, router_index as u64, replicas)
        };
        RouterFleet {
            harnesses: (0..ROUTERS).map(harness).collect(),
            last_request: 0,
            sent: BTreeMap::new(),
        }
    }

    fn change_endpoints(&mut self, endpoints: &[Endpoint]) {
        for harness in &mut self.harnesses {
            harness.handle(Event::EndpointsChanged(endpoints.to_vec()));
        }
    }

    /// Runs for this many seconds with `rate` requests per second in total, which arrive at the routers in turn.
    /// `time_to_first_token` returns the time to first token of a replica.
    fn run(
        &mut self,
        seconds: Seconds,
        rate: f64,
        time_to_first_token: impl Fn(ReplicaId) -> Seconds,
    ) {
        let mut pending: BTreeMap<AttemptKey, PendingAttempt> = BTreeMap::new();
        let mut due_requests = 0.0;
        let start = self.harnesses[0].now;
        while self.harnesses[0].now < start + seconds {
            due_requests += rate * TIMER_INTERVAL;
            let now = self.harnesses[0].now + TIMER_INTERVAL;
            for router in 0..ROUTERS {
                self.harnesses[router].now = now;
                let mut actions = self.harnesses[router].handle(Event::TimerFired);
                while due_requests >= 1.0 && self.last_request as usize % ROUTERS == router {
                    self.last_request += 1;
                    due_requests -= 1.0;
                    let request = incoming_request(self.last_request, 0, 0, 5.0);
                    actions.extend(self.harnesses[router].arrive(request));
                }
                self.record_attempts(router, &actions, &time_to_first_token, &mut pending);
            }
            while let Some(entry) = pending.first_entry() {
                if entry.key().at_micros > to_micros(now) {
                    break;
                }
                let (key, attempt) = entry.remove_entry();
                let actions = self.continue_attempt(key, &attempt, &mut pending);
                self.record_attempts(key.router, &actions, &time_to_first_token, &mut pending);
            }
        }
    }

    fn record_attempts(
        &mut self,
        router: usize,
        actions: &[Action],
        time_to_first_token: &impl Fn(ReplicaId) -> Seconds,
        pending: &mut BTreeMap<AttemptKey, PendingAttempt>,
    ) {
        for attempt in started_attempts(actions) {
            *self.sent.entry(attempt.replica).or_default() += 1;
            let time_to_first_token = time_to_first_token(attempt.replica);
            let key = AttemptKey {
                at_micros: to_micros(self.harnesses[router].now + time_to_first_token),
                router,
                request: attempt.request,
            };
            let attempt = PendingAttempt {
                time_to_first_token,
                has_first_token: false,
            };
            pending.insert(key, attempt);
        }
    }

    fn continue_attempt(
        &mut self,
        key: AttemptKey,
        attempt: &PendingAttempt,
        pending: &mut BTreeMap<AttemptKey, PendingAttempt>,
    ) -> Vec<Action> {
        let harness = &mut self.harnesses[key.router];
        if attempt.has_first_token {
            return harness.end_attempt(key.request, 0, AttemptOutcome::Completed, true);
        }
        let end = AttemptKey {
            at_micros: key.at_micros + ANSWER_TIME_MICROS,
            ..key
        };
        let streaming = PendingAttempt {
            time_to_first_token: attempt.time_to_first_token,
            has_first_token: true,
        };
        pending.insert(end, streaming);
        harness.handle(Event::FirstToken {
            request: RequestId(key.request),
            attempt: 0,
            elapsed: attempt.time_to_first_token,
        })
    }

    fn sent_to(&self, replicas: std::ops::Range<usize>) -> usize {
        replicas
            .map(|n| self.sent.get(&replica_id(n)).copied().unwrap_or(0))
            .sum()
    }
}

#[test]
fn starting_replica_gets_few_attempts_at_first() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.handle(Event::EndpointsChanged(vec![endpoint(
        1,
        EndpointState::Available,
        Some(100.0),
    )]));
    let mut to_starting = 0;
    for n in 0..60 {
        let sent = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
        for attempt in &sent {
            to_starting += usize::from(attempt.replica == replica_id(1));
            harness.first_token(attempt.request, 0.05);
            harness.end_attempt(attempt.request, 0, AttemptOutcome::Completed, true);
        }
        harness.advance(0.04);
    }
    assert!((1..=12).contains(&to_starting), "{to_starting} of 60");
}

/// Guards against a burst of first attempts from all routers at a newly started replica.
#[test]
fn routers_do_not_all_send_to_a_new_replica_at_once() {
    let mut sent = 0;
    for seed in 0..12 {
        let mut harness = SchedulerHarness::new(settings(), 1);
        let mut site = SchedulerSettings {
            router_count: 12,
            ..settings()
        };
        site.limits.allows_probes = false;
        harness.scheduler = Scheduler::new(site, seed).unwrap();
        harness.handle(Event::EndpointsReplaced(vec![endpoint(
            0,
            EndpointState::Available,
            None,
        )]));
        let started = harness.fill_capacity();
        harness.handle(Event::EndpointsChanged(vec![endpoint(
            1,
            EndpointState::Available,
            Some(100.0),
        )]));
        sent += started_attempts(&harness.advance(0.1)).len();
        assert!(started > 0);
    }
    assert!(
        sent <= 3,
        "{sent} of 12 routers sent an attempt within 0.1 s"
    );
}

/// Many routers must neither leave replicas in slow start idle, because each derives too low a rate from its own traffic,
/// nor overload them by sending at the same time.
#[test]
fn many_routers_together_use_the_slow_start_budget_without_exceeding_it() {
    let mut fleet = RouterFleet::new(16);
    fleet.run(10.0, 30.0, |_| 0.1);
    // Ten of the sixteen replicas are replaced. A replica handles two requests per second when warm, a tenth at its start.
    let start = fleet.harnesses[0].now;
    let removed = (0..10).map(|n| endpoint(n, EndpointState::Removed, None));
    let new = (16..26).map(|n| endpoint(n, EndpointState::Available, Some(start)));
    let changes: Vec<Endpoint> = removed.chain(new).collect();
    fleet.change_endpoints(&changes);
    // The remaining replicas are slow, so that requests wait for capacity.
    let time_to_first_token = |replica: ReplicaId| {
        if (10..16).any(|n| replica_id(n) == replica) {
            2.0
        } else {
            0.3
        }
    };
    fleet.run(1.0, 90.0, time_to_first_token);
    let max_sent = (16..26).map(|n| fleet.sent_to(n..n + 1)).max().unwrap();
    assert!(
        max_sent <= 3,
        "{max_sent} attempts at one starting replica in its first second"
    );
    fleet.run(9.0, 90.0, time_to_first_token);
    // Each of the ten replicas may get 2/s times its warm-up fraction, which grows from 0.1 to 0.55 in 10 s: 65 in total.
    let to_starting = fleet.sent_to(16..26);
    assert!((40..=72).contains(&to_starting), "{to_starting}");
}

/// A replica that was only slow must not be treated as restarted.
#[test]
fn slow_start_restarts_only_after_long_unresponsiveness() {
    for (unresponsive_for, stays_warm) in [(0.5, true), (4.0, false)] {
        let mut harness = SchedulerHarness::new(settings(), 2);
        let (before, to) = (
            harness.scheduler.gauges().concurrency_limit,
            started_attempts(&harness.arrive(incoming_request(1, 0, 0, 9.0)))[0].replica,
        );
        harness.advance(1.2);
        harness.advance(unresponsive_for);
        harness.handle(Event::ProbeEnded {
            replica: to,
            outcome: AttemptOutcome::Completed,
            report: None,
        });
        harness.advance(0.02);
        assert_eq!(
            harness.scheduler.gauges().concurrency_limit == before,
            stays_warm,
            "{unresponsive_for} s: {:?}",
            harness.scheduler.gauges()
        );
    }
}
