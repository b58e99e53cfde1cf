//! Property tests with random but valid sequences of events: each request gets exactly one answer in time, draining replicas
//! get no attempts, attempts stay within their limits, and the same events give the same actions.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, AttemptOutcome, DeduplicationScope, EndpointState, Event, Idempotency, ReplicaId,
    RequestId, Seconds,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use support::{endpoint, incoming_request, replica_id, settings, SchedulerHarness, TIMER_INTERVAL};

const REPLICAS: usize = 4;
/// The time for which replicas recognise repeats of keyed requests.
const RETENTION: Seconds = 1.0;
/// The time by which a stall of the process may delay a write.
const MAX_PROCESS_STALL: Seconds = 0.15;
/// Tolerance of comparisons of times.
const TOLERANCE: Seconds = 1e-9;
/// Possible outcomes of attempts without a first token.
const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::Completed,
    AttemptOutcome::ServerError,
    AttemptOutcome::AtCapacity,
    AttemptOutcome::ConnectionReset,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::NotSent,
];
/// Possible outcomes of streaming attempts.
const STREAM_OUTCOMES: [AttemptOutcome; 2] =
    [AttemptOutcome::Completed, AttemptOutcome::ConnectionReset];

/// One step of a sequence. Requests and attempts are given by their position among the existing ones; a step with too large
/// a position has no effect.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        class: usize,
        tenant: usize,
        time_left_ms: u16,
    },
    /// Position of an attempt in flight.
    FirstToken(usize),
    EndAttempt {
        /// Position of an attempt in flight.
        attempt: usize,
        outcome: usize,
    },
    Disconnect(usize),
    DrainReplica(usize),
    ReturnReplica(usize),
    RestartReplica(usize),
    /// Number of timer intervals.
    Advance(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let arrive =
        (0..3usize, 0..2usize, 1..4000u16).prop_map(|(class, tenant, time_left_ms)| Step::Arrive {
            class,
            tenant,
            time_left_ms,
        });
    let end_attempt = (0..50usize, 0..7usize)
        .prop_map(|(attempt, outcome)| Step::EndAttempt { attempt, outcome });
    let step = prop_oneof![
        4 => arrive,
        3 => (0..50usize).prop_map(Step::FirstToken),
        4 => end_attempt,
        1 => (0..50usize).prop_map(Step::Disconnect),
        1 => (0..REPLICAS).prop_map(Step::DrainReplica),
        1 => (0..REPLICAS).prop_map(Step::ReturnReplica),
        1 => (0..REPLICAS).prop_map(Step::RestartReplica),
        4 => (1..30u8).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..200)
}

struct InFlight {
    request: u64,
    number: usize,
    is_streaming: bool,
}

/// When an attempt of a keyed request may be written.
#[derive(Clone, Copy)]
struct WritePeriod {
    number: usize,
    start: Seconds,
    end: Seconds,
}

/// The environment of a scheduler: generates valid events and checks every action.
struct Environment {
    harness: SchedulerHarness,
    allows_hedging: bool,
    max_attempts: usize,
    /// Requests without a complete answer, and the times by which each needs its first token or another answer.
    open: BTreeMap<u64, Seconds>,
    in_flight: Vec<InFlight>,
    /// Number of attempts started so far, by request.
    attempt_counts: BTreeMap<u64, usize>,
    /// The attempts of keyed requests that may have run, by request.
    write_periods: BTreeMap<u64, Vec<WritePeriod>>,
    draining: BTreeSet<ReplicaId>,
    last_request: u64,
    actions: Vec<Action>,
}

impl Environment {
    fn new(allows_hedging: bool) -> Environment {
        let mut site = settings();
        site.limits.allows_hedging = allows_hedging;
        site.classes[1].idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::Zone,
            retention: RETENTION,
        };
        Environment {
            max_attempts: site.limits.max_attempts,
            harness: SchedulerHarness::new(site, REPLICAS),
            allows_hedging,
            open: BTreeMap::new(),
            in_flight: Vec::new(),
            attempt_counts: BTreeMap::new(),
            write_periods: BTreeMap::new(),
            draining: BTreeSet::new(),
            last_request: 0,
            actions: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.harness.handle(event);
        for action in &actions {
            self.check(action);
        }
        self.actions.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                replica,
                write_timeout,
                ..
            } => {
                self.check_write_period(request.0, *write_timeout);
                self.check_attempt(request.0, *replica);
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let was_open = self.open.remove(&request.0).is_some();
                assert!(was_open, "a second answer for {request:?}");
            }
            _ => {}
        }
    }

    /// Each two attempts of a keyed request are written within the retention, however late their connections are established.
    fn check_write_period(&mut self, request: u64, write_timeout: Option<Seconds>) {
        let Some(write_timeout) = write_timeout else {
            return;
        };
        let start = self.harness.now;
        let new = WritePeriod {
            number: self.attempt_counts.get(&request).copied().unwrap_or(0),
            start,
            end: start + write_timeout,
        };
        let periods = self.write_periods.entry(request).or_default();
        for other in periods.iter() {
            let longest_distance = (new.end - other.start).max(other.end - new.start);
            assert!(
                longest_distance + MAX_PROCESS_STALL <= RETENTION + TOLERANCE,
                "attempts {} and {} of request {request} may be written {longest_distance} s apart",
                other.number,
                new.number
            );
        }
        periods.push(new);
    }

    fn check_attempt(&mut self, request: u64, replica: ReplicaId) {
        let is_open = self.open.contains_key(&request);
        assert!(is_open, "an attempt of a request that has its answer");
        let is_draining = self.draining.contains(&replica);
        assert!(!is_draining, "an attempt at a draining replica");
        let has_no_other_attempt = self
            .in_flight
            .iter()
            .all(|attempt| attempt.request != request);
        assert!(
            self.allows_hedging || has_no_other_attempt,
            "two attempts in flight without hedging"
        );
        let count = self.attempt_counts.entry(request).or_default();
        self.in_flight.push(InFlight {
            request,
            number: *count,
            is_streaming: false,
        });
        let in_flight = self.in_flight.len();
        let limit = self.harness.max_concurrency;
        assert!(
            in_flight as f64 <= limit,
            "{in_flight} attempts in flight, the limit is {limit}"
        );
        *count += 1;
        assert!(*count <= self.max_attempts);
    }

    /// Raises the bound of the concurrency limit after a first token or the end of an attempt.
    fn raise_max_concurrency(&mut self) {
        let limit = self.harness.max_concurrency;
        self.harness.max_concurrency = (limit + 1.0).max(limit * 1.04);
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Arrive {
                class,
                tenant,
                time_left_ms,
            } => self.arrive(*class, *tenant, f64::from(*time_left_ms) / 1000.0),
            Step::FirstToken(position) => self.first_token(*position),
            Step::EndAttempt { attempt, outcome } => self.end_attempt(*attempt, *outcome),
            Step::Disconnect(position) => self.disconnect(*position),
            Step::DrainReplica(number) => {
                self.draining.insert(replica_id(*number));
                self.change_endpoint(*number, EndpointState::Draining, None);
            }
            Step::ReturnReplica(number) => {
                self.draining.remove(&replica_id(*number));
                self.change_endpoint(*number, EndpointState::Available, None);
            }
            Step::RestartReplica(number) => {
                self.draining.remove(&replica_id(*number));
                let started_at = Some(self.harness.now);
                self.change_endpoint(*number, EndpointState::Available, started_at);
            }
            Step::Advance(intervals) => self.advance(*intervals),
        }
    }

    fn arrive(&mut self, class: usize, tenant: usize, time_left: Seconds) {
        self.last_request += 1;
        let number = self.last_request;
        self.open.insert(number, self.harness.now + time_left);
        let request = incoming_request(number, class, tenant, time_left);
        self.handle(Event::RequestArrived(request));
    }

    fn first_token(&mut self, position: usize) {
        let Some(attempt) = self.in_flight.get_mut(position) else {
            return;
        };
        if attempt.is_streaming || !self.open.contains_key(&attempt.request) {
            return;
        }
        attempt.is_streaming = true;
        self.open.insert(attempt.request, f64::INFINITY);
        let event = Event::FirstToken {
            request: RequestId(attempt.request),
            attempt: attempt.number,
            elapsed: 0.1,
        };
        self.raise_max_concurrency();
        self.handle(event);
    }

    fn end_attempt(&mut self, position: usize, outcome: usize) {
        if position >= self.in_flight.len() {
            return;
        }
        let attempt = self.in_flight.remove(position);
        self.raise_max_concurrency();
        let outcome = if attempt.is_streaming {
            STREAM_OUTCOMES[outcome % STREAM_OUTCOMES.len()]
        } else {
            OUTCOMES[outcome % OUTCOMES.len()]
        };
        let has_not_run = matches!(
            outcome,
            AttemptOutcome::AtCapacity | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        if let Some(periods) = self.write_periods.get_mut(&attempt.request) {
            periods.retain(|period| !has_not_run || period.number != attempt.number);
        }
        let is_request_finished = outcome == AttemptOutcome::Completed
            || attempt.is_streaming
            || !self.open.contains_key(&attempt.request);
        if is_request_finished {
            self.open.remove(&attempt.request);
        }
        self.handle(Event::AttemptEnded {
            request: RequestId(attempt.request),
            attempt: attempt.number,
            outcome,
            is_request_finished,
            report: None,
        });
    }

    fn disconnect(&mut self, position: usize) {
        let Some(request) = self.open.keys().nth(position).copied() else {
            return;
        };
        self.open.remove(&request);
        self.handle(Event::ClientDisconnected(RequestId(request)));
    }

    fn change_endpoint(
        &mut self,
        number: usize,
        state: EndpointState,
        started_at: Option<Seconds>,
    ) {
        let endpoint = endpoint(number, state, started_at);
        self.handle(Event::EndpointsChanged(vec![endpoint]));
    }

    fn advance(&mut self, intervals: u8) {
        for _ in 0..intervals {
            self.harness.now += TIMER_INTERVAL;
            self.handle(Event::TimerFired);
            let now = self.harness.now;
            let late = self
                .open
                .iter()
                .find(|(_, until)| **until + TOLERANCE < now);
            assert!(late.is_none(), "no answer in time: {late:?} at {now}");
        }
    }
}

/// Runs a sequence and checks every action; returns all actions.
fn run(steps: &[Step], allows_hedging: bool) -> Vec<Action> {
    let mut environment = Environment::new(allows_hedging);
    for step in steps {
        environment.apply(step);
    }
    environment.actions
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_events_keep_the_invariants(steps in steps(), allows_hedging in any::<bool>()) {
        let actions = run(&steps, allows_hedging);
        prop_assert_eq!(actions, run(&steps, allows_hedging));
    }
}
