//! The messages between lease clients and lease servers. The serialised form is positional: no field or variant may
//! change its place.

use crate::{Epoch, Incarnation, Micros, ProcessId};
use serde::{Deserialize, Serialize};

/// An incarnation of one lease server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// The server's index in the list of lease servers.
    pub server: usize,
    /// The incarnation. Unlike those of other processes they are ordered: the newest one is the highest.
    pub incarnation: Incarnation,
}

/// A task with the highest epoch known for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskEpoch {
    /// The task's name.
    pub task: String,
    /// The highest epoch known.
    pub epoch: Epoch,
}

/// What a lease server remembers, for another one that has just started.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryResponse {
    /// The index of the server that answers.
    pub server: usize,
    /// The incarnation that asked.
    pub requester: Incarnation,
    /// The incarnation that answers.
    pub responder: Incarnation,
    /// Whether the server that answers has no memory of its own.
    pub is_blank: bool,
    /// Whether the incarnation that asked was blank when the server that answers found all servers blank.
    pub is_founder: bool,
    /// Each task with the highest epoch known for it.
    pub epochs: Vec<TaskEpoch>,
    /// The newest incarnation known of the server that asked. If that is another one, this answer does not count.
    pub newest_requester: Incarnation,
    /// The newest incarnation known of each server but the one that answers.
    pub incarnations: Vec<ServerIncarnation>,
}

/// A client's question for a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The task's name.
    pub task: String,
    /// The process that asks.
    pub requester: ProcessId,
    /// The epoch under which it asks.
    pub epoch: Epoch,
    /// Comes back with the answer and tells an old answer from a new one.
    pub round: u64,
    /// The lease's duration, in microseconds.
    pub duration: Micros,
}

/// A message to a lease server, from a client or from another server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// A client asks for a lease, or renews it.
    Acquire(AcquireRequest),
    /// A client no longer acts under this epoch.
    Release {
        /// The task's name.
        task: String,
        /// The process that held the lease.
        holder: ProcessId,
        /// The epoch under which it held it.
        epoch: Epoch,
    },
    /// A lease server that has just started asks what the others remember.
    RequestRecovery(ServerIncarnation),
    /// The answer to [`LeaseRequest::RequestRecovery`].
    Recovery(RecoveryResponse),
    /// A client tells a lease server that a newer incarnation of it is known than the one that granted; that one's
    /// grants do not count any more.
    Superseded(ServerIncarnation),
}

/// The answer of a lease server to [`LeaseRequest::Acquire`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// The lease is granted from now on.
    Granted {
        /// The task's name.
        task: String,
        /// The incarnation that asked: messages go by name, and two processes of one name count their rounds alike.
        requester: Incarnation,
        /// The request's round.
        round: u64,
        /// The request's epoch.
        epoch: Epoch,
        /// The incarnation of the server that grants.
        server_incarnation: Incarnation,
        /// The newest incarnation that it knows of each other server.
        incarnations: Vec<ServerIncarnation>,
    },
    /// The lease is not granted.
    Refused {
        /// The task's name.
        task: String,
        /// The incarnation that asked.
        requester: Incarnation,
        /// The request's round.
        round: u64,
        /// The highest epoch that this server knows for the task.
        epoch: Epoch,
        /// Who holds the lease by this server.
        holder: Option<ProcessId>,
        /// How much longer the holder's grant lasts by this server's clock, in microseconds.
        remaining: Micros,
    },
}

impl LeaseResponse {
    /// The incarnation that the answer is for.
    pub fn requester(&self) -> Incarnation {
        match self {
            LeaseResponse::Granted { requester, .. } | LeaseResponse::Refused { requester, .. } => {
                *requester
            }
        }
    }

    /// The task's name.
    pub fn task(&self) -> &str {
        match self {
            LeaseResponse::Granted { task, .. } | LeaseResponse::Refused { task, .. } => task,
        }
    }
}
