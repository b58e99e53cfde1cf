//! Settings of a router, given at its start and when an operator changes them.

use super::{IncomingRequest, Seconds};

/// The settings of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// This router's number among all routers, from zero.
    pub router_index: usize,
    /// Number of routers that share the fleet of replicas.
    pub router_count: usize,
    /// The zone in which this router runs.
    pub zone: usize,
    /// The classes of requests; at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants; if empty, all requests belong to tenant 0, which has no rate limit of its own.
    pub tenants: Vec<Tenant>,
    /// The priority weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Restrictions that the site imposes on its routers.
    pub limits: SiteLimits,
    /// Costs that placement takes into account.
    pub costs: CostWeights,
    /// How load reports are obtained.
    pub load_report_source: LoadReportSource,
    /// Parameters of draining, slow start and polling.
    pub lifecycle: LifecycleRules,
    /// How the endpoint list reaches this router.
    pub endpoint_list_mode: EndpointListMode,
}

/// The weights, objectives and retry rules that all requests of a class share.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The value of an answer within the latency objective.
    pub priority_weight: f64,
    /// The value of an answer after the latency objective, as a fraction of the priority weight.
    pub late_weight: f64,
    /// Target for the time to first token (TTFT) of an empty prompt.
    pub ttft_objective: Seconds,
    /// Increase of the TTFT objective for each prompt token.
    pub ttft_objective_per_prompt_token: Seconds,
    /// Target for the time between tokens of the answer; infinite if there is none.
    pub inter_token_objective: Seconds,
    /// Increase of the TTFT objective, in seconds, for each second of expected work.
    pub ttft_objective_per_work_second: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Answers are streamed, so their first token can be observed.
    pub streaming: bool,
}

impl RequestClass {
    /// The TTFT objective of one request: the base value plus the increases for its prompt and its expected work.
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

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A request may run any number of times.
    Idempotent,
    /// Repeats carry an idempotency key and are dropped by replicas that have stored it.
    Keyed {
        /// The replicas that share one store of keys.
        scope: DeduplicationScope,
        /// How long a key is stored.
        retention: Seconds,
    },
    /// A request must never run twice.
    NonIdempotent,
}

/// The set of replicas that deduplicate requests together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All replicas of the fleet.
    AllReplicas,
    /// The replicas of one zone.
    Zone,
    /// The replicas of one cell.
    Cell,
}

/// The rate limit of tenants for which no limit is configured, in requests per second.
pub const UNLIMITED_RATE: f64 = 1e9;

/// The guaranteed share and the rate limit of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its share of the service; only the ratios between tenants matter.
    pub quota: f64,
    /// Requests per second, over all routers, that count as within its quota; [`UNLIMITED_RATE`] if none is set.
    pub rate_limit: f64,
}

/// Restrictions that a site imposes on its routers.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLimits {
    /// Replicas may be probed.
    pub allows_probes: bool,
    /// Attempts may be cancelled.
    pub allows_cancellation: bool,
    /// Two attempts of one request may be in flight at the same time.
    pub allows_hedging: bool,
    /// Maximum number of attempts for one request, at least 1.
    pub max_attempts: usize,
    /// The longest `Retry-After` that clients respect; 0 if they ignore it.
    pub max_retry_after: Seconds,
}

/// Costs relative to the value of one answer of priority weight 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// Cost of an attempt at a replica in another zone.
    pub cross_zone: f64,
    /// Cost of a probe.
    pub probe: f64,
    /// Cost of work whose result reaches no client.
    pub waste: f64,
}

/// How load reports are obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Replicas send load reports with answers to requests and to probes.
    Inline,
    /// Replicas send load reports with answers to probes only.
    Probes,
    /// Replicas send no load reports.
    Off,
}

/// Parameters of draining, slow start and polling, equal for all replicas of the site.
#[derive(Clone, Debug, PartialEq)]
pub struct LifecycleRules {
    /// No attempt may be sent to a replica later than this after it was announced as draining.
    pub drain_grace: Seconds,
    /// The fraction of its capacity that a replica has at least when it starts.
    pub slow_start_initial_fraction: f64,
    /// Time after which a started replica has its full capacity.
    pub slow_start_duration: Seconds,
    /// A replica in slow start fails when it gets more than this multiple of its current capacity.
    pub overload_factor: f64,
    /// The time window over which [`LifecycleRules::overload_factor`] applies.
    pub overload_window: Seconds,
    /// The longest interval between polls of a polled endpoint list.
    pub poll_interval: Seconds,
}

/// How the endpoint list reaches a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Discovery pushes changes; the router does not poll.
    Pushed,
    /// The list arrives only after [`Action::WatchEndpoints`](super::Action::WatchEndpoints).
    Polled,
}

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The router's number is not below the number of routers.
    #[error("settings: router index {index} is not below the router count {count}")]
    RouterOutOfRange {
        /// The router's number.
        index: usize,
        /// The number of routers.
        count: usize,
    },
    /// There is no request class.
    #[error("settings: no request class")]
    NoClasses,
    /// This number, one of the settings, is negative or not finite.
    #[error("settings: {0} is not a finite number of 0 or more")]
    InvalidNumber(f64),
    /// The quotas of all tenants are 0.
    #[error("settings: the shares of all tenants are 0")]
    NoQuotas,
    /// [`SiteLimits::max_attempts`] is 0, so no request could be sent.
    #[error("settings: the maximum number of attempts is 0")]
    NoAttempts,
    /// The endpoint list is polled, but the poll interval is 0.
    #[error("settings: the poll interval is 0, but the endpoint list must be polled")]
    NoPollInterval,
}

impl SchedulerSettings {
    /// Checks the constraints that the types do not express.
    ///
    /// # Errors
    /// The router index is not below the router count, there is no class, a number is negative or not finite, the quotas of
    /// all tenants are 0, no attempt is allowed, or the endpoint list must be polled at an interval of 0.
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
        if let Some(number) = self.numbers().find(|x| !x.is_finite() || *x < 0.0) {
            return Err(SettingsError::InvalidNumber(number));
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

    /// All numbers that must be finite and 0 or more.
    fn numbers(&self) -> impl Iterator<Item = f64> + '_ {
        let class_numbers = self.classes.iter().flat_map(RequestClass::numbers);
        let tenant_numbers = self
            .tenants
            .iter()
            .flat_map(|tenant| [tenant.quota, tenant.rate_limit]);
        let site_numbers = [
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
        class_numbers.chain(tenant_numbers).chain(site_numbers)
    }
}

impl RequestClass {
    fn numbers(&self) -> [f64; 6] {
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
