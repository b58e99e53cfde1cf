//! Settings shared by the unit tests of this crate.

use crate::types::{
    CostWeights, EndpointListMode, Idempotency, LifecycleRules, LoadReportSource, RequestClass,
    SchedulerSettings, SiteLimits, Tenant, UNLIMITED_RATE,
};

fn class(priority_weight: f64) -> RequestClass {
    RequestClass {
        priority_weight,
        late_weight: 0.0,
        ttft_objective: 1.0,
        ttft_objective_per_prompt_token: 0.0,
        inter_token_objective: 0.06,
        ttft_objective_per_work_second: 0.0,
        idempotency: Idempotency::Idempotent,
        streaming: true,
    }
}

/// One router, two classes with priority weights 5 and 1, two tenants without a rate limit.
pub(crate) fn settings() -> SchedulerSettings {
    let tenant = Tenant {
        quota: 0.5,
        rate_limit: UNLIMITED_RATE,
    };
    SchedulerSettings {
        router_index: 0,
        router_count: 1,
        zone: 0,
        classes: vec![class(5.0), class(1.0)],
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
