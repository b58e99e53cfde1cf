//! Messages of a rolling restart. The serialised form is positional: fields and variants must keep their order.

use crate::{Epoch, Micros};
use serde::{Deserialize, Serialize};

/// Identifies an order. Ids are ordered: the newest order has the highest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderId {
    /// One higher than the number of any order that was known at the node that received the operator's call.
    pub number: u64,
    /// The name of the node that received the operator's call.
    pub ordered_at: String,
}

/// A rolling restart as ordered by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartOrder {
    /// Higher than the id of any order that was known where this one was given.
    pub id: OrderId,
    /// The names of the nodes to be taken out.
    pub nodes: Vec<String>,
    /// The maximum number of nodes that are out of service at the same time.
    pub max_out: u32,
    /// How long a node stays out after it has drained its clients, in microseconds.
    pub stay_out: Micros,
    /// The time after which a node without contact to a coordinator returns on its own, in microseconds.
    pub return_after: Micros,
}

/// The progress of a node in a rolling restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeProgress {
    /// Has not been commanded to leave yet.
    #[default]
    Waiting,
    /// Has been commanded to leave, but not to return.
    Out,
    /// Has been out and is back in service.
    Done,
}

impl NodeProgress {
    /// The label in the status shown to operators.
    pub fn label(self) -> &'static str {
        match self {
            NodeProgress::Waiting => "waiting",
            NodeProgress::Out => "out",
            NodeProgress::Done => "done",
        }
    }
}

/// Identifies a query of a coordinator to one node. Ids are ordered: the newest query has the highest. A query that was
/// not answered is repeated under the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueryId {
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// The number of the query to the node in this epoch, from 1. A higher number confirms to the node that its
    /// previous answer was received.
    pub round: u64,
}

/// A node's answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The query that this report answers.
    pub query: QueryId,
    /// The node's progress in the order.
    pub progress: NodeProgress,
    /// Whether the node is out and has drained its clients.
    pub is_idle: bool,
}

/// A command of the coordinator to a node. Earlier versions send a boolean in its place, so the variants must stay in
/// the order of `false` and `true`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartCommand {
    /// Return to service and accept clients again.
    Return,
    /// Drain the clients and accept no new ones.
    Leave,
}

/// A message of a rolling restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartMessage {
    /// Distributes an order to a node that does not know it.
    Order(RestartOrder),
    /// From the coordinator: requests the node's progress.
    Query {
        /// The same as in the last query to the node if the node has not answered that one.
        query: QueryId,
        /// The order whose progress is requested.
        order: OrderId,
    },
    /// The answer to a query if the node does not know the order: requests the order.
    RequestOrder,
    /// The answer to a query if the node knows the order.
    Report(NodeReport),
    /// From the coordinator, after the node has answered a query.
    Command {
        /// The last query that the node has answered.
        query: QueryId,
        /// The command to execute.
        command: RestartCommand,
    },
    /// From the coordinator: the order is completed.
    Completed(OrderId),
}
