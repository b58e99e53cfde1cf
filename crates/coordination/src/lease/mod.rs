//! Leases that are granted by a majority of lease servers.
//!
//! A lease is on a *task*, which is identified by name. At most one process of the fleet holds it at any time, and each
//! holder acts under an [`Epoch`](crate::Epoch) higher than those of all previous holders.
//!
//! # Protocol
//!
//! 1. A [`LeaseClient`] sends [`LeaseRequest::Acquire`] to all lease servers, under an epoch higher than any that it
//!    knows.
//! 2. A [`LeaseServer`] grants it if all its grants of the task to other processes have expired by its own clock, and
//!    if the epoch is higher than all that it has granted for the task or is that of the grant to be renewed. The grant
//!    is durable before the response is sent.
//! 3. Once a majority has granted, the client holds the lease. Its holding time starts when the *request was sent* and
//!    lasts for the lease duration less the clock drift ([`reduce_by_drift`]), by the client's clock. The client renews
//!    after a third of the duration.
//! 4. The holder checks [`LeaseClient::held_epoch`] before every action under the lease.
//!
//! # Invariants
//!
//! - A server's grants of a task to different processes never overlap, and the epochs that it grants for a task never
//!   decrease.
//! - The holding time of a client ends before the underlying grants expire, whichever clock runs fast.
//! - A server that may have lost grants (its disk was lost or restored to an older state) grants nothing until enough
//!   other servers have sent their state and all grants that it may have given before have expired.
//! - Grants of two processes under the same server name never contribute to the majorities of two different holders:
//!   each grant lists the newest incarnations of the other servers that the granting server knows, and the client
//!   ignores grants of an older incarnation.
//!
//! # Callers
//!
//! [`CoordinationNode`](crate::node::CoordinationNode) owns the lease clients of a process and its lease server, if
//! any. It passes messages and time to both and writes [`LeaseLogRecord`]s before it sends the messages that depend on
//! them.

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

/// The denominator of values in parts per million.
const MILLION: u128 = 1_000_000;
/// The largest drift that the arithmetic supports, in parts per million.
const MAX_DRIFT_PPM: u32 = 999_999;

/// Reduces a duration, or an amount that accrues with time, by the worst-case drift between two clocks: each may
/// deviate by up to `drift_ppm` parts per million, in opposite directions. A lease holder reduces the lease duration in
/// this way, since its own clock may run slow and the server's clock fast.
pub fn reduce_by_drift(amount: u64, drift_ppm: u32) -> u64 {
    let amount = u128::from(amount);
    let drift = u128::from(drift_ppm.min(MAX_DRIFT_PPM));
    (amount * (MILLION - drift) / (MILLION + drift)) as u64
}
