//! Connections to replicas: the pool, attempts and probes, the monitor of streams, and the recovery of streams that a
//! replica did not end.

pub mod attempts;
pub mod pool;
pub mod stream_monitor;
pub mod stream_recovery;
