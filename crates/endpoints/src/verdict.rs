//! What a source says of an endpoint, and which of two sources prevails if they disagree.
//!
//! # Precedence
//!
//! Each source has exactly one [`SourceVerdict`] on each endpoint. [`PRECEDENCE`] names the verdict that prevails for
//! every pair of verdicts, and the prevailing verdict determines the endpoint's [`EndpointStatus`]. The verdicts of
//! more than two sources are combined two by two; the table is commutative, associative and idempotent, so neither
//! their order nor their number matters. From the weakest to the strongest:
//!
//! | verdict | the source | status if it prevails |
//! | --- | --- | --- |
//! | `silent` | has never answered | out of service |
//! | `absent` | has answered and does not list the endpoint | out of service |
//! | `stale` | listed the endpoint in its last answer, and cannot be asked any more | held |
//! | `held` | suddenly lacks many endpoints, this one among them, and is not believed yet | held |
//! | `listed` | lists the endpoint | in service |
//! | `draining` | lists the endpoint as draining | draining |
//! | `removed` | has removed or withdrawn the endpoint | out of service |
//!
//! Three rules follow from that order:
//!
//! * An explicit drain or removal prevails over any listing, because another source may have cached an old answer.
//! * A listing prevails over the failure or silence of another source.
//! * A failure never takes an endpoint out of service: a source that listed it and cannot be asked leaves it held.
//!
//! `docs/membership.md` has the table for operators, and a test compares both.

/// What one source says of one endpoint. Declared from the weakest verdict to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SourceVerdict {
    /// The source has never answered.
    Silent,
    /// The source has answered and does not list this endpoint.
    Absent,
    /// The source listed the endpoint in its last answer, which is past its lifetime, and cannot be asked.
    Stale,
    /// The source lacks the endpoint since a sudden loss of many, which is not believed yet.
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
    /// All verdicts in the order of the rows and columns of [`PRECEDENCE`].
    pub const ALL: [SourceVerdict; 7] = [Silent, Absent, Stale, Held, Listed, Draining, Removed];

    /// The word for the verdict in logs, tables and JSON.
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

    /// The status of an endpoint on which this verdict prevails.
    pub fn status(self) -> EndpointStatus {
        match self {
            Listed => EndpointStatus::InService,
            Stale | Held => EndpointStatus::Held,
            Draining => EndpointStatus::Draining,
            Silent | Absent | Removed => EndpointStatus::OutOfService,
        }
    }
}

/// Which of two sources' verdicts prevails: `PRECEDENCE[one as usize][other as usize]`. Rows and columns are in the
/// order of [`SourceVerdict::ALL`]; the module's documentation explains the order.
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

/// The verdict that prevails if two sources have these.
pub fn prevailing_verdict(one: SourceVerdict, other: SourceVerdict) -> SourceVerdict {
    PRECEDENCE[one as usize][other as usize]
}

/// Whether an endpoint takes requests, combined from all sources. Declared from the most usable status to the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointStatus {
    /// The endpoint takes new requests.
    InService,
    /// The endpoint takes new requests although the source that listed it cannot be asked, or suddenly stopped
    /// listing it and is not believed yet.
    Held,
    /// The endpoint finishes the requests it has and takes no new ones.
    Draining,
    /// The endpoint takes no requests.
    OutOfService,
}

impl EndpointStatus {
    /// The word for the status in logs, tables and JSON.
    pub fn label(self) -> &'static str {
        match self {
            EndpointStatus::InService => "in",
            EndpointStatus::Held => "held",
            EndpointStatus::Draining => "draining",
            EndpointStatus::OutOfService => "out",
        }
    }

    /// Whether an endpoint of this status takes new requests.
    pub fn is_usable(self) -> bool {
        self <= EndpointStatus::Held
    }
}
