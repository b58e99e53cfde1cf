//! Budgets that all routers of a fleet share, as far as they reach one router.

use super::Seconds;
use std::collections::BTreeMap;

/// What a budget of the whole fleet is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetKind {
    /// Attempts after a request's first.
    Retries,
    /// Hedged attempts of requests that are overdue.
    HedgedAttempts,
    /// Probes of replicas.
    Probes,
    /// Attempts at replicas of other zones.
    CrossZone,
    /// Attempts at each replica in slow start: the budget is that of one replica.
    SlowStart,
    /// Polls of the endpoint list.
    Discovery,
    /// Requests of the tenant at this position that count as within its quota.
    Tenant(usize),
}

/// One router's part of a budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetGrant {
    /// Units a second, beside the guaranteed rate, until the grant expires.
    pub rate: f64,
    /// Units that may be saved up, beside the guaranteed burst, until the grant expires.
    pub burst: f64,
    /// Units a second that hold with no grant.
    pub guaranteed_rate: f64,
    /// Units that may be saved up with no grant.
    pub guaranteed_burst: f64,
    /// When the grant expires.
    pub expires_at: Seconds,
}

/// What the fleet grants a router; where a kind has no budget the router's own limits alone hold.
pub type BudgetGrants = BTreeMap<BudgetKind, BudgetGrant>;

/// What has been asked of a budget since the start, granted or not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetDemand {
    /// Units.
    pub units: f64,
    /// The sum over these units of their requests' priority weights.
    pub priority_weight: f64,
}
