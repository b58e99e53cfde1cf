//! The messages of a rolling restart. The serialised form is positional: no field or variant may change its place.

use crate::{Epoch, Micros};
use serde::{Deserialize, Serialize};

/// Names an order. Orders are ordered by it: the newest is the highest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderId {
    /// One higher than that of any order known where this one was given.
    pub number: u64,
    /// The name of the node at which it was given.
    pub ordered_at: String,
}

/// What operators have ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartOrder {
    /// Which order this is.
    pub id: OrderId,
    /// The names of the nodes that take their turns.
    pub nodes: Vec<String>,
    /// How many may be out at once.
    pub max_out: u32,
    /// How long a node stays out once it has let its clients go, in microseconds.
    pub stay_out: Micros,
    /// A node that is out and hears from no coordinator for so long comes back by itself, in microseconds.
    pub return_after: Micros,
}

/// How far a node is in an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeProgress {
    /// Its turn has not come.
    #[default]
    Waiting,
    /// It has been told to leave, and not to return.
    Out,
    /// It has been out and is back.
    Done,
}

impl NodeProgress {
    /// The word for it in the status that operators are shown.
    pub fn label(self) -> &'static str {
        match self {
            NodeProgress::Waiting => "waiting",
            NodeProgress::Out => "out",
            NodeProgress::Done => "done",
        }
    }
}

/// Names a query of a coordinator to one node: its epoch, and how many answers of the node it has waited for under it. The
/// newest is the highest; a query that was not answered is repeated under the same name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueryId {
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// The number of the query to that node under that epoch, from 1. A higher one tells the node that its answer to the one
    /// before was heard.
    pub round: u64,
}

/// A node's answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The query that it answers.
    pub query: QueryId,
    /// How far the node is.
    pub progress: NodeProgress,
    /// Whether it is out and has let its clients go.
    pub is_idle: bool,
}

/// What a coordinator tells a node to do. The order of the variants is that of `false` and `true`, which earlier versions
/// send in their place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartCommand {
    /// Take clients again.
    Return,
    /// Let the clients go and take no new ones.
    Leave,
}

/// A message of a rolling restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartMessage {
    /// This is ordered.
    Order(RestartOrder),
    /// From the coordinator: how far is the node?
    Query {
        /// Which query this is.
        query: QueryId,
        /// The order that it is about.
        order: OrderId,
    },
    /// The answer of a node that does not know the order.
    RequestOrder,
    /// The answer of a node that does.
    Report(NodeReport),
    /// From the coordinator, after the query named.
    Command {
        /// The last query that the node has answered.
        query: QueryId,
        /// What to do.
        command: RestartCommand,
    },
    /// The order is carried out.
    Completed(OrderId),
}
