//! The messages between nodes and the allocator of budgets. The serialised form is positional: no field or variant may
//! change its place.

use crate::{Epoch, Incarnation, Micros, ProcessId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How much a node wants of a budget, and how much that matters.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Demand {
    /// The rate, in thousandths of a unit a second.
    pub rate: u64,
    /// The weight of a unit here against a unit elsewhere, above 0.
    pub weight: u32,
}

/// Rates by budget, in thousandths of a unit a second.
pub type Rates = BTreeMap<String, u64>;

/// Names a grant. The newest is the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The allocator's epoch.
    pub epoch: Epoch,
    /// One higher with each grant that the allocator gives, to whichever node.
    pub number: u64,
}

/// A node's question to the allocator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The process that asks.
    pub requester: ProcessId,
    /// The allocator's epoch, as last heard; 0 where none was.
    pub epoch: Epoch,
    /// Comes back with the answer.
    pub request_number: u64,
    /// The grant that the node has now; none after a start or once it has run out.
    pub current_grant: Option<GrantId>,
    /// What that grant allows.
    pub rates: Rates,
    /// What the node wants, by budget.
    pub demands: BTreeMap<String, Demand>,
}

/// What the allocator gives a node, in place of what it gave before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// The incarnation that asked: messages go by name, and two processes of one name count their requests alike.
    pub requester: Incarnation,
    /// Which grant this is.
    pub id: GrantId,
    /// The number of the request that it answers.
    pub request_number: u64,
    /// How long it lasts by the allocator's clock, in microseconds.
    pub duration: Micros,
    /// What may be spent.
    pub rates: Rates,
}

/// A message about budgets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// To the allocator.
    Request(BudgetRequest),
    /// From the allocator, to a node that asked under an earlier epoch: ask again, under this one.
    NewEpoch(Epoch),
    /// From the allocator.
    Grant(BudgetGrant),
}
