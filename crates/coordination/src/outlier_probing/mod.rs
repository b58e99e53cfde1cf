//! Probing ejected replicas once for the whole fleet.
//!
//! The holder of the lease, the coordinator, probes an ejected replica on behalf of all. The other nodes hold their own
//! probes back while it says that it is at it, and use the replica again at once when it says that it found it healthy.
//!
//! # Invariants
//!
//! - It is advice. A node follows it only for replicas that it has ejected itself, and advice never adds a replica.
//! - A node that finds a replica bad again after such advice goes by its own probes for a while.
//! - Advice under an earlier epoch than the highest heard is dropped.
//! - Without a coordinator, and for replicas that it says nothing of, each node goes on by itself.
//!
//! # Who calls what
//!
//! The driver of each node owns one [`ProbingParticipant`], and one [`ProbingCoordinator`] for as long as it holds the
//! lease. It reports what is ejected to the coordinator, and passes the advice on to the scheduler.

mod coordinator;
mod messages;
mod participant;

pub use coordinator::{ProbingCoordinator, ReplicaHealth};
pub use messages::{ProbingMessage, Verdict, MAX_REPLICAS_PER_MESSAGE};
pub use participant::ProbingParticipant;

/// How many replicas are kept in mind.
const MAX_REPLICAS: usize = 4096;
