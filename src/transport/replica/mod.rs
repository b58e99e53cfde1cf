//! Connections to replicas.
//!
//! - [`pool`] owns idle connections and bounds the number of open ones.
//! - [`attempts`] sends one request to one replica and passes the response on; [`probes`] asks a replica for its load.
//! - [`stream_monitor`] follows all streams: stalls, budgets of continuation, counters for the log.
//! - [`stream_recovery`] continues a stream on another replica where its own did not end it.
//!
//! The dispatcher starts a task for each attempt and probe. The task owns its connection: aborting the task closes it.

pub mod attempts;
pub mod pool;
pub mod probes;
pub mod stream_monitor;
pub mod stream_recovery;
