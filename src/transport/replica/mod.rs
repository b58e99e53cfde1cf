//! Connections to replicas.
//!
//! - [`connection`] is one connection, which is reset unless it is idle when it closes.
//! - [`pool`] owns idle connections and limits the number of open ones.
//! - [`attempts`] sends one request to one replica and forwards the response (`response_forwarder`); [`probes`] polls a
//!   replica's load or health.
//! - [`stream_monitor`] tracks all streams: stalls, continuation budgets, counters for the log.
//! - [`stream_recovery`] continues an interrupted stream on another replica.
//!
//! The dispatcher starts a task for each attempt and probe. The task owns its connection: aborting the task resets it.

pub mod attempts;
pub mod connection;
pub mod pool;
pub mod probes;
mod response_forwarder;
pub mod stream_monitor;
pub mod stream_recovery;
