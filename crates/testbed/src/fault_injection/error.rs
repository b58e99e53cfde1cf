//! Why a scenario could not be played to its end.

use super::injected_fault::InjectedFault;
use crate::emulator::description::RunDescriptionError;
use crate::sockets::SocketsError;
use std::io;
use std::path::{Path, PathBuf};

/// A scenario could not be played to its end. That a rule was violated is not an error but part of its report.
#[derive(Debug, thiserror::Error)]
pub enum FaultInjectionError {
    /// A file or folder, or a program, cannot be used.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A script of faults does not hold.
    #[error("{}: {source}", path.display())]
    Script {
        /// Its path.
        path: PathBuf,
        /// Why, with the line.
        source: Box<toml::de::Error>,
    },
    /// No port is free.
    #[error("port: {0}")]
    Port(#[source] io::Error),
    /// A relay between nodes cannot listen.
    #[error("relay: {0}")]
    Relay(#[source] io::Error),
    /// The stub that nodes report to cannot listen.
    #[error("collector: {0}")]
    Collector(#[source] io::Error),
    /// A lease server's disk cannot be copied.
    #[error("disk: {0}")]
    Disk(#[source] io::Error),
    /// The description of the fleet cannot be played.
    #[error(transparent)]
    Description(#[from] RunDescriptionError),
    /// A stub server on sockets does not start.
    #[error(transparent)]
    Sockets(#[from] SocketsError),
    /// A fleet of one node has no link over which a twin could be reached.
    #[error("a fleet of one has no twins")]
    NoTwin,
    /// No node has held the lease since the start.
    #[error("nobody ever held the task")]
    NeverHeld,
    /// The node did not accept the order of a rolling restart.
    #[error("the roll was not taken")]
    RollingRestartNotAccepted,
    /// Something did not happen in time.
    #[error("{awaited}: not within {seconds} s")]
    TimedOut {
        /// What was waited for.
        awaited: &'static str,
        /// For how long.
        seconds: u64,
    },
    /// Processes have ended although no fault has ended them.
    #[error("{}", unexpected_exit_text(*round, exits, fault))]
    UnexpectedExit {
        /// The round of faults, from 0.
        round: usize,
        /// The processes.
        exits: Vec<UnexpectedExit>,
        /// The fault before.
        fault: InjectedFault,
    },
}

impl FaultInjectionError {
    /// Names the file to which an error belongs.
    pub(super) fn file(path: &Path) -> impl Fn(io::Error) -> FaultInjectionError + '_ {
        move |source| FaultInjectionError::File {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// A process that has ended although no fault has ended it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnexpectedExit {
    /// The index of the node.
    pub node: usize,
    /// Its exit status.
    pub status: String,
}

/// One line on processes that have ended by themselves.
pub(super) fn unexpected_exit_text(
    round: usize,
    exits: &[UnexpectedExit],
    fault: &InjectedFault,
) -> String {
    let listed: Vec<(usize, &str)> = exits
        .iter()
        .map(|exit| (exit.node, exit.status.as_str()))
        .collect();
    format!("round {round}: ended by themselves: {listed:?}, after {fault:?}")
}
