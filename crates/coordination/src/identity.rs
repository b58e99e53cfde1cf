//! Identifiers shared by all coordination modules: epochs, incarnations and processes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A fencing token of a lease. Each new holder has a higher epoch than all previous holders, so a resource can reject
/// actions of a previous holder. 0 means "none".
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

/// Distinguishes the processes that were started under the same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::LowerHex for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

/// One process of a node. A restarted node has the same name and a new incarnation; it inherits no lease or grant of
/// the previous process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The node's name.
    pub node: String,
    /// A random number that the process draws when it starts.
    pub incarnation: Incarnation,
}
