//! What a router is told of its site, at its start and when an operator changes it.

use super::{IncomingRequest, Seconds};

/// The settings of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// This router's number among its peers, from zero.
    pub router_index: usize,
    /// How many routers share the fleet of replicas.
    pub router_count: usize,
    /// The zone that this router stands in.
    pub zone: usize,
    /// The classes of requests; at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The priority weight of a request beyond its tenant's quota, as a part of its class's weight.
    pub over_quota_weight: f64,
    /// What the site allows.
    pub limits: SiteLimits,
    /// What the site charges.
    pub costs: CostWeights,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// The figures behind draining and slow start.
    pub lifecycle: LifecycleRules,
    /// How the endpoint list reaches this router.
    pub endpoint_list_mode: EndpointListMode,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// What one answer within the latency objective is worth.
    pub priority_weight: f64,
    /// The part of the weight that an answer after the objective still earns.
    pub late_weight: f64,
    /// The first token is wanted within this time.
    pub ttft_objective: Seconds,
    /// The objective grows by this much for each prompt token.
    pub ttft_objective_per_prompt_token: Seconds,
    /// Time wanted from one token of the answer to the next; infinite where none is set.
    pub inter_token_objective: Seconds,
    /// The objective grows by this many seconds for each second of the request's expected work.
    pub ttft_objective_per_work_second: f64,
    /// What repeating a request may do.
    pub idempotency: Idempotency,
    /// Answers are streams: their first token is seen.
    pub streaming: bool,
}

impl RequestClass {
    /// The time to first token wanted of one request: the class's, with what it grows by.
    pub fn ttft_objective_for(&self, request: &IncomingRequest) -> Seconds {
        let work = request
            .expected_work
            .filter(|work| work.is_finite())
            .map_or(0.0, |work| work.max(0.0));
        self.ttft_objective
            + self.ttft_objective_per_prompt_token * request.prompt_tokens as f64
            + self.ttft_objective_per_work_second * work
    }
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may be repeated at will.
    Idempotent,
    /// Repeats carry an idempotency key and are dropped by replicas that remember it.
    Keyed {
        /// The replicas that share one memory of keys.
        scope: DeduplicationScope,
        /// How long a key is remembered.
        retention: Seconds,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The replicas that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All replicas of the fleet.
    AllReplicas,
    /// The replicas of one zone.
    Zone,
    /// The replicas of one cell.
    Cell,
}

/// The rate limit of tenants that have none, in requests a second.
pub const UNLIMITED_RATE: f64 = 1e9;

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its part of the service; only the parts' ratios count.
    pub quota: f64,
    /// Requests a second, over all routers, that count as within its quota; [`UNLIMITED_RATE`] where none is set.
    pub rate_limit: f64,
}

/// What the site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLimits {
    /// Replicas may be probed.
    pub allows_probes: bool,
    /// Attempts may be cancelled.
    pub allows_cancellation: bool,
    /// Two attempts of one request may be in flight together.
    pub allows_hedging: bool,
    /// Attempts for one request, at least 1.
    pub max_attempts: usize,
    /// The longest `Retry-After` that clients heed; 0 where they heed none.
    pub max_retry_after: Seconds,
}

/// What the site charges, in answers of priority weight 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// For an attempt at a replica of another zone.
    pub cross_zone: f64,
    /// For a probe.
    pub probe: f64,
    /// For work that no client gets.
    pub waste: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With answers and with probes.
    Inline,
    /// With probes only.
    Probes,
    /// There are none.
    Off,
}

/// The figures behind draining and slow start.
#[derive(Clone, Debug, PartialEq)]
pub struct LifecycleRules {
    /// Attempts must have stopped this long after a replica was announced as draining.
    pub drain_grace: Seconds,
    /// A replica starts with this part of its capacity, or more.
    pub slow_start_initial_fraction: f64,
    /// It has its whole capacity after this long.
    pub slow_start_duration: Seconds,
    /// A replica in slow start fails above this many times its present capacity,
    pub overload_factor: f64,
    /// counted over this long.
    pub overload_window: Seconds,
    /// An endpoint list that is polled must be asked for at least this often.
    pub poll_interval: Seconds,
}

/// How the endpoint list reaches a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Changes arrive by themselves.
    Pushed,
    /// Only after [`Action::WatchEndpoints`](super::Action::WatchEndpoints).
    Polled,
}

/// Settings that cannot be worked with.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The router's number is not below the number of routers.
    #[error("settings: router {index} of {count}")]
    RouterOutOfRange {
        /// The router's number.
        index: usize,
        /// The number of routers.
        count: usize,
    },
    /// There is no class of requests.
    #[error("settings: no classes")]
    NoClasses,
    /// A figure is negative or not finite.
    #[error("settings: {0} where a finite figure of 0 or more is needed")]
    InvalidFigure(f64),
    /// The quotas of all tenants are 0.
    #[error("settings: tenant shares sum to 0")]
    NoQuotas,
    /// Requests may have no attempt.
    #[error("settings: max_attempts is 0")]
    NoAttempts,
    /// The endpoint list is polled, but no interval is set.
    #[error("settings: ask_every is 0 where the list must be asked for")]
    NoPollInterval,
}

impl SchedulerSettings {
    /// Checks what the types leave open.
    ///
    /// # Errors
    /// There must be at least one class, all figures must be finite and 0 or more, and limits that divide or bound
    /// something must be above 0.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.router_count == 0 || self.router_index >= self.router_count {
            return Err(SettingsError::RouterOutOfRange {
                index: self.router_index,
                count: self.router_count,
            });
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(figure) = self.figures().find(|x| !x.is_finite() || *x < 0.0) {
            return Err(SettingsError::InvalidFigure(figure));
        }
        let quotas: f64 = self.tenants.iter().map(|tenant| tenant.quota).sum();
        if !self.tenants.is_empty() && quotas <= 0.0 {
            return Err(SettingsError::NoQuotas);
        }
        if self.limits.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        if self.endpoint_list_mode == EndpointListMode::Polled
            && self.lifecycle.poll_interval <= 0.0
        {
            return Err(SettingsError::NoPollInterval);
        }
        Ok(())
    }

    /// All figures that must be finite and 0 or more.
    fn figures(&self) -> impl Iterator<Item = f64> + '_ {
        let class_figures = self.classes.iter().flat_map(RequestClass::figures);
        let tenant_figures = self
            .tenants
            .iter()
            .flat_map(|tenant| [tenant.quota, tenant.rate_limit]);
        let site_figures = [
            self.lifecycle.drain_grace,
            self.lifecycle.slow_start_initial_fraction,
            self.lifecycle.slow_start_duration,
            self.lifecycle.overload_factor,
            self.lifecycle.overload_window,
            self.lifecycle.poll_interval,
            self.costs.cross_zone,
            self.costs.probe,
            self.costs.waste,
            self.over_quota_weight,
            self.limits.max_retry_after,
        ];
        class_figures.chain(tenant_figures).chain(site_figures)
    }
}

impl RequestClass {
    fn figures(&self) -> [f64; 6] {
        let retention = match self.idempotency {
            Idempotency::Keyed { retention, .. } => retention,
            Idempotency::Idempotent | Idempotency::NonIdempotent => 0.0,
        };
        [
            self.priority_weight,
            self.late_weight,
            self.ttft_objective,
            self.ttft_objective_per_prompt_token,
            self.ttft_objective_per_work_second,
            retention,
        ]
    }
}
