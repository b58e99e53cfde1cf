//! Connections of clients.
//!
//! - [`listener`] accepts connections within the limits and refuses those beyond them.
//! - [`connection`] serves the requests of one connection in sequence.
//! - [`registry`] holds the state shared by all connections: their number, the idle ones, the memory of request bodies.
//! - [`close_reason`] has the reasons for which connections close, and counts them.
//! - [`shutdown`] limits the work that a node may still begin after the shutdown signal.
//!
//! The listener starts a task for each connection; the task owns the socket.

pub mod close_reason;
pub mod connection;
pub mod listener;
pub mod registry;
pub mod shutdown;

use crate::routing::DurationMicros;

/// Retry delay for clients refused because the node is at a limit, in microseconds.
const RETRY_AFTER_FULL: DurationMicros = 500_000;
