//! Which nodes of the fleet are there: the SWIM membership protocol with suspicion and incarnations, by the library
//! `foca`.
//!
//! # What holds
//!
//! - A node that one other node cannot reach is asked for through third ones before it is suspected, and has time to
//!   object before it counts as down. A loss in one direction, or of one node's path, throws nobody out.
//! - A node that is back under the same name has another incarnation and takes the place of the one before it.
//! - A node that leaves in order is removed at once; one that dies is removed after the suspicion has run out.
//! - Membership is an observation, not an agreement: nodes may differ on it for a while. No lease and no budget rests on
//!   it; it says whom to ask, show and notify.
//!
//! # Who calls what
//!
//! [`CoordinationNode`](crate::node::CoordinationNode) owns one [`Membership`], hands it messages and time, and sends what
//! it returns.

mod member;
mod membership;

pub use member::Member;
pub use membership::{GossipMessage, Membership, MAX_MEMBERS};
