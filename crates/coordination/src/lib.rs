//! Coordination between the nodes of one fleet, as state machines without input or output.
//!
//! Nothing here reads a socket, a file or a clock. Drivers (`src/transport/coordination` in the node, the emulator in the
//! testbed, and the tests) feed messages and time, and carry out what is returned.
//!
//! | module | job |
//! | --- | --- |
//! | [`lease`] | the server and the client of leases that a majority of lease servers grants |
//! | [`gossip`] | which nodes are there, by a SWIM membership protocol |
//! | [`budget`] | limits of the whole fleet, allocated among its nodes by time |
//! | [`rolling_restart`] | taking nodes out one after the other, under a lease |
//! | [`outlier_probing`] | probing ejected replicas once for the whole fleet, under a lease |
//! | [`node`] | one process's composition of membership, lease clients and lease server |
//! | [`envelope`] | the wire format of messages between nodes |
//!
//! `docs/leases.md` and `docs/budgets.md` state the guarantees exactly, on which assumptions they rest, and how they
//! are tested.

pub mod budget;
pub mod envelope;
pub mod gossip;
pub mod identity;
pub mod lease;
pub mod node;
pub mod outlier_probing;
pub mod rolling_restart;

pub use identity::{Epoch, Incarnation, ProcessId};

/// A point in time or a span of it, in whole microseconds on the monotonic clock of whoever states it. That clock must
/// go on while the machine sleeps.
pub type Micros = u64;
