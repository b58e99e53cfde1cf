//! What the allocator knows of one process.

use crate::budget::messages::{Demand, Rates};
use crate::Micros;
use std::collections::BTreeMap;

/// What was granted to a process at once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Allocation {
    /// The number of the grant.
    pub(super) grant: u64,
    /// When it ends by the allocator's clock.
    pub(super) until: Micros,
    pub(super) rates: Rates,
}

/// What the allocator knows of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct NodeAccount {
    /// Grants that may be in force.
    pub(super) open_grants: Vec<Allocation>,
    pub(super) demands: BTreeMap<String, Demand>,
    pub(super) heard_at: Micros,
}

impl NodeAccount {
    /// What the process may be spending of a budget: the most of what was granted and may still be in force.
    pub(super) fn rate_in_use(&self, budget: &str, now: Micros) -> u64 {
        let in_force = self.open_grants.iter().filter(|grant| now < grant.until);
        in_force
            .map(|grant| grant.rates.get(budget).copied().unwrap_or(0))
            .max()
            .unwrap_or(0)
    }

    /// Drops grants that have run out.
    pub(super) fn drop_expired(&mut self, now: Micros) {
        self.open_grants.retain(|grant| now < grant.until);
    }

    /// Drops grants that have run out, and those that are older than the one that the process has shown to have.
    pub(super) fn drop_replaced(&mut self, shown_grant: u64, now: Micros) {
        self.open_grants
            .retain(|grant| now < grant.until && grant.grant >= shown_grant);
    }

    /// When the last open grant ends.
    pub(super) fn last_end(&self) -> Option<Micros> {
        self.open_grants.iter().map(|grant| grant.until).max()
    }
}
