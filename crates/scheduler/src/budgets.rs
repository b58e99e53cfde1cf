//! Token buckets for the quotas of tenants and for the fleet-wide budgets.

use crate::types::{
    BudgetDemand, BudgetGrant, BudgetGrants, BudgetKind, SchedulerSettings, Seconds, Tenant,
};
use std::collections::BTreeMap;

/// Minimum burst of a tenant's local quota, in requests. The burst is otherwise as many requests as the quota allows in one
/// second, which can be less than one at a single router.
const MIN_QUOTA_BURST: f64 = 8.0;
/// A tenant's rate at one router is its rate limit, divided by the number of routers, times this factor, because clients are
/// not spread evenly over routers and zones.
const QUOTA_SLACK: f64 = 1.3;

/// A token bucket that starts full. Rate and depth are parameters of each call because they may change.
#[derive(Clone, Default)]
pub(crate) struct TokenBucket {
    /// The tokens at `updated_at`; `None` before the first call, when the bucket is full.
    level: Option<f64>,
    updated_at: Seconds,
}

impl TokenBucket {
    /// Takes a token if one is available; `rate` is in tokens per second.
    pub(crate) fn try_take(&mut self, now: Seconds, rate: f64, depth: f64) -> bool {
        let level = match self.level {
            None => depth,
            Some(level) if now > self.updated_at => level + rate * (now - self.updated_at),
            Some(level) => level,
        };
        let level = level.min(depth);
        let has_token = level >= 1.0;
        self.level = Some(if has_token { level - 1.0 } else { level });
        self.updated_at = now;
        has_token
    }
}

/// This router's local quotas of the tenants, for tenants without a fleet-wide budget.
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Creates at least one bucket, because without configured tenants all requests belong to tenant 0.
    pub(crate) fn new(settings: &SchedulerSettings) -> Self {
        let count = settings.tenants.len().max(1);
        TenantQuotas {
            buckets: vec![TokenBucket::default(); count],
        }
    }

    /// Maps a tenant that is not in the settings to the last tenant.
    pub(crate) fn position(&self, tenant: usize) -> usize {
        tenant.min(self.buckets.len() - 1)
    }

    /// Takes a request from this tenant's quota; returns false if the quota is used up. A fleet-wide budget, if there is
    /// one, replaces the router's local quota.
    pub(crate) fn try_take(
        &mut self,
        now: Seconds,
        tenant: usize,
        settings: &SchedulerSettings,
        budgets: &mut BudgetLedger,
    ) -> bool {
        let kind = BudgetKind::Tenant(tenant);
        let local_rate =
            |tenant: &Tenant| tenant.rate_limit * QUOTA_SLACK / settings.router_count as f64;
        let local = settings
            .tenants
            .get(tenant)
            .filter(|_| !budgets.has_budget(kind));
        let rate = local.map_or(f64::INFINITY, local_rate);
        budgets.request_unit(now, kind, 1.0)
            && self.buckets[tenant].try_take(now, rate, rate.max(MIN_QUOTA_BURST))
    }
}

/// This router's account of one fleet-wide budget: a bucket that starts empty, so that a router that restarts repeatedly
/// does not get a burst each time.
#[derive(Clone)]
struct BudgetAccount {
    grant: BudgetGrant,
    level: f64,
    updated_at: Seconds,
    demand: BudgetDemand,
}

impl BudgetAccount {
    fn new(now: Seconds, grant: BudgetGrant) -> Self {
        BudgetAccount {
            grant,
            level: 0.0,
            updated_at: now,
            demand: BudgetDemand::default(),
        }
    }

    fn refill(&mut self, now: Seconds) {
        self.level = self.level_at(now);
        self.updated_at = now.max(self.updated_at);
    }

    fn level_at(&self, now: Seconds) -> f64 {
        let grant = self.grant;
        let now = now.max(self.updated_at);
        let granted_time = (now.min(grant.expires_at) - self.updated_at).max(0.0);
        let guaranteed = grant.guaranteed_rate * (now - self.updated_at);
        let level = self.level + guaranteed + grant.rate * granted_time;
        level.min(self.depth_at(now))
    }

    /// The maximum level of the bucket at this time, in units.
    fn depth_at(&self, now: Seconds) -> f64 {
        let is_granted = now < self.grant.expires_at;
        self.grant.guaranteed_burst + if is_granted { self.grant.burst } else { 0.0 }
    }
}

/// This router's accounts of all fleet-wide budgets. A kind without a budget is unlimited.
#[derive(Clone, Default)]
pub struct BudgetLedger(BTreeMap<BudgetKind, BudgetAccount>);

impl BudgetLedger {
    /// Replaces the grants at `now`. A kind that is missing is no longer limited, and its demand is forgotten.
    pub fn set_grants(&mut self, now: Seconds, grants: &BudgetGrants) {
        self.0.retain(|kind, _| grants.contains_key(kind));
        for (kind, grant) in grants {
            let account = self.0.entry(*kind);
            let account = account.or_insert_with(|| BudgetAccount::new(now, *grant));
            // The previous grant applies to the time before `now`; the second refill limits the level to the new depth.
            account.refill(now);
            account.grant = *grant;
            account.refill(now);
        }
    }

    /// Records the demand for a unit and spends one if available; returns whether it was available. A kind without a budget
    /// always has a unit.
    pub fn request_unit(&mut self, now: Seconds, kind: BudgetKind, priority_weight: f64) -> bool {
        self.record_demand(kind, 1.0, priority_weight);
        self.spend_unit(now, kind)
    }

    /// Spends a unit if available, without recording demand; returns whether it was available. A kind without a budget
    /// always has a unit.
    pub fn spend_unit(&mut self, now: Seconds, kind: BudgetKind) -> bool {
        let has_unit = self.has_unit(now, kind, 0.0);
        if has_unit {
            if let Some(account) = self.0.get_mut(&kind) {
                account.refill(now);
                account.level -= 1.0;
            }
        }
        has_unit
    }

    /// Whether a unit can be spent without using the reserve, which is `reserved_fraction`, from 0 to 1, of the bucket's
    /// depth less that unit. Always true for a kind without a budget.
    pub fn has_unit(&self, now: Seconds, kind: BudgetKind, reserved_fraction: f64) -> bool {
        self.0.get(&kind).is_none_or(|account| {
            let reservable = (account.depth_at(now) - 1.0).max(0.0);
            account.level_at(now) >= 1.0 + reserved_fraction * reservable
        })
    }

    /// Records the demand for units without spending any. Ignored for a kind without a budget.
    pub fn record_demand(&mut self, kind: BudgetKind, units: f64, priority_weight: f64) {
        if let Some(account) = self.0.get_mut(&kind) {
            account.demand.units += units;
            account.demand.priority_weight += units * priority_weight;
        }
    }

    /// Whether the fleet limits this kind by a budget.
    pub fn has_budget(&self, kind: BudgetKind) -> bool {
        self.0.contains_key(&kind)
    }

    /// The current refill rate in units per second; `None` if the kind has no budget.
    pub fn rate(&self, now: Seconds, kind: BudgetKind) -> Option<f64> {
        let grant = self.0.get(&kind)?.grant;
        Some(if now < grant.expires_at {
            grant.guaranteed_rate + grant.rate
        } else {
            grant.guaranteed_rate
        })
    }

    /// The demand since the budget was first granted, for each kind that has a budget.
    pub fn demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        let accounts = self.0.iter();
        accounts
            .map(|(kind, account)| (*kind, account.demand))
            .collect()
    }
}

#[cfg(test)]
mod tests;
