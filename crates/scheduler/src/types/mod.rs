//! The scheduler's interface as plain data: settings, events, actions and the types that they use.
//!
//! These types contain no decisions and no wire formats. Times are seconds on one monotonic clock. Classes, tenants, zones,
//! cells and host types are numbered from zero.

mod action;
mod budget;
mod endpoint;
mod event;
mod learned_state;
mod load_report;
mod request;
mod settings;

pub use action::Action;
pub use budget::{BudgetDemand, BudgetGrant, BudgetGrants, BudgetKind};
pub use endpoint::{Endpoint, EndpointListStatus, EndpointState, ReplicaId};
pub use event::{AttemptOutcome, Event};
pub use learned_state::{
    BatchSize, CacheHitRates, LearnedState, PrefillTime, ServiceTime, SessionRecord,
};
pub use load_report::LoadReport;
pub use request::{IncomingRequest, RequestId};
pub use settings::{
    CostWeights, DeduplicationScope, EndpointListMode, Idempotency, LifecycleRules,
    LoadReportSource, RequestClass, SchedulerSettings, SettingsError, SiteLimits, Tenant,
    UNLIMITED_RATE,
};

/// A point in time or a duration in seconds. A plain number because estimates multiply, divide and exponentiate times.
pub type Seconds = f64;
