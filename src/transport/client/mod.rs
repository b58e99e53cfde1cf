//! Connections of clients: the listener that accepts them, the task of each connection, what all of them share, why they
//! end, and what a node may still begin while it shuts down.

pub mod close_reason;
pub mod connection;
pub mod listener;
pub mod registry;
pub mod shutdown;
