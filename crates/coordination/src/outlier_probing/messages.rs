//! Messages of outlier probing. The serialised form is positional: fields and variants must keep their order.

use crate::Epoch;
use serde::{Deserialize, Serialize};

/// The maximum number of replicas in one message; further ones are left out.
pub const MAX_REPLICAS_PER_MESSAGE: usize = 64;

/// The coordinator's result for a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The replica's name.
    pub replica: String,
    /// True if the replica was found healthy; false if it is still being probed.
    pub is_healthy: bool,
}

/// A message of outlier probing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbingMessage {
    /// To the coordinator: the replicas that are ejected at the sender.
    Ejected {
        /// The replicas' names.
        replicas: Vec<String>,
    },
    /// From the coordinator: the replicas that it probes, and those found healthy.
    Verdicts {
        /// The coordinator's epoch.
        epoch: Epoch,
        /// At most one verdict per replica.
        verdicts: Vec<Verdict>,
    },
}
