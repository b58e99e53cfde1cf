//! Errors that stop a scenario before its end.

use super::injected_fault::InjectedFault;
use crate::emulator::description::RunDescriptionError;
use crate::sockets::SocketsError;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A scenario could not be completed. A violated guarantee is not an error; it is part of the scenario's report.
#[derive(Debug, thiserror::Error)]
pub enum FaultInjectionError {
    /// A file, folder or program cannot be accessed.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file, folder or program.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A fault script is not valid.
    #[error("{}: {source}", path.display())]
    Script {
        /// The path of the script.
        path: PathBuf,
        /// The parser's error, with the line.
        source: Box<toml::de::Error>,
    },
    /// No free port was found.
    #[error("cannot bind a port on loopback: {0}")]
    Port(#[source] io::Error),
    /// A relay between nodes cannot listen.
    #[error("relay between nodes cannot listen: {0}")]
    Relay(#[source] io::Error),
    /// The stub collector of reports cannot listen.
    #[error("report collector cannot listen: {0}")]
    Collector(#[source] io::Error),
    /// A lease server's disk cannot be copied.
    #[error("cannot back up the disk of a lease server: {0}")]
    Disk(#[source] io::Error),
    /// The description of the fleet is not valid.
    #[error(transparent)]
    Description(#[from] RunDescriptionError),
    /// A stub server cannot be started.
    #[error(transparent)]
    Sockets(#[from] SocketsError),
    /// A fleet of one node has no link over which a duplicate node could receive messages.
    #[error("fault name-twice: the fleet needs at least 2 nodes, but has 1")]
    FleetTooSmall,
    /// No node acquired the lease after the start of the fleet.
    #[error("no node acquired the lease within {timeout:?} after the start of the fleet")]
    NeverHeld {
        /// How long the scenario waited.
        timeout: Duration,
    },
    /// The node did not accept the order of a rolling restart.
    #[error("the node did not accept the order of a rolling restart")]
    RollingRestartNotAccepted,
    /// An expected state was not reached in time.
    #[error("timed out after {seconds} s waiting for {awaited}")]
    TimedOut {
        /// The expected state.
        awaited: &'static str,
        /// The timeout, in seconds.
        seconds: u64,
    },
    /// Processes exited although no injected fault ended them.
    #[error("{}", describe_unexpected_exits(*round, exits, fault))]
    UnexpectedExit {
        /// The index of the round.
        round: usize,
        /// The processes that exited.
        exits: Vec<UnexpectedExit>,
        /// The last injected fault.
        fault: InjectedFault,
    },
}

impl FaultInjectionError {
    /// Returns a function that adds this path to an I/O error.
    pub(super) fn file(path: &Path) -> impl Fn(io::Error) -> FaultInjectionError + '_ {
        move |source| FaultInjectionError::File {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// The exit of a process that no injected fault ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnexpectedExit {
    /// The index of the node.
    pub node: usize,
    /// The exit status, as text.
    pub status: String,
}

/// Describes unexpected exits in one line.
pub(super) fn describe_unexpected_exits(
    round: usize,
    exits: &[UnexpectedExit],
    fault: &InjectedFault,
) -> String {
    let listed: Vec<(usize, &str)> = exits
        .iter()
        .map(|exit| (exit.node, exit.status.as_str()))
        .collect();
    format!("round {round}: processes exited unexpectedly: {listed:?}, after {fault:?}")
}
