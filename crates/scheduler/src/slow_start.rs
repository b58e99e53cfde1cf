//! Slow start: a replica that has just started gets no more than a warm one bears, scaled by how far it has warmed up,
//! and never in a burst. All routers hear of a start at once, so each of them spends a budget of its own that fills with
//! time and cannot be saved up. `docs/glossary.md` explains the rule that this keeps.

use crate::budgets::BudgetLedger;
use crate::types::{BudgetKind, LifecycleRules, SchedulerSettings, Seconds, UNLIMITED_RATE};

/// A router that starts fewer attempts a second than this is idle.
const IDLE_ATTEMPT_RATE: f64 = 0.1;

/// A replica's slow start, as far as one router keeps it.
#[derive(Default)]
pub(crate) struct SlowStart {
    started_at: Option<Seconds>,
    /// Attempts that may still be sent during slow start; below zero while the budget is overdrawn.
    budget: f64,
}

impl SlowStart {
    /// Begins anew. `debt` is a random part of one attempt, so that routers that hear of a start together do not send
    /// their first attempts together.
    pub(crate) fn restart(&mut self, started_at: Option<Seconds>, debt: f64) {
        self.started_at = started_at;
        self.budget = -debt;
    }

    pub(crate) fn started_at(&self) -> Option<Seconds> {
        self.started_at
    }

    /// The part of its capacity, up to 1, that the site's rules promise of the replica now.
    pub(crate) fn warm_up_fraction(&self, rules: &LifecycleRules, now: Seconds) -> f64 {
        let started_at = self.started_at.filter(|_| rules.slow_start_duration > 0.0);
        let Some(started_at) = started_at else {
            return 1.0;
        };
        let initial = rules.slow_start_initial_fraction;
        (initial + (1.0 - initial) * (now - started_at) / rules.slow_start_duration).min(1.0)
    }

    pub(crate) fn is_warming_up(&self, rules: &LifecycleRules, now: Seconds) -> bool {
        self.warm_up_fraction(rules, now) < 1.0
    }

    pub(crate) fn has_budget(&self) -> bool {
        self.budget > 0.0
    }

    pub(crate) fn record_attempt(&mut self) {
        self.budget -= 1.0;
    }

    /// Adds what came in during `elapsed` at `rate` attempts a second for a warm replica. Nothing is saved up. What an
    /// idle router may send lapses: with a burst of traffic all idle routers would send it at once.
    pub(crate) fn refill(&mut self, fraction: f64, rate: f64, elapsed: Seconds, is_idle: bool) {
        let income = fraction * rate * elapsed;
        let lapsed = if is_idle && self.budget > 0.0 {
            1.0
        } else {
            0.0
        };
        self.budget = (self.budget + income).min(income) - lapsed;
    }
}

/// What the rate of the slow-start budget is derived from.
pub(crate) struct SlowStartTraffic {
    /// Attempts a second of this router.
    pub(crate) attempt_rate: f64,
    /// Replicas that have warmed up.
    pub(crate) warm_replica_count: usize,
    /// The most replicas that were available at once.
    pub(crate) max_available_replicas: usize,
}

impl SlowStartTraffic {
    pub(crate) fn is_idle(&self) -> bool {
        self.attempt_rate < IDLE_ATTEMPT_RATE
    }

    /// Attempts a second that one warm replica bears from this router: by the fleet's budget, else by what all tenants
    /// may send (among many routers the traffic of one tells little), else by this router's own traffic.
    pub(crate) fn rate_per_replica(
        &self,
        now: Seconds,
        settings: &SchedulerSettings,
        budgets: &BudgetLedger,
    ) -> f64 {
        if let Some(rate) = budgets.rate(now, BudgetKind::SlowStart) {
            return rate;
        }
        let allowed: f64 = settings
            .tenants
            .iter()
            .map(|tenant| tenant.rate_limit)
            .sum();
        if allowed > 0.0 && allowed < UNLIMITED_RATE {
            let parts = self.max_available_replicas.max(1) * settings.router_count;
            allowed / parts as f64
        } else {
            self.attempt_rate / self.warm_replica_count.max(1) as f64
        }
    }
}

#[cfg(test)]
mod tests;
