//! The faults that are injected between processes, drawn from a seed or read from a script.
//!
//! The names of kinds and of fields are those of the command line, of scripts and of the history of a run.

use super::error::FaultInjectionError;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The kinds of faults. The holder is the node that holds the lease; keepers are the lease servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFaultKind {
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
    #[serde(rename = "weather")]
    #[value(name = "weather")]
    DegradedLinks,
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

impl InjectedFaultKind {
    /// All kinds. Faults are drawn by their order here.
    const ALL: [InjectedFaultKind; 21] = [
        InjectedFaultKind::KillHolder,
        InjectedFaultKind::KillNode,
        InjectedFaultKind::KillKeeper,
        InjectedFaultKind::KillBoth,
        InjectedFaultKind::KillKeepers,
        InjectedFaultKind::EndHolder,
        InjectedFaultKind::StopHolder,
        InjectedFaultKind::StopKeeper,
        InjectedFaultKind::OldDisk,
        InjectedFaultKind::EmptyDisk,
        InjectedFaultKind::CutOneWay,
        InjectedFaultKind::CutHolder,
        InjectedFaultKind::Split,
        InjectedFaultKind::DegradedLinks,
        InjectedFaultKind::LateAct,
        InjectedFaultKind::StopMidAct,
        InjectedFaultKind::HalfLeave,
        InjectedFaultKind::Rolling,
        InjectedFaultKind::FullDisk,
        InjectedFaultKind::FailedSync,
        InjectedFaultKind::NameTwice,
    ];
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InjectedFault {
    /// Its kind.
    pub kind: InjectedFaultKind,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// A number from which the node that it affects is drawn.
    pub whom: u64,
    /// Its strength, from 0 to 1.
    pub size: f64,
}

/// A script, as TOML: `[[fault]]` with the fields of [`InjectedFault`], as `history.jsonl` has them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Script {
    fault: Vec<InjectedFault>,
}

impl InjectedFault {
    /// Reads a script.
    ///
    /// # Errors
    ///
    /// [`FaultInjectionError::File`] where the file cannot be read, [`FaultInjectionError::Script`] where it does not
    /// hold.
    pub fn read_script(path: &Path) -> Result<Vec<InjectedFault>, FaultInjectionError> {
        let text = std::fs::read_to_string(path).map_err(FaultInjectionError::file(path))?;
        let script: Script =
            toml::from_str(&text).map_err(|source| FaultInjectionError::Script {
                path: path.to_path_buf(),
                source: Box::new(source),
            })?;
        Ok(script.fault)
    }

    /// Draws a fault of one of these kinds, or of any where there is none; `lease_ms` is the duration of leases.
    pub(super) fn draw(
        rng: &mut Pcg64Mcg,
        kinds: &[InjectedFaultKind],
        lease_ms: u64,
    ) -> InjectedFault {
        let kinds = if kinds.is_empty() {
            &InjectedFaultKind::ALL[..]
        } else {
            kinds
        };
        let kind = kinds[rng.random_range(0..kinds.len())];
        // Mostly short against the lease, sometimes long, and up to ten leases for a stop.
        let max_ms = match (kind, rng.random_range(0..4)) {
            (InjectedFaultKind::StopHolder, 0) => 10 * lease_ms,
            (_, 0..=1) => 3 * lease_ms,
            _ => lease_ms,
        };
        InjectedFault {
            kind,
            for_ms: rng.random_range(lease_ms / 10..=max_ms),
            whom: rng.random(),
            size: rng.random(),
        }
    }
}
