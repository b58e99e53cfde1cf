//! Shared test support: default settings, endpoints and requests, and a harness that runs a scheduler with simulated time.

#![allow(dead_code, reason = "each test file uses only some of the items")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_scheduler::{
    Action, AttemptOutcome, CostWeights, Endpoint, EndpointListMode, EndpointState, Event,
    Idempotency, IncomingRequest, LifecycleRules, LoadReport, LoadReportSource, ReplicaId,
    RequestClass, RequestId, Scheduler, SchedulerSettings, Seconds, SiteLimits, Tenant,
    UNLIMITED_RATE,
};

/// The interval of the scheduler's timer.
pub const TIMER_INTERVAL: Seconds = 0.02;
/// Number of the first request that [`SchedulerHarness::fill_capacity`] sends.
pub const FIRST_FILLING_REQUEST: u64 = 1000;

pub fn request_class(priority_weight: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        priority_weight,
        late_weight: 0.0,
        ttft_objective: 1.0,
        ttft_objective_per_prompt_token: 40e-6,
        inter_token_objective: 0.06,
        ttft_objective_per_work_second: 0.0,
        idempotency,
        streaming: true,
    }
}

/// One router; class 0 has the highest priority, class 2 is not idempotent; two tenants without a rate limit.
pub fn settings() -> SchedulerSettings {
    let tenant = Tenant {
        quota: 0.5,
        rate_limit: UNLIMITED_RATE,
    };
    SchedulerSettings {
        router_index: 0,
        router_count: 1,
        zone: 0,
        classes: vec![
            request_class(5.0, Idempotency::Idempotent),
            request_class(1.0, Idempotency::Idempotent),
            request_class(1.0, Idempotency::NonIdempotent),
        ],
        tenants: vec![tenant.clone(), tenant],
        over_quota_weight: 0.1,
        limits: SiteLimits {
            allows_probes: true,
            allows_cancellation: true,
            allows_hedging: false,
            max_attempts: 4,
            max_retry_after: 2.0,
        },
        costs: CostWeights::default(),
        load_report_source: LoadReportSource::Inline,
        lifecycle: LifecycleRules {
            drain_grace: 0.5,
            slow_start_initial_fraction: 0.1,
            slow_start_duration: 20.0,
            overload_factor: 3.0,
            overload_window: 2.0,
            poll_interval: 10.0,
        },
        endpoint_list_mode: EndpointListMode::Pushed,
    }
}

pub fn replica_id(number: usize) -> ReplicaId {
    ReplicaId(format!("10.0.0.{}:80", number + 1).parse().unwrap())
}

/// Replicas with even numbers are in zone and cell 0, the others in zone and cell 1.
pub fn endpoint(number: usize, state: EndpointState, started_at: Option<Seconds>) -> Endpoint {
    Endpoint {
        id: replica_id(number),
        zone: number % 2,
        cell: number % 2,
        host_type: 0,
        state,
        capacity_weight: None,
        started_at,
    }
}

/// `count` endpoints numbered from 0, all available and warm.
pub fn available_endpoints(count: usize) -> Vec<Endpoint> {
    let numbers = 0..count;
    numbers
        .map(|number| endpoint(number, EndpointState::Available, None))
        .collect()
}

/// A request with its own session.
pub fn incoming_request(
    number: u64,
    class: usize,
    tenant: usize,
    time_left: Seconds,
) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(number),
        class,
        tenant,
        session: Some(number),
        shared_prefix: None,
        time_left,
        expected_work: None,
        prompt_tokens: 800,
        shared_prefix_tokens: 0,
        max_output_tokens: 200,
        is_client_retry: false,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedAttempt {
    pub request: u64,
    pub replica: ReplicaId,
}

pub fn started_attempts(actions: &[Action]) -> Vec<StartedAttempt> {
    let started = |action: &Action| match action {
        Action::StartAttempt {
            request, replica, ..
        } => Some(StartedAttempt {
            request: request.0,
            replica: *replica,
        }),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

/// The requests that get a final answer from the router.
pub fn answered_requests(actions: &[Action]) -> Vec<u64> {
    let answered = |action: &Action| match action {
        Action::Reject { request, .. } | Action::Fail { request } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(answered).collect()
}

pub fn probed_replicas(actions: &[Action]) -> Vec<ReplicaId> {
    let probed = |action: &Action| match action {
        Action::Probe { replica } => Some(*replica),
        _ => None,
    };
    actions.iter().filter_map(probed).collect()
}

/// A scheduler with simulated time and its last actions.
pub struct SchedulerHarness {
    pub scheduler: Scheduler,
    pub now: Seconds,
    pub last_actions: Vec<Action>,
    /// Upper bound of the concurrency limit, which can grow by one or by 4 % with each first token and each end of an
    /// attempt.
    pub max_concurrency: f64,
}

impl SchedulerHarness {
    /// Creates a scheduler with this many warm replicas.
    pub fn new(settings: SchedulerSettings, replicas: usize) -> SchedulerHarness {
        SchedulerHarness::with_seed(settings, 1, replicas)
    }

    pub fn with_seed(settings: SchedulerSettings, seed: u64, replicas: usize) -> SchedulerHarness {
        let mut harness = SchedulerHarness {
            scheduler: Scheduler::new(settings, seed).unwrap(),
            now: 100.0,
            last_actions: vec![],
            max_concurrency: 8.0 * replicas as f64,
        };
        harness.handle(Event::EndpointsReplaced(available_endpoints(replicas)));
        harness
    }

    /// One of 100 routers for four replicas: feedback is sparse, so it probes replicas before it starts attempts.
    pub fn among_many_routers() -> SchedulerHarness {
        let settings = SchedulerSettings {
            router_count: 100,
            ..settings()
        };
        SchedulerHarness::new(settings, 4)
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle_event(self.now, event, &mut actions);
        self.last_actions.clone_from(&actions);
        actions
    }

    pub fn arrive(&mut self, request: IncomingRequest) -> Vec<Action> {
        self.handle(Event::RequestArrived(request))
    }

    /// Advances the time in steps of the timer interval, each with a timer event; returns all actions.
    pub fn advance(&mut self, seconds: Seconds) -> Vec<Action> {
        let end = self.now + seconds;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += TIMER_INTERVAL;
            actions.extend(self.handle(Event::TimerFired));
        }
        actions
    }

    pub fn end_attempt(
        &mut self,
        request: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        is_request_finished: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request: RequestId(request),
            attempt,
            outcome,
            is_request_finished,
            report: None,
        })
    }

    /// Passes the first token of a request's first attempt to the scheduler.
    pub fn first_token(&mut self, request: u64, elapsed: Seconds) {
        self.handle(Event::FirstToken {
            request: RequestId(request),
            attempt: 0,
            elapsed,
        });
    }

    /// Completes the first attempt of a request, with this many prompt tokens found in the cache.
    pub fn complete_with_cached_tokens(&mut self, request: u64, cached: f64) {
        self.first_token(request, 0.05);
        let report = LoadReport {
            cached_prompt_tokens: Some(cached),
            ..LoadReport::default()
        };
        self.handle(Event::AttemptEnded {
            request: RequestId(request),
            attempt: 0,
            outcome: AttemptOutcome::Completed,
            is_request_finished: true,
            report: Some(report),
        });
    }

    /// Passes a replica's answer to a probe, with this load, to the scheduler.
    pub fn report_load(
        &mut self,
        replica: ReplicaId,
        queued_tokens: f64,
        memory: f64,
    ) -> Vec<Action> {
        let report = LoadReport {
            queued_prompt_tokens: Some(queued_tokens),
            memory_utilization: Some(memory),
            ..LoadReport::default()
        };
        self.handle(Event::ProbeEnded {
            replica,
            outcome: AttemptOutcome::Completed,
            report: Some(report),
        })
    }

    /// Sends requests until one gets no attempt and stays queued; returns the number of requests with an attempt.
    pub fn fill_capacity(&mut self) -> u64 {
        let mut number = FIRST_FILLING_REQUEST;
        loop {
            let actions = self.arrive(incoming_request(number, 0, 0, 30.0));
            if started_attempts(&actions).len() != 1 {
                return number - FIRST_FILLING_REQUEST;
            }
            number += 1;
        }
    }
}

/// The answer of a replica without queued prompt tokens to a probe. The report contains the requests held (if `held` is not
/// `None`) and the requests queued.
pub fn held_requests_report(replica: ReplicaId, held: Option<f64>, queued: f64) -> Event {
    let report = LoadReport {
        queued_prompt_tokens: Some(0.0),
        requests_held: held,
        requests_queued: Some(queued),
        ..LoadReport::default()
    };
    Event::ProbeEnded {
        replica,
        outcome: AttemptOutcome::Completed,
        report: Some(report),
    }
}
