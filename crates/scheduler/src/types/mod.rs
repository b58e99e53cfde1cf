//! The scheduler's interface: settings, events, actions and what goes with them, as plain data.
//!
//! Nothing here decides anything and nothing here knows a wire format. Times are seconds on one clock that never runs
//! backwards; classes, tenants, zones, cells and host types are positions counted from zero.

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

/// A point in time or a span, in seconds. Estimates multiply, divide and exponentiate times, so they are plain numbers.
pub type Seconds = f64;
