//! Connections of clients.
//!
//! - [`listener`] accepts connections within the limits and refuses those beyond them.
//! - [`connection`] serves the requests of one connection, one after the other.
//! - [`registry`] is what all connections share: their number, idle ones, the memory of request bodies.
//! - [`close_reason`] tells and counts why connections end.
//! - [`shutdown`] says what a node may still begin once it has been told to stop.
//!
//! The listener starts a task for each connection; the task owns the socket.

pub mod close_reason;
pub mod connection;
pub mod listener;
pub mod registry;
pub mod shutdown;

use crate::routing::DurationMicros;

/// When a client that finds no room on this node may try again.
const RETRY_AFTER_FULL: DurationMicros = 500_000;
