//! The faults that are injected, drawn from a seed or read from a script.
//!
//! The names of kinds and fields are part of the command line, of scripts and of the history of a run.

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
    /// SIGKILL of a random node.
    KillNode,
    /// SIGKILL of a random keeper; its disk stays.
    KillKeeper,
    /// SIGKILL of the holder and a lease server.
    KillBoth,
    /// SIGKILL of all keepers at once.
    KillKeepers,
    /// SIGTERM of the holder.
    EndHolder,
    /// SIGSTOP of the holder, for up to ten lease durations.
    StopHolder,
    /// SIGSTOP of a keeper.
    StopKeeper,
    /// SIGKILL of a lease server, which restarts with its disk as of the beginning of the run.
    OldDisk,
    /// SIGKILL of a lease server, which restarts with an empty disk.
    EmptyDisk,
    /// The links from a random lease server to all other nodes are cut; those to it work.
    CutOneWay,
    /// The links from the holder to the lease servers are cut; those to it work.
    CutHolder,
    /// A network partition into two halves, which differ by at most one node.
    Split,
    /// All links drop, delay, duplicate and reorder messages.
    #[serde(rename = "weather")]
    #[value(name = "weather")]
    DegradedLinks,
    /// An action of the holder arrives three lease durations late, and the holder is killed in the meantime.
    LateAct,
    /// SIGSTOP of the holder while an action is in flight, which arrives after the holder is resumed.
    StopMidAct,
    /// Half of the nodes shut down gracefully at the same time and restart together.
    HalfLeave,
    /// All nodes shut down gracefully and restart, one after the other.
    Rolling,
    /// A lease server's disk is full, and the holder is killed, so that a new grant has to be written.
    FullDisk,
    /// A lease server's disk fails to sync, and the holder is killed, so that a new grant has to be written.
    FailedSync,
    /// A second process runs under a node's name, with its own disk and addresses; each message to that name reaches
    /// one of the two.
    NameTwice,
}

impl InjectedFaultKind {
    /// All kinds. A seed selects kinds by their index here, so that the order must not change.
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

/// A fault of a scenario: its kind, duration and target node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InjectedFault {
    /// The kind determines what is injected, and whether `size` is used.
    pub kind: InjectedFaultKind,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// Selects the affected node: its index is this number modulo the number of candidates.
    pub whom: u64,
    /// The severity, from 0 to 1, of [`InjectedFaultKind::DegradedLinks`]. [`InjectedFaultKind::NameTwice`] affects the
    /// holder if it is below 0.5 and the node selected by `whom` otherwise. Other kinds ignore it.
    pub size: f64,
}

/// A script, as TOML: a list of `[[fault]]` with the fields of [`InjectedFault`], as written to `history.jsonl`.
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
    /// [`FaultInjectionError::File`] if the file cannot be read, [`FaultInjectionError::Script`] if it is not valid.
    pub fn read_script(path: &Path) -> Result<Vec<InjectedFault>, FaultInjectionError> {
        let text = std::fs::read_to_string(path).map_err(FaultInjectionError::file(path))?;
        let script: Script =
            toml::from_str(&text).map_err(|source| FaultInjectionError::Script {
                path: path.to_path_buf(),
                source: Box::new(source),
            })?;
        Ok(script.fault)
    }

    /// Draws a fault of one of these kinds, or of any kind if the list is empty. `lease_ms` is the duration of leases.
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
        // Half of the faults last at most one lease duration and the others at most three, except that a quarter of
        // the faults that stop the holder last up to ten.
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
