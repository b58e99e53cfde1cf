//! Token buckets and rates over time.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::interface::{BudgetDemand, BudgetGrant, BudgetGrants, BudgetKind, Seconds};
use std::collections::BTreeMap;

/// What is spent of a budget of the fleet: a bucket that starts empty, since a router that starts again and again must
/// not bring a burst along each time.
#[derive(Clone)]
struct Spending {
    budget: BudgetGrant,
    left: f64,
    at: Seconds,
    wanted: BudgetDemand,
}

impl Spending {
    fn fill(&mut self, now: Seconds) {
        (self.left, self.at) = (self.level(now), now.max(self.at));
    }
    fn level(&self, now: Seconds) -> f64 {
        let (b, now) = (self.budget, now.max(self.at));
        let shared = (now.min(b.expires_at) - self.at).max(0.0);
        (self.left + b.guaranteed_rate * (now - self.at) + b.rate * shared).min(self.most(now))
    }
    fn most(&self, now: Seconds) -> f64 {
        self.budget.guaranteed_burst
            + if now < self.budget.expires_at {
                self.budget.burst
            } else {
                0.0
            }
    }
}

/// What is spent of all budgets of the fleet. What has no budget may be spent.
#[derive(Clone, Default)]
pub struct BudgetLedger(BTreeMap<BudgetKind, Spending>);

impl BudgetLedger {
    /// What the fleet allows from now on.
    pub fn set_grants(&mut self, now: Seconds, allowed: &BudgetGrants) {
        self.0.retain(|what, _| allowed.contains_key(what));
        for (what, budget) in allowed {
            let fresh = Spending {
                budget: *budget,
                left: 0.0,
                at: now,
                wanted: BudgetDemand::default(),
            };
            let s = self.0.entry(*what).or_insert(fresh);
            // What has come in until now came in by the budget until now.
            s.fill(now);
            s.budget = *budget;
            s.fill(now);
        }
    }

    /// Whether a unit may be spent; then it is.
    pub fn request_unit(&mut self, now: Seconds, what: BudgetKind, worth: f64) -> bool {
        self.record_demand(what, 1.0, worth);
        self.spend_unit(now, what)
    }

    /// The same for a unit whose wish has been counted.
    pub fn spend_unit(&mut self, now: Seconds, what: BudgetKind) -> bool {
        let may = self.has_unit(now, what, 0.0);
        if let Some(s) = self.0.get_mut(&what).filter(|_| may) {
            s.fill(now);
            s.left -= 1.0;
        }
        may
    }

    /// Whether a unit may be spent and this part of what can be saved up is left behind it.
    pub fn has_unit(&self, now: Seconds, what: BudgetKind, reserve: f64) -> bool {
        let most = |s: &Spending| (s.most(now) - 1.0).max(0.0);
        self.0
            .get(&what)
            .is_none_or(|s| s.level(now) >= 1.0 + reserve * most(s))
    }

    /// So much of it is wanted, whoever decides about it.
    pub fn record_demand(&mut self, what: BudgetKind, units: f64, worth: f64) {
        if let Some(s) = self.0.get_mut(&what) {
            s.wanted.units += units;
            s.wanted.priority_weight += units * worth;
        }
    }

    /// Whether there is a budget for it.
    pub fn has_budget(&self, what: BudgetKind) -> bool {
        self.0.contains_key(&what)
    }

    /// Units a second that come in now.
    pub fn rate(&self, now: Seconds, what: BudgetKind) -> Option<f64> {
        let b = self.0.get(&what)?.budget;
        Some(if now < b.expires_at {
            b.guaranteed_rate + b.rate
        } else {
            b.guaranteed_rate
        })
    }

    /// What has been wanted since the start of what there are budgets for.
    pub fn demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.0.iter().map(|(what, s)| (*what, s.wanted)).collect()
    }
}

/// A token bucket that starts full.
#[derive(Clone, Default)]
pub(crate) struct Allowance {
    left: Option<f64>,
    at: Seconds,
}

impl Allowance {
    pub(crate) fn take(&mut self, now: Seconds, rate: f64, most: f64) -> bool {
        let left = self.left.map_or(most, |left| {
            if now > self.at {
                left + rate * (now - self.at)
            } else {
                left
            }
        });
        let left = left.min(most);
        (self.left, self.at) = (Some(if left >= 1.0 { left - 1.0 } else { left }), now);
        left >= 1.0
    }
}

/// An exponentially forgetting rate.
pub(crate) struct Rate {
    pub(crate) horizon: Seconds,
    pub(crate) value: f64,
    pub(crate) at: Seconds,
}

impl Rate {
    pub(crate) fn new(horizon: Seconds) -> Self {
        Rate {
            horizon,
            value: 0.0,
            at: 0.0,
        }
    }
    pub(crate) fn get(&self, now: Seconds) -> f64 {
        self.value * (-(now - self.at) / self.horizon).exp()
    }
    pub(crate) fn add(&mut self, now: Seconds, amount: f64) {
        self.value = self.get(now) + amount / self.horizon;
        self.at = now;
    }
}
