//! Token buckets and rates over time.

use crate::interface::{Budget, Seconds};

/// What is spent of a budget of the fleet: a bucket that starts empty, since a router that starts again and again must
/// not bring a burst along each time. Without a budget all may be spent.
#[derive(Clone, Default)]
pub(crate) struct Spending {
    pub(crate) budget: Option<Budget>,
    left: f64,
    at: Seconds,
    /// Asked for since the start.
    pub(crate) wanted: u64,
}

impl Spending {
    pub(crate) fn set(&mut self, now: Seconds, budget: Option<Budget>) {
        // What has come in until now came in by the budget until now.
        self.fill(now);
        self.budget = budget;
        self.fill(now);
    }

    pub(crate) fn take(&mut self, now: Seconds) -> bool {
        if self.budget.is_none() {
            return true;
        }
        self.wanted += 1;
        self.fill(now);
        let may = self.left >= 1.0;
        self.left -= if may { 1.0 } else { 0.0 };
        may
    }

    fn fill(&mut self, now: Seconds) {
        let (from, now) = (self.at, now.max(self.at));
        self.at = now;
        let Some(b) = self.budget else { return };
        let shared = (now.min(b.until) - from).max(0.0);
        let most = if now < b.until { b.floor_burst + b.burst } else { b.floor_burst };
        self.left = (self.left + b.floor * (now - from) + b.rate * shared).min(most);
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
        let left =
            self.left.map_or(most, |left| if now > self.at { left + rate * (now - self.at) } else { left });
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
        Rate { horizon, value: 0.0, at: 0.0 }
    }
    pub(crate) fn get(&self, now: Seconds) -> f64 {
        self.value * (-(now - self.at) / self.horizon).exp()
    }
    pub(crate) fn add(&mut self, now: Seconds, amount: f64) {
        self.value = self.get(now) + amount / self.horizon;
        self.at = now;
    }
}
