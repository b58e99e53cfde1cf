//! Slow start: a newly started replica gets at most the attempts per second that a warm replica can handle, multiplied by
//! its warm-up fraction, and never a burst. All routers are notified of a start at the same time, so each of them has its
//! own budget for the replica, which is refilled with time and does not accumulate. `docs/glossary.md` explains the
//! underlying rule.

use crate::budgets::BudgetLedger;
use crate::types::{BudgetKind, LifecycleRules, SchedulerSettings, Seconds, UNLIMITED_RATE};

/// A router that starts fewer attempts per second than this is idle.
const IDLE_ATTEMPT_RATE: f64 = 0.1;

/// One router's slow-start state of a replica.
#[derive(Default)]
pub(crate) struct SlowStart {
    started_at: Option<Seconds>,
    /// Attempts that may still be sent during slow start; negative while overdrawn.
    budget: f64,
}

impl SlowStart {
    /// Restarts slow start. `debt` is a random fraction of one attempt, so that routers that are notified of a start at the
    /// same time do not send their first attempts at the same time.
    pub(crate) fn restart(&mut self, started_at: Option<Seconds>, debt: f64) {
        self.started_at = started_at;
        self.budget = -debt;
    }

    pub(crate) fn started_at(&self) -> Option<Seconds> {
        self.started_at
    }

    /// The fraction of its capacity, up to 1, that the replica has now according to the site's rules.
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

    /// Refills the budget for `elapsed`; `rate` is the attempts per second of a warm replica. The budget does not
    /// accumulate. The budget of an idle router expires, because otherwise all idle routers would spend their budgets at the
    /// same time when a burst of traffic arrives.
    pub(crate) fn refill(&mut self, fraction: f64, rate: f64, elapsed: Seconds, is_idle: bool) {
        let added = fraction * rate * elapsed;
        let expired = if is_idle && self.budget > 0.0 {
            1.0
        } else {
            0.0
        };
        self.budget = (self.budget + added).min(added) - expired;
    }
}

/// The traffic from which the rate of the slow-start budget is derived.
pub(crate) struct SlowStartTraffic {
    /// This router's attempts per second.
    pub(crate) attempt_rate: f64,
    /// Number of replicas that have finished slow start.
    pub(crate) warm_replica_count: usize,
    /// The largest number of replicas that were available at the same time.
    pub(crate) max_available_replicas: usize,
}

impl SlowStartTraffic {
    pub(crate) fn is_idle(&self) -> bool {
        self.attempt_rate < IDLE_ATTEMPT_RATE
    }

    /// Attempts per second that one warm replica can handle from this router. They are given by the fleet-wide budget.
    /// Without such a budget they are derived from the rate limits of all tenants, because with many routers the traffic of
    /// one of them is not representative. If the tenants are unlimited, they are derived from this router's own traffic.
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
            let divisor = self.max_available_replicas.max(1) * settings.router_count;
            allowed / divisor as f64
        } else {
            self.attempt_rate / self.warm_replica_count.max(1) as f64
        }
    }
}

#[cfg(test)]
mod tests;
