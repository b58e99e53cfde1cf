//! Why a fleet on sockets cannot be started.

use crate::emulator::description::FaultKind;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A fleet on sockets cannot be started or changed.
#[derive(Debug, thiserror::Error)]
pub enum SocketsError {
    /// The path of this program is not known.
    #[error("node: {0}")]
    CurrentProgram(#[source] io::Error),
    /// There is no such program.
    #[error("node: there is no {}", path.display())]
    NoProgram {
        /// The path that was given.
        path: PathBuf,
    },
    /// The node's program cannot be started.
    #[error("node {}: {source}", program.display())]
    StartNode {
        /// The program.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The node's process has no standard error.
    #[error("node: no log")]
    NoNodeLog,
    /// The node does not say in time that it serves.
    #[error("node: does not serve; last said: {last_line}")]
    NodeDoesNotServe {
        /// The last line of its log.
        last_line: String,
    },
    /// A file cannot be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The stub of discovery cannot listen.
    #[error("discovery: {0}")]
    Discovery(#[source] io::Error),
    /// A stub model server cannot listen.
    #[error("model server: {0}")]
    ModelServer(#[source] io::Error),
    /// A stub model server cannot listen at its address again.
    #[error("model server: {address} cannot be had again")]
    AddressTaken {
        /// The address.
        address: SocketAddr,
    },
    /// A kind of fault that needs an emulated network.
    #[error("fault: {kind:?} is not to be had on loopback sockets")]
    UnsupportedFault {
        /// The kind.
        kind: FaultKind,
    },
    /// A fleet without a node.
    #[error("up: no node")]
    NoNode,
}

impl SocketsError {
    /// Names the file to which an error belongs.
    pub(super) fn file(path: &Path) -> impl Fn(io::Error) -> SocketsError + '_ {
        move |source| SocketsError::File {
            path: path.to_path_buf(),
            source,
        }
    }
}
