//! The policies that experiments compare: the project's own scheduler, and the common load-balancing policies as
//! baselines.
//!
//! [`Policy`] lists them; [`BaselinePolicy`] is a node that balances by any policy but the project's own.

mod baseline;

pub use baseline::BaselinePolicy;

use serde::{Deserialize, Serialize};

/// How a node chooses the replica of an attempt. The serialized names are used in experiments and results files.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The project's own request router and scheduler.
    Poppykeel,
    /// Any replica at random.
    Random,
    /// All replicas in turn.
    RoundRobin,
    /// The replica with the fewest requests of this node in flight.
    LeastOutstanding,
    /// Of two random replicas, the one with fewer requests in flight (Mitzenmacher, 2001).
    TwoChoices,
    /// The replica that reported the fewest queued prompt tokens.
    LeastReported,
    /// The replica of the session on a hash ring, unless that replica has too many requests in flight.
    PrefixAffine,
}

impl Policy {
    /// All policies, the project's own first.
    pub const ALL: [Policy; 7] = [
        Policy::Poppykeel,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::LeastReported,
        Policy::PrefixAffine,
    ];
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Policy::Poppykeel => "poppykeel",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
            Policy::LeastReported => "least-reported",
            Policy::PrefixAffine => "prefix-affine",
        })
    }
}
