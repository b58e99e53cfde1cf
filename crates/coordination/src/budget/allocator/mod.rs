//! The allocator of the fleet's budgets, for one epoch of the budget lease.

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

/// The maximum number of processes with an account; requests of further processes are not answered.
const MAX_NODES: usize = 4096;
/// The maximum number of outstanding grants of a node, which are neither expired nor superseded by a confirmed newer
/// one. At the limit the node gets no further grant until one expires.
const MAX_OUTSTANDING_GRANTS: usize = 8;
/// A node keeps its rate if the target rate differs from it by less than the rate divided by this number.
const DAMPING: u64 = 10;

/// The rate of a budget that may be in use at one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeAllocation {
    /// The process that holds the grants.
    pub process: ProcessId,
    /// In thousandths of a unit per second, without the guaranteed rate.
    pub rate: u64,
}

/// The allocation of a budget. Rates are in thousandths of a unit per second.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetAllocation {
    /// The budget's name.
    pub budget: String,
    /// The limit less the guaranteed rates and the clock drift.
    pub allocatable: u64,
    /// The rate that may be in use at all nodes together; the remainder of `allocatable` is free.
    pub allocated: u64,
    /// The time until `allocated` is within a lowered limit at the latest, in microseconds; 0 if it already is.
    pub excess_expires_in: Micros,
    /// The rate that may be in use at each node.
    pub nodes: Vec<NodeAllocation>,
}

/// The budget allocator for one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetAllocator {
    epoch: Epoch,
    /// The number of the last grant.
    last_grant: u64,
    grant_duration: Micros,
    drift_ppm: u32,
    /// Until this time, grants of earlier allocators that are unknown to this allocator may be in force.
    predecessor_grants_end_at: Micros,
    limits: BTreeMap<String, BudgetLimit>,
    nodes: BTreeMap<ProcessId, NodeAccount>,
}

/// The rates that a node reports from a grant of an earlier allocator.
struct InheritedRates<'request> {
    rates: Option<&'request Rates>,
}

impl InheritedRates<'_> {
    fn rate_of(&self, budget: &str) -> u64 {
        let rate = self.rates.and_then(|rates| rates.get(budget));
        rate.copied().unwrap_or(0)
    }
}

impl BudgetAllocator {
    /// Creates an allocator. `grant_duration` is in microseconds; `drift_ppm` is the largest rate error of any clock,
    /// in parts per million.
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
            predecessor_grants_end_at: now.saturating_add(grant_duration),
            limits,
            nodes: BTreeMap::new(),
        }
    }

    /// The epoch of the allocator.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Replaces the limits. Existing grants stay in force until they expire.
    pub fn set_limits(&mut self, limits: BTreeMap<String, BudgetLimit>) {
        self.limits = limits;
    }

    /// Handles a request and returns the response. Returns `None` if the request is of a newer epoch, the node table is
    /// full, or the node has too many outstanding grants.
    pub fn handle_request(&mut self, request: BudgetRequest, now: Micros) -> Option<BudgetMessage> {
        if request.epoch != self.epoch {
            // Rates that a node reports are used only if the node knows the current epoch. It then accepts no grants of
            // earlier allocators, so none of them can lower its rates and grant the difference to another node.
            let is_earlier = request.epoch < self.epoch;
            return is_earlier.then_some(BudgetMessage::NewEpoch(self.epoch));
        }
        self.remove_expired(now);
        let process = request.requester;
        let is_new_node = !self.nodes.contains_key(&process);
        if self.nodes.len() >= MAX_NODES && is_new_node {
            return None;
        }
        let account = self.nodes.entry(process.clone()).or_default();
        account.last_request_at = now;
        account.demands = request.demands.into_iter().take(MAX_BUDGETS).collect();
        account.drop_superseded(confirmed_grant(request.current_grant, self.epoch), now);
        if account.outstanding_grants.len() >= MAX_OUTSTANDING_GRANTS {
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

    /// The highest rate of a budget that a node may be granted: the allocatable rate less what the other nodes may be
    /// spending. While grants of earlier allocators may be in force, also at most the node's current rate.
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
        if now >= self.predecessor_grants_end_at {
            free
        } else if is_new_node {
            inherited.rate_of(budget).min(free)
        } else {
            self.nodes[process].rate_in_use(budget, now).min(free)
        }
    }

    /// A node's max-min fair rate of a budget. The node keeps its current rate if the difference is small.
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

    /// Records a grant in the node's account and returns the message.
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
            account.outstanding_grants.push(allocation);
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

    /// The allocatable rate of a limit. If there are more nodes than planned, the guaranteed rates of the additional
    /// nodes are deducted, too.
    fn allocatable_rate(&self, limit: &BudgetLimit) -> u64 {
        let unplanned_nodes = (self.nodes.len() as u64).saturating_sub(u64::from(limit.max_nodes));
        limit
            .allocatable_rate(self.drift_ppm)
            .saturating_sub(unplanned_nodes.saturating_mul(limit.guaranteed_rate))
    }

    /// Removes expired grants, and nodes that have no grant and sent no request for one grant duration.
    fn remove_expired(&mut self, now: Micros) {
        let grant_duration = self.grant_duration;
        self.nodes.retain(|_, account| {
            account.drop_expired(now);
            let is_recent = now < account.last_request_at.saturating_add(grant_duration);
            !account.outstanding_grants.is_empty() || is_recent
        });
    }

    /// The allocation at `now` of each budget that has a limit, in total and by node.
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

/// The number of the grant that a node reports as its current one, if the grant is of this epoch; otherwise 0.
fn confirmed_grant(current_grant: Option<GrantId>, epoch: Epoch) -> u64 {
    match current_grant {
        Some(grant) if grant.epoch == epoch => grant.number,
        _ => 0,
    }
}
