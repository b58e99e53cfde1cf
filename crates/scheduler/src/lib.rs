//! Routing decisions for fleets of language-model servers.
//!
//! A [`Scheduler`] decides which queued request is dispatched next and to which replica, which requests are rejected early,
//! and how failures are handled. It does no input or output and reads no clock: the embedding program passes [`Event`]s with
//! monotonic timestamps and carries out the returned [`Action`]s. Given the same events, times and seed, a scheduler returns
//! the same actions.
//!
//! The module `scheduler` defines the order in which the rules apply to an event; each rule has its own module.
//! `docs/architecture.md` shows how the scheduler fits into the node.
//!
//! ```
//! use poppykeel_scheduler::{
//!     Action, CostWeights, Endpoint, EndpointListMode, EndpointState, Event, Idempotency, IncomingRequest,
//!     LifecycleRules, LoadReportSource, ReplicaId, RequestClass, RequestId, Scheduler,
//!     SchedulerSettings, SettingsError, SiteLimits,
//! };
//!
//! # fn main() -> Result<(), SettingsError> {
//! let class = RequestClass {
//!     priority_weight: 1.0,
//!     late_weight: 0.0,
//!     ttft_objective: 1.0,
//!     ttft_objective_per_prompt_token: 40e-6,
//!     inter_token_objective: 0.06,
//!     ttft_objective_per_work_second: 0.0,
//!     idempotency: Idempotency::Idempotent,
//!     streaming: true,
//! };
//! let settings = SchedulerSettings {
//!     router_index: 0,
//!     router_count: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     tenants: vec![],
//!     over_quota_weight: 1.0,
//!     limits: SiteLimits {
//!         allows_probes: true,
//!         allows_cancellation: true,
//!         allows_hedging: false,
//!         max_attempts: 3,
//!         max_retry_after: 2.0,
//!     },
//!     costs: CostWeights::default(),
//!     load_report_source: LoadReportSource::Inline,
//!     lifecycle: LifecycleRules {
//!         drain_grace: 0.5,
//!         slow_start_initial_fraction: 0.1,
//!         slow_start_duration: 20.0,
//!         overload_factor: 3.0,
//!         overload_window: 2.0,
//!         poll_interval: 10.0,
//!     },
//!     endpoint_list_mode: EndpointListMode::Pushed,
//! };
//! let mut scheduler = Scheduler::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let id = ReplicaId("10.0.0.1:8000".parse().unwrap());
//! let endpoint = Endpoint {
//!     id,
//!     zone: 0,
//!     cell: 0,
//!     host_type: 0,
//!     state: EndpointState::Available,
//!     capacity_weight: None,
//!     started_at: None,
//! };
//! scheduler.handle_event(0.0, Event::EndpointsReplaced(vec![endpoint]), &mut actions);
//! let request = IncomingRequest {
//!     id: RequestId(1),
//!     class: 0,
//!     tenant: 0,
//!     session: None,
//!     shared_prefix: None,
//!     time_left: 5.0,
//!     expected_work: None,
//!     prompt_tokens: 900,
//!     shared_prefix_tokens: 0,
//!     max_output_tokens: 200,
//!     is_client_retry: false,
//! };
//! scheduler.handle_event(0.1, Event::RequestArrived(request), &mut actions);
//! assert!(actions
//!     .iter()
//!     .any(|action| matches!(action, Action::StartAttempt { replica, .. } if *replica == id)));
//! # Ok(())
//! # }
//! ```

mod admission;
mod affinity;
mod attempt;
mod budgets;
mod concurrency;
mod endpoint_confirmation;
mod endpoint_poll;
mod fair_queue;
mod fleet_view;
mod hedging;
mod host_types;
mod latency_estimate;
mod outlier_detection;
mod placement;
mod prompt_cache;
mod rendezvous;
mod replica;
mod replicas;
mod request;
mod retry;
mod scheduler;
mod slow_start;
mod statistics;
mod time;
mod types;

#[cfg(test)]
mod tests;

pub use budgets::BudgetLedger;
pub use endpoint_confirmation::max_write_start_delay;
pub use scheduler::{DispatchWork, ReplicaHealthStatus, Scheduler, SchedulerGauges};
pub use types::*;
