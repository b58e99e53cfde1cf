//! The allocator of the fleet's budgets, under one epoch of its lease.

mod node_account;
#[cfg(test)]
mod tests;

use super::fair_allocation::allocate_max_min;
use super::limit::BudgetLimit;
use super::messages::{BudgetGrant, BudgetMessage, BudgetRequest, Demand, GrantId, Rates};
use super::MAX_BUDGETS;
use crate::{Epoch, Micros, ProcessId};
use node_account::{Allocation, NodeAccount};
use std::collections::BTreeMap;

/// How many nodes are kept account of.
const MAX_NODES: usize = 4096;
/// How many grants of one node may be open, that is, given and not yet shown; beyond these it gets none until one runs
/// out.
const MAX_OPEN_GRANTS: usize = 8;
/// A grant's rate stays as it is where what it should be differs by less than one part in so many.
const DAMPING: u64 = 10;

/// What may be in use of a budget at one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeAllocation {
    /// The process that it was granted to.
    pub process: ProcessId,
    /// In thousandths of a unit a second, its guaranteed rate left out.
    pub rate: u64,
}

/// A budget as it is allocated, in thousandths of a unit a second.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetAllocation {
    /// Its name.
    pub budget: String,
    /// What is allocated: the limit less guaranteed rates and drift.
    pub allocatable: u64,
    /// What may be in use of it; the remainder is free.
    pub allocated: u64,
    /// Where that is more than is allocatable, since operators have lowered the limit: the lower limit is reached at the
    /// latest after so many microseconds.
    pub excess_expires_in: Micros,
    /// What may be in use at each node.
    pub nodes: Vec<NodeAllocation>,
}

/// The allocator of budgets, under one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetAllocator {
    epoch: Epoch,
    /// The number of the last grant.
    last_grant: u64,
    grant_duration: Micros,
    drift_ppm: u32,
    /// Until then grants of allocators before this one may be in force that it does not know of.
    open_at: Micros,
    limits: BTreeMap<String, BudgetLimit>,
    nodes: BTreeMap<ProcessId, NodeAccount>,
}

/// What a node says that it has, from an allocator before this one.
struct InheritedRates<'request> {
    rates: Option<&'request Rates>,
}

impl InheritedRates<'_> {
    fn of(&self, budget: &str) -> u64 {
        let rate = self.rates.and_then(|rates| rates.get(budget));
        rate.copied().unwrap_or(0)
    }
}

impl BudgetAllocator {
    /// Begins to allocate. Grants last `grant_duration` microseconds; clocks may run up to `drift_ppm` parts in a
    /// million wrong.
    pub fn new(
        epoch: Epoch,
        limits: BTreeMap<String, BudgetLimit>,
        grant_duration: Micros,
        drift_ppm: u32,
        now: Micros,
    ) -> BudgetAllocator {
        BudgetAllocator {
            epoch,
            last_grant: 0,
            grant_duration,
            drift_ppm,
            open_at: now.saturating_add(grant_duration),
            limits,
            nodes: BTreeMap::new(),
        }
    }

    /// The epoch under which it allocates.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Other limits are in force from now on. What was granted stays granted until it runs out.
    pub fn set_limits(&mut self, limits: BTreeMap<String, BudgetLimit>) {
        self.limits = limits;
    }

    /// Answers a request, if there is something to answer.
    pub fn handle_request(&mut self, request: BudgetRequest, now: Micros) -> Option<BudgetMessage> {
        if request.epoch != self.epoch {
            // What a node says to have counts only if it says so to this epoch: then no allocator before this one can
            // have given it to somebody else.
            let is_earlier = request.epoch < self.epoch;
            return is_earlier.then_some(BudgetMessage::NewEpoch(self.epoch));
        }
        self.forget_expired(now);
        let process = request.requester;
        let is_new_node = !self.nodes.contains_key(&process);
        if self.nodes.len() >= MAX_NODES && is_new_node {
            return None;
        }
        let account = self.nodes.entry(process.clone()).or_default();
        account.heard_at = now;
        account.demands = request.demands.into_iter().take(MAX_BUDGETS).collect();
        account.drop_replaced(shown_grant(request.current_grant, self.epoch), now);
        if account.open_grants.len() >= MAX_OPEN_GRANTS {
            return None;
        }
        let has_earlier_grant = request
            .current_grant
            .is_some_and(|grant| grant.epoch < self.epoch);
        let inherited = InheritedRates {
            rates: has_earlier_grant.then_some(&request.rates),
        };
        let mut rates = Rates::new();
        for (budget, limit) in &self.limits {
            let ceiling = self.ceiling(&process, budget, limit, is_new_node, &inherited, now);
            let target = self.target_rate(&process, budget, limit, now);
            rates.insert(budget.clone(), target.min(ceiling));
        }
        let grant = self.record_grant(&process, request.request_number, rates, now);
        Some(BudgetMessage::Grant(grant))
    }

    /// The most that a node may be granted of a budget: what no other node may be spending. For one grant's duration
    /// only what it has from an allocator before this one, or from this one already, may go on.
    fn ceiling(
        &self,
        process: &ProcessId,
        budget: &str,
        limit: &BudgetLimit,
        is_new_node: bool,
        inherited: &InheritedRates<'_>,
        now: Micros,
    ) -> u64 {
        let others = self.nodes.iter().filter(|(other, _)| *other != process);
        let used_by_others: u64 = others
            .map(|(_, account)| account.rate_in_use(budget, now))
            .sum();
        let free = self.allocatable_rate(limit).saturating_sub(used_by_others);
        if now >= self.open_at {
            free
        } else if is_new_node {
            inherited.of(budget).min(free)
        } else {
            self.nodes[process].rate_in_use(budget, now).min(free)
        }
    }

    /// What a node should have of a budget by the demands of all. It keeps what it has where that differs little.
    fn target_rate(
        &self,
        process: &ProcessId,
        budget: &str,
        limit: &BudgetLimit,
        now: Micros,
    ) -> u64 {
        let demand_of = |(process, account): (_, &NodeAccount)| {
            let demand = account.demands.get(budget).copied();
            (process, demand.unwrap_or_default())
        };
        let demands: BTreeMap<&ProcessId, Demand> = self.nodes.iter().map(demand_of).collect();
        let targets = allocate_max_min(self.allocatable_rate(limit), &demands);
        let target = targets.get(process).copied().unwrap_or(0);
        let in_use = self.nodes[process].rate_in_use(budget, now);
        let is_steady = in_use > 0 && target.abs_diff(in_use) < in_use / DAMPING;
        if is_steady {
            in_use
        } else {
            target
        }
    }

    /// Keeps account of a grant, and returns it as it is sent.
    fn record_grant(
        &mut self,
        process: &ProcessId,
        request_number: u64,
        rates: Rates,
        now: Micros,
    ) -> BudgetGrant {
        self.last_grant += 1;
        let allocation = Allocation {
            grant: self.last_grant,
            until: now.saturating_add(self.grant_duration),
            rates: rates.clone(),
        };
        if let Some(account) = self.nodes.get_mut(process) {
            account.open_grants.push(allocation);
        }
        BudgetGrant {
            requester: process.incarnation,
            id: GrantId {
                epoch: self.epoch,
                number: self.last_grant,
            },
            request_number,
            duration: self.grant_duration,
            rates,
        }
    }

    /// What is allocated of a limit. Where more nodes speak than were planned for, their guaranteed rates are taken out,
    /// too.
    fn allocatable_rate(&self, limit: &BudgetLimit) -> u64 {
        let unplanned_nodes = (self.nodes.len() as u64).saturating_sub(u64::from(limit.max_nodes));
        limit
            .allocatable_rate(self.drift_ppm)
            .saturating_sub(unplanned_nodes.saturating_mul(limit.guaranteed_rate))
    }

    /// Drops grants that have run out, and nodes that have none and were not heard of for a grant's duration.
    fn forget_expired(&mut self, now: Micros) {
        let grant_duration = self.grant_duration;
        self.nodes.retain(|_, account| {
            account.drop_expired(now);
            let is_recent = now < account.heard_at.saturating_add(grant_duration);
            !account.open_grants.is_empty() || is_recent
        });
    }

    /// Each budget as it is allocated now.
    pub fn status(&self, now: Micros) -> Vec<BudgetAllocation> {
        let limits = self.limits.iter();
        limits
            .map(|(budget, limit)| self.status_of(budget, limit, now))
            .collect()
    }

    fn status_of(&self, budget: &str, limit: &BudgetLimit, now: Micros) -> BudgetAllocation {
        let node = |(process, account): (&ProcessId, &NodeAccount)| NodeAllocation {
            process: process.clone(),
            rate: account.rate_in_use(budget, now),
        };
        let nodes: Vec<NodeAllocation> = self.nodes.iter().map(node).collect();
        let allocated = nodes.iter().map(|node| node.rate).sum();
        let allocatable = self.allocatable_rate(limit);
        let last_end = self.nodes.values().filter_map(NodeAccount::last_end).max();
        let excess_expires_in = if allocated > allocatable {
            last_end.unwrap_or(now).saturating_sub(now)
        } else {
            0
        };
        BudgetAllocation {
            budget: budget.into(),
            allocatable,
            allocated,
            excess_expires_in,
            nodes,
        }
    }
}

/// The number of the newest grant of this epoch that a node has shown to have; 0 where it has shown none.
fn shown_grant(current_grant: Option<GrantId>, epoch: Epoch) -> u64 {
    match current_grant {
        Some(grant) if grant.epoch == epoch => grant.number,
        _ => 0,
    }
}
