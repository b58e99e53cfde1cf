//! The policies that a run compares: the project's own scheduler, and what users would otherwise deploy.
//!
//! [`Policy`] names them; [`SimplePolicy`] is one node that balances by any of the others.

mod simple;

pub use simple::SimplePolicy;

use serde::{Deserialize, Serialize};

/// How a node chooses the replica of an attempt. The names are those of experiments and of results files.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The project's own request router and scheduler.
    Poppykeel,
    /// Any replica at random.
    Random,
    /// One replica after the other.
    RoundRobin,
    /// The replica with the fewest requests of this node in flight.
    LeastOutstanding,
    /// The better of two random replicas by requests in flight (Mitzenmacher, 2001).
    TwoChoices,
    /// The replica that reported the fewest queued prompt tokens.
    LeastReported,
    /// The place of the session on a hash ring, unless that replica has too much in flight.
    PrefixAffine,
}

impl Policy {
    /// All of them, the project's own first.
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
