//! The verdict of a source on an endpoint, and which verdict prevails if sources disagree.
//!
//! # Precedence
//!
//! Each source has exactly one [`SourceVerdict`] on each endpoint. [`PRECEDENCE`] gives the prevailing verdict for
//! every pair of verdicts, and the prevailing verdict determines the endpoint's [`EndpointStatus`]. The verdicts of
//! more than two sources are combined pairwise; the table is commutative, associative and idempotent, so neither the
//! order nor the number of the sources matters. From the weakest to the strongest:
//!
//! | verdict | the source | status if it prevails |
//! | --- | --- | --- |
//! | `silent` | has never answered | out of service |
//! | `absent` | has answered and does not list the endpoint | out of service |
//! | `stale` | listed the endpoint in its last answer, and has become unreachable | held |
//! | `held` | suddenly lacks many endpoints, including this one; the loss is not confirmed yet | held |
//! | `listed` | lists the endpoint | in service |
//! | `draining` | lists the endpoint as draining | draining |
//! | `removed` | has removed or withdrawn the endpoint | out of service |
//!
//! Three rules follow from this order:
//!
//! * An explicit drain or removal prevails over any listing, because another source may serve a stale cached answer.
//! * A listing prevails over the failure or silence of another source.
//! * A failure never takes an endpoint out of service: while the source that listed it is unreachable, it is held.
//!
//! `docs/membership.md` documents the same table for operators; a test compares both.

/// The verdict of one source on one endpoint. Variants are ordered from the weakest to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SourceVerdict {
    /// The source has never answered.
    Silent,
    /// The source has answered and does not list this endpoint.
    Absent,
    /// The source listed the endpoint in its last answer, which has expired, and is unreachable.
    Stale,
    /// The source no longer lists the endpoint after a sudden loss of many, which is not confirmed yet.
    Held,
    /// The source lists the endpoint.
    Listed,
    /// The source lists the endpoint as draining.
    Draining,
    /// The source has removed or withdrawn the endpoint.
    Removed,
}

use SourceVerdict::{Absent, Draining, Held, Listed, Removed, Silent, Stale};

impl SourceVerdict {
    /// All verdicts, in the order of the rows and columns of [`PRECEDENCE`].
    pub const ALL: [SourceVerdict; 7] = [Silent, Absent, Stale, Held, Listed, Draining, Removed];

    /// The verdict's label in logs, tables and JSON.
    pub fn label(self) -> &'static str {
        match self {
            Silent => "silent",
            Absent => "absent",
            Stale => "stale",
            Held => "held",
            Listed => "listed",
            Draining => "draining",
            Removed => "removed",
        }
    }

    /// The status of an endpoint for which this verdict prevails.
    pub fn status(self) -> EndpointStatus {
        match self {
            Listed => EndpointStatus::InService,
            Stale | Held => EndpointStatus::Held,
            Draining => EndpointStatus::Draining,
            Silent | Absent | Removed => EndpointStatus::OutOfService,
        }
    }
}

/// The prevailing verdict of two sources: `PRECEDENCE[one as usize][other as usize]`. Rows and columns are in the order
/// of [`SourceVerdict::ALL`]; the module documentation explains this order.
pub const PRECEDENCE: [[SourceVerdict; 7]; 7] = [
    [Silent, Absent, Stale, Held, Listed, Draining, Removed],
    [Absent, Absent, Stale, Held, Listed, Draining, Removed],
    [Stale, Stale, Stale, Held, Listed, Draining, Removed],
    [Held, Held, Held, Held, Listed, Draining, Removed],
    [Listed, Listed, Listed, Listed, Listed, Draining, Removed],
    [
        Draining, Draining, Draining, Draining, Draining, Draining, Removed,
    ],
    [
        Removed, Removed, Removed, Removed, Removed, Removed, Removed,
    ],
];

/// The prevailing one of the verdicts of two sources, by [`PRECEDENCE`]. The order of the arguments has no effect.
pub fn prevailing_verdict(one: SourceVerdict, other: SourceVerdict) -> SourceVerdict {
    PRECEDENCE[one as usize][other as usize]
}

/// Whether an endpoint takes requests, merged from all sources. Variants are ordered from the most to the least usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointStatus {
    /// The endpoint takes new requests.
    InService,
    /// The endpoint takes new requests although the source that listed it is unreachable, or has suddenly stopped
    /// listing it and the loss is not confirmed yet.
    Held,
    /// The endpoint completes its current requests and takes no new ones.
    Draining,
    /// The endpoint takes no requests.
    OutOfService,
}

impl EndpointStatus {
    /// The status's label in logs, tables and JSON.
    pub fn label(self) -> &'static str {
        match self {
            EndpointStatus::InService => "in",
            EndpointStatus::Held => "held",
            EndpointStatus::Draining => "draining",
            EndpointStatus::OutOfService => "out",
        }
    }

    /// Whether an endpoint with this status takes new requests.
    pub fn is_usable(self) -> bool {
        self <= EndpointStatus::Held
    }
}
