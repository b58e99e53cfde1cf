//! What the nodes of one fleet agree on. Nothing here reads a socket, a file or a clock: drivers feed messages and
//! time, and carry out what is returned.
//!
//! [`lease`] has the machines of the lease: the keeper and the claim of one task. [`gossip`] is the account of who is
//! there. [`Node`] puts them together as one process has them. `docs/leases.md` says in exact words what holds, on
//! which assumptions, and how it is attacked.

pub mod budget;
pub mod envelope;
pub mod gossip;
pub mod lease;
mod node;
pub mod outlier_probing;
pub mod rolling_restart;

pub use node::{Counts, Node, Out, Settings, Status};

/// Whole microseconds on the clock of whoever speaks. It must go on while the machine sleeps.
pub type Micros = u64;
