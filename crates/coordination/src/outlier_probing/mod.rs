//! Probing of ejected replicas once for the whole fleet.
//!
//! The coordinator, which is the holder of the probing lease, probes ejected replicas on behalf of all nodes. Other
//! nodes suspend their own probes of a replica while the coordinator reports that it is probing it, and use the replica
//! again as soon as the coordinator reports it healthy.
//!
//! # Invariants
//!
//! - Verdicts are advisory. A node follows them only for replicas that it has ejected itself; a verdict never adds an
//!   unknown replica.
//! - A node that ejects a replica again after following a healthy verdict ignores verdicts on it for a while.
//! - Verdicts of an epoch lower than the highest known are dropped.
//! - Without a coordinator, and for replicas without a verdict, each node relies on its own probes.
//!
//! # Callers
//!
//! The driver of each node owns one [`ProbingParticipant`], and one [`ProbingCoordinator`] while it holds the lease. It
//! reports ejected replicas to the coordinator, and passes verdicts to the scheduler.

mod coordinator;
mod messages;
mod participant;

pub use coordinator::{ProbingCoordinator, ReplicaHealth};
pub use messages::{ProbingMessage, Verdict, MAX_REPLICAS_PER_MESSAGE};
pub use participant::ProbingParticipant;

/// The maximum number of replicas in each table of a coordinator or participant; further ones are not recorded.
const MAX_REPLICAS: usize = 4096;
