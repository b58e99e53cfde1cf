//! Messages between nodes and the budget allocator. The serialised form is positional: fields and variants must keep
//! their order.

use crate::{Epoch, Incarnation, Micros, ProcessId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A node's demand for a budget.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Demand {
    /// The demanded rate, in thousandths of a unit per second.
    pub rate: u64,
    /// The weight of a unit at this node relative to units at other nodes, above 0. Nodes share a scarce budget in
    /// proportion to it.
    pub weight: u32,
}

/// Rates by budget name, in thousandths of a unit per second.
pub type Rates = BTreeMap<String, u64>;

/// Identifies a grant. Ids are ordered: the newest grant has the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The allocator's epoch.
    pub epoch: Epoch,
    /// Incremented with each grant of the allocator, across all nodes.
    pub number: u64,
}

/// A node's request to the allocator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The requesting process.
    pub requester: ProcessId,
    /// The highest allocator epoch known to the node; 0 if none.
    pub epoch: Epoch,
    /// Returned in the response.
    pub request_number: u64,
    /// The grant in force at the node; `None` after a start or once the grant has ended.
    pub current_grant: Option<GrantId>,
    /// The rates of the grant in `current_grant`; empty if that is `None`.
    pub rates: Rates,
    /// The node's demands, by budget name.
    pub demands: BTreeMap<String, Demand>,
}

/// A grant to a node, which replaces the previous one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// The requesting incarnation. Needed because messages are addressed by node name, and two processes of the same
    /// name use the same request numbers.
    pub requester: Incarnation,
    /// Higher than the id of any earlier grant to any node.
    pub id: GrantId,
    /// The number of the request that this grant answers.
    pub request_number: u64,
    /// The duration by the allocator's clock, in microseconds.
    pub duration: Micros,
    /// The granted rates, in addition to the guaranteed rates.
    pub rates: Rates,
}

/// A message about budgets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// To the allocator.
    Request(BudgetRequest),
    /// From the allocator, in response to a request with an earlier epoch: the node must repeat the request with this
    /// one.
    NewEpoch(Epoch),
    /// From the allocator.
    Grant(BudgetGrant),
}
