//! Coordination between the nodes of a fleet, as state machines without I/O.
//!
//! Nothing here reads a socket, a file or a clock. Drivers (`src/transport/coordination` in the node, the emulator in
//! the testbed, and the tests) pass in messages and the current time and execute the returned outputs.
//!
//! | module | job |
//! | --- | --- |
//! | [`lease`] | client and server of leases that are granted by a majority of lease servers |
//! | [`gossip`] | fleet membership by the SWIM protocol |
//! | [`budget`] | fleet-wide rate limits, allocated to nodes by grants of limited duration |
//! | [`rolling_restart`] | draining nodes for a restart, a few at a time, coordinated by a lease holder |
//! | [`outlier_probing`] | probing ejected replicas once for the whole fleet, coordinated by a lease holder |
//! | [`node`] | membership, lease clients and lease server of one process |
//! | [`envelope`] | the wire format of messages between nodes |
//!
//! `docs/leases.md` and `docs/budgets.md` state the exact guarantees, their assumptions and how they are tested.

pub mod budget;
pub mod envelope;
pub mod gossip;
pub mod identity;
pub mod lease;
pub mod node;
pub mod outlier_probing;
pub mod rolling_restart;

pub use identity::{Epoch, Incarnation, ProcessId};

/// A point in time or a duration, in microseconds, on the local monotonic clock. The clock must keep counting while the
/// machine is suspended.
pub type Micros = u64;
