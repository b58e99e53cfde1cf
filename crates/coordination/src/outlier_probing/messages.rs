//! The messages of outlier probing. The serialised form is positional: no field or variant may change its place.

use crate::Epoch;
use serde::{Deserialize, Serialize};

/// How many replicas are named in one message; more of them wait for the next.
pub const MAX_REPLICAS_PER_MESSAGE: usize = 64;

/// What the coordinator found out about a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The replica's name.
    pub replica: String,
    /// True where it was found healthy; false where it is still being probed.
    pub is_healthy: bool,
}

/// A message of outlier probing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbingMessage {
    /// To the coordinator: these replicas are ejected at the sender.
    Ejected {
        /// The replicas' names.
        replicas: Vec<String>,
    },
    /// From the coordinator: the replicas that it probes, and those found healthy.
    Verdicts {
        /// The epoch under which it coordinates.
        epoch: Epoch,
        /// One for each replica.
        verdicts: Vec<Verdict>,
    },
}
