//! Leases that a majority of lease servers grants.
//!
//! A lease is on a *task*, which is just a name. At every moment at most one process of the fleet holds it, and each
//! holder acts under an [`Epoch`](crate::Epoch) that is higher than those of all holders before it.
//!
//! # Protocol
//!
//! 1. A [`LeaseClient`] sends [`LeaseRequest::Acquire`] to all lease servers, under an epoch higher than any that it has
//!    heard of.
//! 2. A [`LeaseServer`] grants it if no other process's grant has time left by the server's own clock, and if the epoch
//!    is higher than all that it has granted for the task. The grant is durable before the answer goes out.
//! 3. With grants of a majority the client holds the lease from the moment it *asked*, for the lease's duration less the
//!    stated drift of clocks by its own clock ([`reduce_by_drift`]). It renews after a third of the duration.
//! 4. Whoever acts under the lease asks [`LeaseClient::held_epoch`] before every act.
//!
//! # Invariants
//!
//! - A server's grants never overlap, and the epochs that it grants for a task never fall.
//! - A client's holding time ends before the grants that it rests on end, whichever clock runs fast.
//! - A server that may have forgotten grants (its disk was lost or put back to an older state) grants nothing until it
//!   has asked enough of the other servers, and until all that it may have granted before has run out.
//! - Two processes under one server's name are never both counted, one for each of two holders: each grant names the
//!   newest incarnation known of the other servers, and the client does not count a superseded one.
//!
//! # Who calls what
//!
//! [`CoordinationNode`](crate::node::CoordinationNode) owns the clients of one process and its server, if it is one. It
//! passes messages and time to both, writes down [`LeaseLogRecord`]s before it sends what depends on them, and sends the
//! rest.

mod client;
mod log_record;
mod messages;
mod server;

pub use client::{LeaseClient, LeaseParameters};
pub use log_record::{GrantRecord, LeaseLogRecord};
pub use messages::{
    AcquireRequest, LeaseRequest, LeaseResponse, RecoveryResponse, ServerIncarnation, TaskEpoch,
};
pub use server::{
    LeaseServer, LeaseServerConfig, LeaseServerOutput, LeaseTableEntry, PeerMessage, RecoveryState,
    MAX_TASKS,
};

/// Parts in a million.
const MILLION: u128 = 1_000_000;
/// The largest drift that the arithmetic allows, in parts in a million.
const MAX_DRIFT_PPM: u32 = 999_999;

/// What remains of an amount of time (or of whatever accrues with time) once two clocks may each run up to `drift_ppm`
/// parts in a million wrong, in opposite directions. A holder may act for this long after it asked, by its own clock,
/// since the server's clock may be the fast one.
pub fn reduce_by_drift(amount: u64, drift_ppm: u32) -> u64 {
    let amount = u128::from(amount);
    let drift = u128::from(drift_ppm.min(MAX_DRIFT_PPM));
    (amount * (MILLION - drift) / (MILLION + drift)) as u64
}
