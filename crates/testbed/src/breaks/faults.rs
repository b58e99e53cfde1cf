//! What goes wrong, drawn from a seed.

#![expect(clippy::missing_errors_doc, reason = "not yet converted")]

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// What kind of thing goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// SIGKILL of the holder.
    KillHolder,
    /// SIGKILL of a node drawn.
    KillNode,
    /// SIGKILL of a keeper drawn; it keeps its disk.
    KillKeeper,
    /// SIGKILL of the holder and a keeper.
    KillBoth,
    /// SIGKILL of all keepers at once.
    KillKeepers,
    /// SIGTERM of the holder.
    EndHolder,
    /// SIGSTOP of the holder, for up to ten leases.
    StopHolder,
    /// SIGSTOP of a keeper.
    StopKeeper,
    /// SIGKILL of a keeper that comes back with its disk of the run's beginning.
    OldDisk,
    /// SIGKILL of a keeper that comes back with no disk.
    EmptyDisk,
    /// Nothing passes from a keeper drawn to the others, but from them to it.
    CutOneWay,
    /// Nothing passes from the holder to the keepers, but from them to it.
    CutHolder,
    /// Two halves, as even as can be, that don't reach each other.
    Split,
    /// All links lose, delay, repeat and reorder.
    Weather,
    /// What the holder sends to what it acts upon arrives three leases later, and it is killed meanwhile.
    LateAct,
    /// SIGSTOP of the holder while an act of its is under way, which arrives after it was woken.
    StopMidAct,
    /// Half of the nodes leave in order in the same second, and come back together.
    HalfLeave,
    /// All nodes are ended in order and started again, one after the other.
    Rolling,
    /// A keeper's disk is full, and the holder is killed, so that there is something to write.
    FullDisk,
    /// The same with syncs that fail.
    FailedSync,
    /// A second process under a node's name, with a memory and an address of its own; messages to the name reach
    /// one of the two.
    NameTwice,
}

impl Kind {
    const ALL: [Kind; 21] = [
        Kind::KillHolder,
        Kind::KillNode,
        Kind::KillKeeper,
        Kind::KillBoth,
        Kind::KillKeepers,
        Kind::EndHolder,
        Kind::StopHolder,
        Kind::StopKeeper,
        Kind::OldDisk,
        Kind::EmptyDisk,
        Kind::CutOneWay,
        Kind::CutHolder,
        Kind::Split,
        Kind::Weather,
        Kind::LateAct,
        Kind::StopMidAct,
        Kind::HalfLeave,
        Kind::Rolling,
        Kind::FullDisk,
        Kind::FailedSync,
        Kind::NameTwice,
    ];
}

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// For how long, in milliseconds.
    pub for_ms: u64,
    /// A number from which whoever it befalls is drawn.
    pub whom: u64,
    /// How bad, from 0 to 1.
    pub size: f64,
}

/// A script, as TOML: `[[fault]]` with the fields of [`Fault`], as `history.jsonl` has them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Script {
    fault: Vec<Fault>,
}

impl Fault {
    /// Reads a script.
    pub fn script(path: &std::path::Path) -> Result<Vec<Fault>, String> {
        let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
        let script: Script = toml::from_str(&text).map_err(|e| named(&e))?;
        Ok(script.fault)
    }

    /// Draws one, of these kinds or of all; `lease_ms` is the lease's length.
    pub fn draw(rng: &mut Pcg64Mcg, only: &[Kind], lease_ms: u64) -> Fault {
        let kinds = if only.is_empty() {
            &Kind::ALL[..]
        } else {
            only
        };
        let kind = kinds[rng.random_range(0..kinds.len())];
        // Mostly short against the lease, sometimes long, and up to ten leases for a stop.
        let most = match (kind, rng.random_range(0..4)) {
            (Kind::StopHolder, 0) => 10 * lease_ms,
            (_, 0..=1) => 3 * lease_ms,
            _ => lease_ms,
        };
        Fault {
            kind,
            for_ms: rng.random_range(lease_ms / 10..=most),
            whom: rng.random(),
            size: rng.random(),
        }
    }
}
