//! The allocator's account of one process.

use crate::budget::messages::{Demand, Rates};
use crate::Micros;
use std::collections::BTreeMap;

/// One grant to a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Allocation {
    /// The number of the grant.
    pub(super) grant: u64,
    /// When the grant expires by the allocator's clock.
    pub(super) until: Micros,
    pub(super) rates: Rates,
}

/// The grants and demands of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct NodeAccount {
    /// Grants that may be in force at the process.
    pub(super) outstanding_grants: Vec<Allocation>,
    pub(super) demands: BTreeMap<String, Demand>,
    pub(super) last_request_at: Micros,
}

impl NodeAccount {
    /// The rate of a budget that the process may be spending: the highest of all grants that may be in force.
    pub(super) fn rate_in_use(&self, budget: &str, now: Micros) -> u64 {
        let in_force = self
            .outstanding_grants
            .iter()
            .filter(|grant| now < grant.until);
        in_force
            .map(|grant| grant.rates.get(budget).copied().unwrap_or(0))
            .max()
            .unwrap_or(0)
    }

    pub(super) fn drop_expired(&mut self, now: Micros) {
        self.outstanding_grants.retain(|grant| now < grant.until);
    }

    /// Drops expired grants, and those older than the grant that the process has confirmed.
    pub(super) fn drop_superseded(&mut self, confirmed_grant: u64, now: Micros) {
        self.outstanding_grants
            .retain(|grant| now < grant.until && grant.grant >= confirmed_grant);
    }

    /// When the last outstanding grant expires.
    pub(super) fn last_end(&self) -> Option<Micros> {
        self.outstanding_grants
            .iter()
            .map(|grant| grant.until)
            .max()
    }
}
