//! Identifiers that all parts of coordination share: epochs, incarnations and processes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a lease's grant. Each new holder of a lease has a higher epoch than all holders before it, so whatever
/// is acted upon can refuse the acts of an earlier one (fencing). 0 stands for "none".
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A number that tells one start of a process from the others under the same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::LowerHex for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

/// One process of a node. A node that is back under the same name has another incarnation and is another process: it
/// holds nothing of what the process before it held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The node's name.
    pub node: String,
    /// Drawn at random at each start of the process.
    pub incarnation: Incarnation,
}
