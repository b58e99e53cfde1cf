//! Rolling restarts: nodes of a fleet are taken out of service a few at a time, so that each can be restarted without a
//! loss of service.
//!
//! An operator gives a [`RestartOrder`] at any node. The holder of the restart lease is the coordinator: it queries the
//! progress of every node of the order, and commands a node to leave only while fewer than `max_out` nodes are out. A
//! node that has drained its clients stays out for `stay_out` and is then commanded to return.
//!
//! # Invariants
//!
//! - The number of nodes out never exceeds the `max_out` of the order. A node that does not answer counts as out until
//!   it must have returned on its own, even if its clock runs slow and the coordinator's fast.
//! - A command is executed only if it belongs to the last query that the node has answered. Late commands, and those of
//!   a coordinator of an earlier epoch, are dropped.
//! - A majority of the lease servers stays in service. Nodes that are lease servers leave last.
//! - A node that is out returns on its own once `return_after` has passed since its last answer that a coordinator has
//!   confirmed. Receiving a query does not extend that time, since the query may be late and its answer may be lost.
//!
//! # Callers
//!
//! The driver of each node owns one [`RestartParticipant`], and one [`RestartCoordinator`] while it holds the lease and
//! an order is open. It sends the queries of [`RestartCoordinator::next_queries`], waits for answers, checks that it
//! still holds the lease, and sends the commands of [`RestartCoordinator::next_commands`].

mod coordinator;
mod messages;
mod participant;

pub use coordinator::{NodeCommand, NodeQuery, RestartCoordinator, RestartProgress};
pub use messages::{
    NodeProgress, NodeReport, OrderId, QueryId, RestartCommand, RestartMessage, RestartOrder,
};
pub use participant::RestartParticipant;

/// The maximum number of nodes that a restart order may name. Participants ignore larger orders.
pub const MAX_NODES: usize = 4096;
