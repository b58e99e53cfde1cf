//! Token buckets: the quotas of tenants, and the budgets that the routers of a fleet share.

use crate::types::{
    BudgetDemand, BudgetGrant, BudgetGrants, BudgetKind, SchedulerSettings, Seconds, Tenant,
};
use std::collections::BTreeMap;

/// A tenant's requests may be saved up to this many, or one second's: its part at one router may be below one.
const MIN_QUOTA_BURST: f64 = 8.0;
/// A tenant's even part at one router is widened by this, since clients are not spread evenly over routers and zones.
const QUOTA_SLACK: f64 = 1.3;

/// A token bucket that starts full. Rate and depth are given with each use, since they may change.
#[derive(Clone, Default)]
pub(crate) struct TokenBucket {
    /// `None` before the first use.
    level: Option<f64>,
    updated_at: Seconds,
}

impl TokenBucket {
    /// Takes a token if there is one; `rate` is in tokens a second.
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

/// The quotas of the tenants at this router, where the fleet has no budget for them.
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// At least one bucket: at a site without tenants all requests are of the tenant 0.
    pub(crate) fn new(settings: &SchedulerSettings) -> Self {
        let count = settings.tenants.len().max(1);
        TenantQuotas {
            buckets: vec![TokenBucket::default(); count],
        }
    }

    /// The position of a tenant; a position that the settings lack counts as the last one.
    pub(crate) fn position(&self, tenant: usize) -> usize {
        tenant.min(self.buckets.len() - 1)
    }

    /// Whether a request of this tenant is within its quota, which it then uses. A budget of the fleet, where there is
    /// one, takes the place of the router's own part.
    pub(crate) fn try_take(
        &mut self,
        now: Seconds,
        tenant: usize,
        settings: &SchedulerSettings,
        budgets: &mut BudgetLedger,
    ) -> bool {
        let kind = BudgetKind::Tenant(tenant);
        let local_part =
            |tenant: &Tenant| tenant.rate_limit * QUOTA_SLACK / settings.router_count as f64;
        let local = settings
            .tenants
            .get(tenant)
            .filter(|_| !budgets.has_budget(kind));
        let rate = local.map_or(f64::INFINITY, local_part);
        budgets.request_unit(now, kind, 1.0)
            && self.buckets[tenant].try_take(now, rate, rate.max(MIN_QUOTA_BURST))
    }
}

/// What is spent of one budget of the fleet: a bucket that starts empty, since a router that starts again and again must
/// not bring a burst along each time.
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
        level.min(self.depth(now))
    }

    fn depth(&self, now: Seconds) -> f64 {
        let is_granted = now < self.grant.expires_at;
        self.grant.guaranteed_burst + if is_granted { self.grant.burst } else { 0.0 }
    }
}

/// What is spent of all budgets of the fleet. What has no budget may be spent.
#[derive(Clone, Default)]
pub struct BudgetLedger(BTreeMap<BudgetKind, BudgetAccount>);

impl BudgetLedger {
    /// Takes what the fleet grants from now on; budgets that are not among the grants are dropped.
    pub fn set_grants(&mut self, now: Seconds, grants: &BudgetGrants) {
        self.0.retain(|kind, _| grants.contains_key(kind));
        for (kind, grant) in grants {
            let account = self.0.entry(*kind);
            let account = account.or_insert_with(|| BudgetAccount::new(now, *grant));
            // What has come in until now came in by the grant until now.
            account.refill(now);
            account.grant = *grant;
            account.refill(now);
        }
    }

    /// Counts the demand for a unit and spends it where there is one; returns whether it may be used.
    pub fn request_unit(&mut self, now: Seconds, kind: BudgetKind, priority_weight: f64) -> bool {
        self.record_demand(kind, 1.0, priority_weight);
        self.spend_unit(now, kind)
    }

    /// Spends a unit whose demand has been counted before; returns whether it may be used.
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

    /// Whether a unit may be spent so that this part, from 0 to 1, of what can be saved up is left behind it.
    pub fn has_unit(&self, now: Seconds, kind: BudgetKind, reserved_part: f64) -> bool {
        self.0.get(&kind).is_none_or(|account| {
            let reservable = (account.depth(now) - 1.0).max(0.0);
            account.level_at(now) >= 1.0 + reserved_part * reservable
        })
    }

    /// Counts the demand for units, whoever decides about them.
    pub fn record_demand(&mut self, kind: BudgetKind, units: f64, priority_weight: f64) {
        if let Some(account) = self.0.get_mut(&kind) {
            account.demand.units += units;
            account.demand.priority_weight += units * priority_weight;
        }
    }

    /// Whether there is a budget of this kind.
    pub fn has_budget(&self, kind: BudgetKind) -> bool {
        self.0.contains_key(&kind)
    }

    /// Units a second that come in now.
    pub fn rate(&self, now: Seconds, kind: BudgetKind) -> Option<f64> {
        let grant = self.0.get(&kind)?.grant;
        Some(if now < grant.expires_at {
            grant.guaranteed_rate + grant.rate
        } else {
            grant.guaranteed_rate
        })
    }

    /// What has been asked for since the start, for each kind that has a budget.
    pub fn demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        let accounts = self.0.iter();
        accounts
            .map(|(kind, account)| (*kind, account.demand))
            .collect()
    }
}

#[cfg(test)]
mod tests;
