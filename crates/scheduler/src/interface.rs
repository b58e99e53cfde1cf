//! The project's own interface: settings, events and actions as plain types.
//!
//! Nothing here decides anything and nothing here knows a wire format. Times are seconds on one clock that
//! never runs backwards; classes, tenants, zones and cells are positions counted from zero.

#![expect(
    clippy::doc_markdown,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A point in time or a span, in seconds.
pub type Seconds = f64;

/// A request, as the embedding program numbers it. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A replica: one language-model server, named by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub SocketAddr);

/// What a router is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// This router's number among its peers, from zero.
    pub router_index: usize,
    /// How many routers share the fleet.
    pub router_count: usize,
    /// The zone this router stands in.
    pub zone: usize,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's share is worth, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// What the site allows.
    pub limits: SiteLimits,
    /// What the site charges.
    pub costs: CostWeights,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// The figures behind drains and cold starts.
    pub lifecycle: LifecycleRules,
    /// How the list of replicas is learned.
    pub endpoint_list_mode: EndpointListMode,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Worth of one answer inside the aim.
    pub priority_weight: f64,
    /// The part of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// First token wanted within this time.
    pub ttft_objective: Seconds,
    /// The aim grows by this much for each prompt token.
    pub ttft_objective_per_prompt_token: Seconds,
    /// Time wanted from one token of the answer to the next; infinite where none is wanted.
    pub inter_token_objective: Seconds,
    /// The aim grows by this many times the request's expected work.
    pub ttft_objective_per_work_second: f64,
    /// What repeating a request may do.
    pub idempotency: Idempotency,
    /// Answers are streams: their first token is seen.
    pub streaming: bool,
}

impl RequestClass {
    /// The aim of one request: the class's, and what it grows by for prompt tokens and expected work.
    pub fn ttft_objective_for(&self, arrival: &IncomingRequest) -> Seconds {
        let work = arrival
            .expected_work
            .filter(|w| w.is_finite())
            .map_or(0.0, |w| w.max(0.0));
        self.ttft_objective
            + self.ttft_objective_per_prompt_token * arrival.prompt_tokens as f64
            + self.ttft_objective_per_work_second * work
    }
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// May be repeated at will.
    Idempotent,
    /// Repeats are dropped inside one group of replicas, for as long as they remember.
    Keyed {
        scope: DeduplicationScope,
        retention: Seconds,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The replicas that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    AllReplicas,
    Zone,
    Cell,
}

/// The allowance of tenants that have none.
pub const UNLIMITED_RATE: f64 = 1e9;

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its part of the service; parts are compared with each other.
    pub quota: f64,
    /// Requests a second, over all routers, that count as within its share; [`UNLIMITED_RATE`] where none is set.
    pub rate_limit: f64,
}

/// What the site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLimits {
    pub allows_probes: bool,
    pub allows_cancellation: bool,
    /// Two attempts of one request may be out together.
    pub allows_hedging: bool,
    /// Attempts for one request, at least 1.
    pub max_attempts: usize,
    /// The longest advice to stay away that clients heed; 0 where they heed none.
    pub max_retry_after: Seconds,
}

/// What the site charges, in parts of the service per unit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostWeights {
    pub cross_zone: f64,
    pub probe: f64,
    pub waste: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With outcomes and with probes.
    Inline,
    /// With probes only.
    Probes,
    Off,
}

/// The figures behind drains and cold starts.
#[derive(Clone, Debug, PartialEq)]
pub struct LifecycleRules {
    /// Sends must have stopped this long after a drain was learned.
    pub drain_grace: Seconds,
    /// A replica starts at this part of its capacity or higher ...
    pub slow_start_initial_fraction: f64,
    /// ... and is warm after this long.
    pub slow_start_duration: Seconds,
    /// A cold replica falls over above this many times its present capacity ...
    pub overload_factor: f64,
    /// ... over this long.
    pub overload_window: Seconds,
    /// An asked list must be asked for at least this often.
    pub poll_interval: Seconds,
}

/// How the list of replicas is learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Changes arrive by themselves.
    Pushed,
    /// Only after [`Action::WatchEndpoints`].
    Polled,
}

/// One entry of a list of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub id: ReplicaId,
    pub zone: usize,
    pub cell: usize,
    /// What kind of machine it is; equal numbers are alike.
    pub host_type: usize,
    pub state: EndpointState,
    /// Its size compared with others', where the list gives one that does not change with load.
    pub capacity_weight: Option<f64>,
    /// When it last started, if that was seen.
    pub started_at: Option<Seconds>,
}

/// What the list says of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Available,
    Draining,
    Removed,
}

/// A load report. What a site does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Prompt tokens waiting to be read.
    pub queued_prompt_tokens: Option<f64>,
    /// The share of memory held by running requests.
    pub memory_utilization: Option<f64>,
    /// Requests the replica holds, running or waiting.
    pub requests_held: Option<f64>,
    /// Requests waiting there for a place in the batch.
    pub requests_queued: Option<f64>,
    /// Prompt tokens of this answer that the replica found kept.
    pub cached_prompt_tokens: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    /// The session; its next prompt begins with this one.
    pub session: Option<u64>,
    /// The beginning shared with other sessions.
    pub shared_prefix: Option<u64>,
    /// Time until the client gives up this try.
    pub time_left: Seconds,
    /// Expected work, where it is told.
    pub expected_work: Option<Seconds>,
    pub prompt_tokens: u64,
    pub shared_prefix_tokens: u64,
    /// The most tokens the answer may have.
    pub max_output_tokens: u64,
    /// The client marked it as a repeat of an earlier try.
    pub is_client_retry: bool,
}

/// This router's part of a budget of the whole fleet, in units and units a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetGrant {
    /// Its share, beside the floor, until then.
    pub rate: f64,
    /// The share's part of what may be spent at once.
    pub burst: f64,
    /// What it may spend with no share.
    pub guaranteed_rate: f64,
    /// And at once.
    pub guaranteed_burst: f64,
    /// The share's end.
    pub expires_at: Seconds,
}

/// What a budget of the whole fleet is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetKind {
    /// Attempts after a request's first.
    Retries,
    /// Second copies of requests that are overdue.
    HedgedAttempts,
    /// Questions to replicas how they are.
    Probes,
    /// Sends to replicas of other zones.
    CrossZone,
    /// Sends to each replica that is cold: the budget is that of one.
    SlowStart,
    /// Calls for the list of replicas.
    Discovery,
    /// Requests of a tenant that count as within its share.
    Tenant(usize),
}

/// What the fleet allows; where there is no budget the router's own limits alone hold.
pub type BudgetGrants = BTreeMap<BudgetKind, BudgetGrant>;

/// What has been wanted of a budget since the start, got or not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetDemand {
    /// Units.
    pub units: f64,
    /// What they were worth together.
    pub priority_weight: f64,
}

/// What a router has learned, for the process that takes its place. Replicas and kinds are named as in its settings.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedState {
    /// Requests that it has been learned from.
    pub requests_seen: u64,
    /// Mean cost of a request.
    pub mean_request_cost: f64,
    /// Mean times to the first token and to the end.
    pub mean_time_to_first_token: Seconds,
    pub mean_service_time: Seconds,
    /// Cost released, and attempts sent, a second.
    pub dispatched_cost_rate: f64,
    pub attempt_rate: f64,
    /// Requests that may be out, for each warm replica.
    pub concurrency_per_replica: f64,
    /// By kind: first tokens seen and their mean logarithm of pace, time that answers hold a place, places in a batch.
    pub prefill_times: Vec<(usize, f64, f64)>,
    pub service_times: Vec<(usize, Seconds)>,
    pub batch_sizes: Vec<(usize, f64)>,
    /// The parts of prompts that were found kept.
    pub cache_hit_rates: [f64; 3],
    pub tokens_per_work_second: Option<f64>,
    pub mean_queued_tokens: f64,
    /// Sessions, where their last turn went, and the prompt tokens read there; the oldest first.
    pub sessions: Vec<(u64, SocketAddr, f64)>,
}

impl LearnedState {
    /// Whether all figures are such as a router may have learned: what comes from outside may be anything.
    pub fn is_plausible(&self) -> bool {
        let figures = [
            self.mean_request_cost,
            self.mean_time_to_first_token,
            self.mean_service_time,
            self.dispatched_cost_rate,
            self.attempt_rate,
            self.concurrency_per_replica,
        ];
        let kinds = self
            .service_times
            .iter()
            .chain(&self.batch_sizes)
            .map(|k| k.1);
        let rest = kinds
            .chain(self.cache_hit_rates)
            .chain(self.tokens_per_work_second)
            .chain([self.mean_queued_tokens]);
        let all = figures
            .into_iter()
            .chain(rest)
            .chain(self.sessions.iter().map(|p| p.2));
        let sound = |x: f64| (0.0..=1e9).contains(&x);
        let paces = self
            .prefill_times
            .iter()
            .all(|p| sound(p.1) && (-30.0..=30.0).contains(&p.2));
        paces
            && all.into_iter().all(sound)
            && self.mean_service_time > 0.0
            && self.cache_hit_rates.iter().all(|k| *k <= 1.0)
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed,
    ServerError,
    AtCapacity,
    TimedOut,
    ConnectFailed,
    ConnectionReset,
    Cancelled,
    /// Never sent.
    NotSent,
    /// The replica finds the request itself at fault: any other would say the same.
    InvalidRequest,
}

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole list; what it lacks is gone.
    EndpointsReplaced(Vec<Endpoint>),
    /// Changed entries only.
    EndpointsChanged(Vec<Endpoint>),
    /// Asking failed or the subscription broke.
    EndpointListFailed,
    RequestArrived(IncomingRequest),
    /// The first token came; the request has no deadline from here on.
    FirstToken {
        request: RequestId,
        attempt: usize,
        elapsed: Seconds,
    },
    /// Exactly one for each attempt. `last` where the request is finished.
    AttemptEnded {
        request: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        is_request_finished: bool,
        report: Option<LoadReport>,
    },
    /// The client left; nothing more is owed.
    ClientDisconnected(RequestId),
    ProbeEnded {
        replica: ReplicaId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    },
    /// Another router of the fleet tries ejected replicas for all; it is still at it, or found this one well.
    OutlierAdvice {
        replica: ReplicaId,
        is_healthy: bool,
    },
    /// The timer of [`Action::SetTimer`].
    TimerFired,
}

/// What a router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; attempts of a request count from zero.
    StartAttempt {
        request: RequestId,
        replica: ReplicaId,
        timeout: Seconds,
    },
    /// Final: turned away, a retry does no harm.
    Reject {
        request: RequestId,
        retry_after: Seconds,
    },
    /// Final: failed, with no promise.
    Fail {
        request: RequestId,
    },
    /// Stop waiting for one attempt.
    CancelAttempt {
        request: RequestId,
        attempt: usize,
    },
    Probe {
        replica: ReplicaId,
    },
    /// Ask for the list and its changes from now on.
    WatchEndpoints,
    /// Send [`Event::TimerFired`] after so long.
    SetTimer {
        after: Seconds,
    },
}

/// SchedulerSettings that cannot be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl SchedulerSettings {
    /// Checks what the types leave open: at least one class, finite figures, limits above zero.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |text: String| Err(SettingsError(text));
        if self.router_count == 0 || self.router_index >= self.router_count {
            return bad(format!(
                "router {} of {}",
                self.router_index, self.router_count
            ));
        }
        if self.classes.is_empty() {
            return bad("no classes".into());
        }
        let class_figures = self.classes.iter().flat_map(|c| {
            let memory = if let Idempotency::Keyed {
                retention: memory, ..
            } = c.idempotency
            {
                memory
            } else {
                0.0
            };
            [
                c.priority_weight,
                c.late_weight,
                c.ttft_objective,
                c.ttft_objective_per_prompt_token,
                c.ttft_objective_per_work_second,
                memory,
            ]
        });
        let tenant_figures = self.tenants.iter().flat_map(|t| [t.quota, t.rate_limit]);
        let (r, p) = (&self.lifecycle, &self.costs);
        let figures = [
            r.drain_grace,
            r.slow_start_initial_fraction,
            r.slow_start_duration,
            r.overload_factor,
            r.overload_window,
            r.poll_interval,
        ];
        let others = [
            p.cross_zone,
            p.probe,
            p.waste,
            self.over_quota_weight,
            self.limits.max_retry_after,
        ];
        let mut all = class_figures
            .chain(tenant_figures)
            .chain(figures)
            .chain(others);
        if let Some(x) = all.find(|x| !x.is_finite() || *x < 0.0) {
            return bad(format!("{x} where a finite figure of 0 or more is needed"));
        }
        if !self.tenants.is_empty() && self.tenants.iter().map(|t| t.quota).sum::<f64>() <= 0.0 {
            return bad("tenant shares sum to 0".into());
        }
        if self.limits.max_attempts == 0 {
            return bad("max_attempts is 0".into());
        }
        if self.endpoint_list_mode == EndpointListMode::Polled && r.poll_interval <= 0.0 {
            return bad("ask_every is 0 where the list must be asked for".into());
        }
        Ok(())
    }
}
