//! The configured limit of a budget.

use crate::lease::reduce_by_drift;

/// The configured limit of a budget. Rates are in thousandths of a unit per second, bursts in thousandths of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BudgetLimit {
    /// The rate of the whole fleet.
    pub rate: u64,
    /// The burst of the whole fleet.
    pub burst: u64,
    /// The rate that each node may always spend, with or without a grant.
    pub guaranteed_rate: u64,
    /// The burst that each node may always spend, with or without a grant.
    pub guaranteed_burst: u64,
    /// The planned number of nodes. Their guaranteed rates are deducted from the allocatable rate.
    pub max_nodes: u32,
}

/// An inconsistent budget limit. The message states the expected value in terms of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetLimitError {
    /// The guaranteed rates of all planned nodes exceed the rate of the limit less the clock drift.
    #[error("expected the floors of {max_nodes} nodes to sum to at most the rate")]
    GuaranteedRatesExceedLimit {
        /// The planned number of nodes.
        max_nodes: u32,
    },
    /// The guaranteed bursts of all planned nodes exceed the burst of the limit.
    #[error("expected the burst floors of {max_nodes} nodes to sum to at most the burst")]
    GuaranteedBurstsExceedLimit {
        /// The planned number of nodes.
        max_nodes: u32,
    },
}

impl BudgetLimitError {
    /// The settings key of the value that is too large.
    pub fn key(&self) -> &'static str {
        match self {
            BudgetLimitError::GuaranteedRatesExceedLimit { .. } => "floor",
            BudgetLimitError::GuaranteedBurstsExceedLimit { .. } => "floor_burst",
        }
    }
}

impl BudgetLimit {
    /// The rate that can be allocated by grants: the limit less all guaranteed rates. Clocks that run up to `drift_ppm`
    /// parts per million fast refill token buckets faster, so the drift is also deducted.
    pub fn allocatable_rate(&self, drift_ppm: u32) -> u64 {
        let guaranteed = self
            .guaranteed_rate
            .saturating_mul(u64::from(self.max_nodes));
        reduce_by_drift(self.rate, drift_ppm).saturating_sub(guaranteed)
    }

    /// The burst for a part of the allocatable rate, in the same proportion.
    pub fn burst_for_rate(&self, rate: u64, drift_ppm: u32) -> u64 {
        let guaranteed = self
            .guaranteed_burst
            .saturating_mul(u64::from(self.max_nodes));
        let burst = self.burst.saturating_sub(guaranteed);
        let allocatable = self.allocatable_rate(drift_ppm);
        if allocatable == 0 {
            return 0;
        }
        let rate = rate.min(allocatable);
        (u128::from(burst) * u128::from(rate) / u128::from(allocatable)) as u64
    }

    /// Checks that the guaranteed rates and bursts fit into the limit.
    ///
    /// # Errors
    /// If the guaranteed rates or bursts of all planned nodes exceed the limit.
    pub fn validate(&self, drift_ppm: u32) -> Result<(), BudgetLimitError> {
        let max_nodes = self.max_nodes;
        let nodes = u64::from(max_nodes);
        if self.guaranteed_rate.saturating_mul(nodes) > reduce_by_drift(self.rate, drift_ppm) {
            return Err(BudgetLimitError::GuaranteedRatesExceedLimit { max_nodes });
        }
        if self.guaranteed_burst.saturating_mul(nodes) > self.burst {
            return Err(BudgetLimitError::GuaranteedBurstsExceedLimit { max_nodes });
        }
        Ok(())
    }
}
