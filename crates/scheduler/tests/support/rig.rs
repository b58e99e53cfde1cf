//! The decision module on a bench of its own: hand-made events in, actions out.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_scheduler::interface::*;
use poppykeel_scheduler::Scheduler;

pub fn class(worth: f64, effect: Idempotency) -> RequestClass {
    RequestClass {
        priority_weight: worth,
        late_weight: 0.0,
        ttft_objective: 1.0,
        ttft_objective_per_prompt_token: 40e-6,
        inter_token_objective: 0.06,
        ttft_objective_per_work_second: 0.0,
        idempotency: effect,
        streaming: true,
    }
}

pub fn settings() -> SchedulerSettings {
    SchedulerSettings {
        router_index: 0,
        router_count: 1,
        zone: 0,
        classes: vec![
            class(5.0, Idempotency::Idempotent),
            class(1.0, Idempotency::Idempotent),
            class(1.0, Idempotency::NonIdempotent),
        ],
        tenants: vec![
            Tenant {
                quota: 0.5,
                rate_limit: 1e9,
            },
            Tenant {
                quota: 0.5,
                rate_limit: 1e9,
            },
        ],
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

pub fn replica(n: usize) -> ReplicaId {
    ReplicaId(format!("10.0.0.{}:80", n + 1).parse().unwrap())
}

pub fn listing(n: usize, state: EndpointState, born: Option<Seconds>) -> Endpoint {
    Endpoint {
        id: replica(n),
        zone: n % 2,
        cell: n % 2,
        host_type: 0,
        state,
        capacity_weight: None,
        started_at: born,
    }
}

pub fn request(n: u64, class: usize, tenant: usize, time_left: Seconds) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(n),
        class,
        tenant,
        session: Some(n),
        shared_prefix: None,
        time_left,
        expected_work: None,
        prompt_tokens: 800,
        shared_prefix_tokens: 0,
        max_output_tokens: 200,
        is_client_retry: false,
    }
}

/// A router with `replicas` warm replicas, its time and its last actions.
pub struct Rig {
    pub brain: Scheduler,
    pub now: Seconds,
    pub last: Vec<Action>,
    /// What the pool can have grown to: by one, or by a twenty-fifth, with each first token and each end.
    pub pool: f64,
}

impl Rig {
    pub fn new(settings: SchedulerSettings, replicas: usize) -> Rig {
        let mut rig = Rig {
            brain: Scheduler::new(settings, 1).unwrap(),
            now: 100.0,
            last: vec![],
            pool: 8.0 * replicas as f64,
        };
        rig.tell(Event::EndpointsReplaced(
            (0..replicas)
                .map(|n| listing(n, EndpointState::Available, None))
                .collect(),
        ));
        rig
    }
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.brain.handle_event(self.now, event, &mut out);
        self.last = out.clone();
        out
    }
    pub fn wait(&mut self, seconds: Seconds) -> Vec<Action> {
        let end = self.now + seconds;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 0.02;
            all.extend(self.tell(Event::TimerFired));
        }
        all
    }
    pub fn end(
        &mut self,
        n: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        last: bool,
    ) -> Vec<Action> {
        self.tell(Event::AttemptEnded {
            request: RequestId(n),
            attempt,
            outcome,
            is_request_finished: last,
            report: None,
        })
    }
    pub fn start(&mut self, n: u64, elapsed: Seconds) {
        self.tell(Event::FirstToken {
            request: RequestId(n),
            attempt: 0,
            elapsed,
        });
    }
    /// Fills every window with requests numbered from 1000.
    pub fn fill(&mut self) -> u64 {
        let mut n = 1000;
        while sends(&self.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))).len() == 1 {
            n += 1;
        }
        n - 1000
    }
}

pub fn sends(actions: &[Action]) -> Vec<(u64, ReplicaId)> {
    let send = |a: &Action| match a {
        Action::StartAttempt {
            request, replica, ..
        } => Some((request.0, *replica)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn answers(actions: &[Action]) -> Vec<u64> {
    let answer = |a: &Action| match a {
        Action::Reject { request, .. } | Action::Fail { request } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}
