//! What a source can think of a server, and the table of which opinion wins over which.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

/// What one source thinks of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SourceVerdict {
    /// The source has never said anything.
    Silent,
    /// It has answered and knows nothing of this server.
    Absent,
    /// It listed the server at last, but its word is past its lifetime and it cannot be asked.
    Stale,
    /// It lacks the server suddenly, among many: not believed yet.
    Held,
    /// It lists the server.
    Listed,
    /// It says that the server drains.
    Draining,
    /// It has taken the server away.
    Removed,
}

/// All opinions in the order of the table's rows and columns.
pub const ALL_VERDICTS: [SourceVerdict; 7] = [
    SourceVerdict::Silent,
    SourceVerdict::Absent,
    SourceVerdict::Stale,
    SourceVerdict::Held,
    SourceVerdict::Listed,
    SourceVerdict::Draining,
    SourceVerdict::Removed,
];

use SourceVerdict::{
    Absent as A, Draining as D, Held as H, Listed as L, Removed as R, Silent as S, Stale as T,
};

/// Which of two sources' opinions counts: `TABLE[one][other]`. Rows and columns are in the order of [`SourceVerdict`];
/// a test holds `docs/membership.md` and the folding over more than two sources to it.
pub const PRECEDENCE: [[SourceVerdict; 7]; 7] = [
    [S, A, T, H, L, D, R],
    [A, A, T, H, L, D, R],
    [T, T, T, H, L, D, R],
    [H, H, H, H, L, D, R],
    [L, L, L, L, L, D, R],
    [D, D, D, D, D, D, R],
    [R, R, R, R, R, R, R],
];

/// The opinion that counts where two sources have these.
pub fn prevailing_verdict(one: SourceVerdict, other: SourceVerdict) -> SourceVerdict {
    PRECEDENCE[one as usize][other as usize]
}

/// How a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointStatus {
    /// It takes work.
    InService,
    /// It takes work though the source that listed it can't say so, or has suddenly stopped saying so.
    Held,
    /// It ends what it has.
    Draining,
    /// It takes nothing.
    OutOfService,
}

impl EndpointStatus {
    /// The word for it in logs and tables.
    pub fn label(self) -> &'static str {
        match self {
            EndpointStatus::InService => "in",
            EndpointStatus::Held => "held",
            EndpointStatus::Draining => "draining",
            EndpointStatus::OutOfService => "out",
        }
    }
}

impl SourceVerdict {
    /// The word for it in logs and tables.
    pub fn label(self) -> &'static str {
        match self {
            SourceVerdict::Silent => "silent",
            SourceVerdict::Absent => "absent",
            SourceVerdict::Stale => "stale",
            SourceVerdict::Held => "held",
            SourceVerdict::Listed => "listed",
            SourceVerdict::Draining => "draining",
            SourceVerdict::Removed => "removed",
        }
    }
}

/// How a server stands by the opinion that counts.
pub fn status_for_verdict(opinion: SourceVerdict) -> EndpointStatus {
    match opinion {
        SourceVerdict::Listed => EndpointStatus::InService,
        SourceVerdict::Stale | SourceVerdict::Held => EndpointStatus::Held,
        SourceVerdict::Draining => EndpointStatus::Draining,
        SourceVerdict::Silent | SourceVerdict::Absent | SourceVerdict::Removed => {
            EndpointStatus::OutOfService
        }
    }
}
