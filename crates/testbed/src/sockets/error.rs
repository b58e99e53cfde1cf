//! Errors of a fleet on sockets.

use super::serving_node::START_TIMEOUT;
use crate::emulator::description::FaultKind;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A fleet on sockets cannot be started or changed.
#[derive(Debug, thiserror::Error)]
pub enum SocketsError {
    /// The path of this program is unknown.
    #[error("node: the path of this program is unknown: {0}")]
    CurrentProgram(#[source] io::Error),
    /// The given program does not exist.
    #[error("node: the program {} does not exist", path.display())]
    NoProgram {
        /// The path that was given.
        path: PathBuf,
    },
    /// The node's program cannot be started.
    #[error("node: the program {} cannot be started: {source}", program.display())]
    StartNode {
        /// The path that was executed.
        program: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The node's process has no standard error.
    #[error("node: the process has no standard error to read its log from")]
    NoNodeLog,
    /// The node exited, or a timeout passed, before it logged that it serves.
    #[error(
        "node: exited or did not serve within {} s; last line of its log: {last_line}",
        START_TIMEOUT.as_secs()
    )]
    NodeDoesNotServe {
        /// The last line of its log.
        last_line: String,
    },
    /// A file cannot be written.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The discovery stub cannot listen.
    #[error("stub discovery server cannot listen: {0}")]
    Discovery(#[source] io::Error),
    /// A stub model server cannot listen.
    #[error("stub model server cannot listen: {0}")]
    ModelServer(#[source] io::Error),
    /// A stub model server cannot listen at its old address after a restart.
    #[error("stub model server cannot restart: its address {address} is in use")]
    AddressTaken {
        /// The address the server listened at before the restart.
        address: SocketAddr,
    },
    /// The run has a fault that needs an emulated network.
    #[error("fault {kind:?} is not supported on loopback sockets")]
    UnsupportedFault {
        /// The kind of the first unsupported fault in the run description.
        kind: FaultKind,
    },
    /// The fleet has no node.
    #[error("up: the fleet has no node")]
    NoNode,
}

impl SocketsError {
    /// Returns a function that adds this path to an I/O error.
    pub(super) fn file(path: &Path) -> impl Fn(io::Error) -> SocketsError + '_ {
        move |source| SocketsError::File {
            path: path.to_path_buf(),
            source,
        }
    }
}
