//! Fleet membership: the SWIM protocol with suspicion and incarnations, implemented by the library `foca`.
//!
//! # Properties
//!
//! - A node that does not answer a direct probe is probed through other nodes before it is suspected, and can refute
//!   the suspicion before it counts as down. Message loss in one direction, or on the path between two nodes, removes
//!   no member.
//! - A restarted node has the same name and a new incarnation, and replaces its previous member.
//! - A node that leaves gracefully is removed at once; a dead node is removed after the suspicion timeout.
//! - Membership is eventually consistent: views of nodes may differ for a while. Leases and budgets do not depend on
//!   it. It is used to choose recipients of messages, and in the status shown to operators.
//!
//! # Callers
//!
//! [`CoordinationNode`](crate::node::CoordinationNode) owns one [`Membership`], passes messages and time to it, and
//! sends the messages that it returns.

mod member;
mod membership;

pub use member::Member;
pub use membership::{GossipMessage, Membership, MAX_MEMBERS};
