//! One budget as operators set it.

use crate::lease::reduce_by_drift;

/// One budget as operators set it. Rates are in thousandths of a unit a second, bursts in thousandths of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BudgetLimit {
    /// What the fleet may spend.
    pub rate: u64,
    /// What the fleet may spend at once.
    pub burst: u64,
    /// What a node may spend without a grant.
    pub guaranteed_rate: u64,
    /// What a node may spend at once without a grant.
    pub guaranteed_burst: u64,
    /// How many nodes are planned for: their guaranteed rates are kept out of what is allocated.
    pub max_nodes: u32,
}

/// Why a budget's figures do not add up. The text says what would be right, in the words of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetLimitError {
    /// The guaranteed rates of all planned nodes are more than the limit.
    #[error("expected floors of {max_nodes} nodes to come to at most the whole")]
    GuaranteedRatesExceedLimit {
        /// How many nodes are planned for.
        max_nodes: u32,
    },
    /// The guaranteed bursts of all planned nodes are more than the limit's burst.
    #[error("expected floors of {max_nodes} nodes to come to at most the burst")]
    GuaranteedBurstsExceedLimit {
        /// How many nodes are planned for.
        max_nodes: u32,
    },
}

impl BudgetLimitError {
    /// The settings' key at fault.
    pub fn key(&self) -> &'static str {
        match self {
            BudgetLimitError::GuaranteedRatesExceedLimit { .. } => "floor",
            BudgetLimitError::GuaranteedBurstsExceedLimit { .. } => "floor_burst",
        }
    }
}

impl BudgetLimit {
    /// What is allocated, in thousandths of a unit a second: the limit less all guaranteed rates. Clocks that run up to
    /// `drift_ppm` parts in a million wrong fill buckets faster, so that is taken off, too.
    pub fn allocatable_rate(&self, drift_ppm: u32) -> u64 {
        let guaranteed = self
            .guaranteed_rate
            .saturating_mul(u64::from(self.max_nodes));
        reduce_by_drift(self.rate, drift_ppm).saturating_sub(guaranteed)
    }

    /// The burst that goes with a part of the allocatable rate, in thousandths of a unit.
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

    /// Checks that the figures add up.
    ///
    /// # Errors
    /// Where the guaranteed rates or bursts of all planned nodes are more than the limit.
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
