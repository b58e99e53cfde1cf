//! One router's view of the budgets that all routers of a fleet share.

use super::Seconds;
use std::collections::BTreeMap;

/// The kinds of fleet-wide budgets, by what they are spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetKind {
    /// Attempts of a request after its earlier ones have ended without an answer.
    Retries,
    /// Second attempts that are sent while the first attempt of a request is overdue.
    HedgedAttempts,
    /// Probes of replicas.
    Probes,
    /// Attempts at replicas in other zones.
    CrossZone,
    /// Attempts at a replica in slow start; the budget applies to each such replica.
    SlowStart,
    /// Polls of the endpoint list.
    Discovery,
    /// Requests that count as within the quota of the tenant at this position in the settings.
    Tenant(usize),
}

/// One router's share of a fleet-wide budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetGrant {
    /// Units per second in addition to the guaranteed rate, until the grant expires.
    pub rate: f64,
    /// Units that may accumulate in addition to the guaranteed burst, until the grant expires.
    pub burst: f64,
    /// Units per second that are available without a valid grant.
    pub guaranteed_rate: f64,
    /// Units that may accumulate without a valid grant.
    pub guaranteed_burst: f64,
    /// When the grant expires; from then on only the guaranteed rate and burst apply.
    pub expires_at: Seconds,
}

/// One router's grants from all fleet-wide budgets. A kind that is missing has no fleet-wide budget; only the router's own
/// limits apply to it.
pub type BudgetGrants = BTreeMap<BudgetKind, BudgetGrant>;

/// Units that a router has requested from a budget since its first grant, whether or not they were available.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetDemand {
    /// Number of units; fractions are possible.
    pub units: f64,
    /// Sum of the units, each weighted by the priority weight of its request.
    pub priority_weight: f64,
}
