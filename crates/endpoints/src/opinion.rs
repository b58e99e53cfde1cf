//! What a source can think of a server, and the table of which opinion wins over which.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

/// What one source thinks of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Opinion {
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
pub const OPINIONS: [Opinion; 7] = [
    Opinion::Silent,
    Opinion::Absent,
    Opinion::Stale,
    Opinion::Held,
    Opinion::Listed,
    Opinion::Draining,
    Opinion::Removed,
];

use Opinion::{
    Absent as A, Draining as D, Held as H, Listed as L, Removed as R, Silent as S, Stale as T,
};

/// Which of two sources' opinions counts: `TABLE[one][other]`. Rows and columns are in the order of [`Opinion`];
/// a test holds `docs/membership.md` and the folding over more than two sources to it.
pub const TABLE: [[Opinion; 7]; 7] = [
    [S, A, T, H, L, D, R],
    [A, A, T, H, L, D, R],
    [T, T, T, H, L, D, R],
    [H, H, H, H, L, D, R],
    [L, L, L, L, L, D, R],
    [D, D, D, D, D, D, R],
    [R, R, R, R, R, R, R],
];

/// The opinion that counts where two sources have these.
pub fn wins(one: Opinion, other: Opinion) -> Opinion {
    TABLE[one as usize][other as usize]
}

/// How a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It takes work.
    In,
    /// It takes work though the source that listed it can't say so, or has suddenly stopped saying so.
    Held,
    /// It ends what it has.
    Draining,
    /// It takes nothing.
    Out,
}

impl Standing {
    /// The word for it in logs and tables.
    pub fn word(self) -> &'static str {
        match self {
            Standing::In => "in",
            Standing::Held => "held",
            Standing::Draining => "draining",
            Standing::Out => "out",
        }
    }
}

impl Opinion {
    /// The word for it in logs and tables.
    pub fn word(self) -> &'static str {
        match self {
            Opinion::Silent => "silent",
            Opinion::Absent => "absent",
            Opinion::Stale => "stale",
            Opinion::Held => "held",
            Opinion::Listed => "listed",
            Opinion::Draining => "draining",
            Opinion::Removed => "removed",
        }
    }
}

/// How a server stands by the opinion that counts.
pub fn standing(opinion: Opinion) -> Standing {
    match opinion {
        Opinion::Listed => Standing::In,
        Opinion::Stale | Opinion::Held => Standing::Held,
        Opinion::Draining => Standing::Draining,
        Opinion::Silent | Opinion::Absent | Opinion::Removed => Standing::Out,
    }
}
