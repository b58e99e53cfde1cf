//! Taking the nodes of a fleet out one after the other, so that each can be restarted without a loss of service.
//!
//! An operator gives a [`RestartOrder`] at any node. Whoever holds the lease coordinates: it asks every node of the order
//! how far it is, and tells one to leave only while fewer than the allowed number are out. A node that has let its
//! clients go stays out for a while and is told to return.
//!
//! # Invariants
//!
//! - Never more nodes are out than the order allows. A node of which nothing is heard counts as out until it must have
//!   come back by itself, by whichever clock.
//! - A command is carried out only if it belongs to the last query that the node has answered: one that comes late, or
//!   from a coordinator of an earlier epoch, is dropped.
//! - A majority of the lease servers stays in service while the nodes among them take their turns; they go last.
//! - A node that is out comes back by itself once no coordinator can have heard of it for the time that the order states.
//!   Queries that it gets do not put that off: they may be late, and its answers lost.
//!
//! # Who calls what
//!
//! The driver of each node owns one [`RestartParticipant`], and one [`RestartCoordinator`] for as long as it holds the
//! lease and an order is open. It sends the queries of [`RestartCoordinator::next_queries`], waits for answers, checks that
//! it still holds the lease, and sends what [`RestartCoordinator::next_commands`] returns.

mod coordinator;
mod messages;
mod participant;

pub use coordinator::{NodeCommand, NodeQuery, RestartCoordinator, RestartProgress};
pub use messages::{
    NodeProgress, NodeReport, OrderId, QueryId, RestartCommand, RestartMessage, RestartOrder,
};
pub use participant::RestartParticipant;

/// How many nodes one order may have.
pub const MAX_NODES: usize = 4096;
