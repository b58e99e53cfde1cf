//! Messages between lease clients and lease servers. The serialised form is positional: fields and variants must keep
//! their order.

use crate::{Epoch, Incarnation, Micros, ProcessId};
use serde::{Deserialize, Serialize};

/// An incarnation of one lease server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// The server's index in the list of lease servers.
    pub server: usize,
    /// Incarnations of lease servers are ordered, unlike those of other processes: the newest is the highest.
    pub incarnation: Incarnation,
}

/// The highest epoch of a task that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskEpoch {
    /// The task's name.
    pub task: String,
    /// The highest known epoch.
    pub epoch: Epoch,
}

/// The state of a lease server, sent to another server that is recovering after a start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryResponse {
    /// The index of the responding server.
    pub server: usize,
    /// The requesting incarnation.
    pub requester: Incarnation,
    /// The responding incarnation.
    pub responder: Incarnation,
    /// Whether the responding server started without a log and has not recovered yet.
    pub is_blank: bool,
    /// Whether the responding server has recorded the requesting incarnation as a founder: as one of the servers that
    /// were all blank at the first start of the fleet.
    pub is_founder: bool,
    /// The highest epoch of each task that the responding server knows.
    pub epochs: Vec<TaskEpoch>,
    /// The newest incarnation of the requesting server that the responding one knows. If it is newer than `requester`,
    /// the requesting server must ignore the response and recover again under an even newer incarnation.
    pub newest_requester: Incarnation,
    /// The newest incarnation of each other server that the responding one knows.
    pub incarnations: Vec<ServerIncarnation>,
}

/// A client's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The task's name.
    pub task: String,
    /// The requesting process.
    pub requester: ProcessId,
    /// The epoch to grant the lease under: the held epoch for a renewal, otherwise one that is higher than all that the
    /// client knows.
    pub epoch: Epoch,
    /// Returned in the response, to distinguish current from stale responses.
    pub round: u64,
    /// The lease's duration, in microseconds.
    pub duration: Micros,
}

/// A message to a lease server, from a client or from another server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// From a client that acquires or renews a lease.
    Acquire(AcquireRequest),
    /// From a client that no longer acts under this epoch.
    Release {
        /// The task's name.
        task: String,
        /// The process that held the lease.
        holder: ProcessId,
        /// The epoch that the lease was held under.
        epoch: Epoch,
    },
    /// From a lease server that recovers after a start: requests the state of the other servers.
    RequestRecovery(ServerIncarnation),
    /// The response to [`LeaseRequest::RequestRecovery`].
    Recovery(RecoveryResponse),
    /// From a client, to all lease servers: the newest known incarnation of a server that has granted as an older
    /// incarnation. The client ignores grants of the older incarnation; the older process recovers again.
    Superseded(ServerIncarnation),
}

/// The response of a lease server to [`LeaseRequest::Acquire`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// The lease is granted from the time of the response.
    Granted {
        /// The task's name.
        task: String,
        /// The requesting incarnation. Needed because messages are addressed by node name, and two processes of the
        /// same name use the same round numbers.
        requester: Incarnation,
        /// The request's round.
        round: u64,
        /// The request's epoch.
        epoch: Epoch,
        /// The incarnation of the granting server.
        server_incarnation: Incarnation,
        /// The newest incarnation of each other server that the granting server knows.
        incarnations: Vec<ServerIncarnation>,
    },
    /// The lease is not granted.
    Refused {
        /// The task's name.
        task: String,
        /// The requesting incarnation.
        requester: Incarnation,
        /// The request's round.
        round: u64,
        /// The highest epoch of the task that this server knows.
        epoch: Epoch,
        /// The process that this server last granted the lease to, possibly expired; `None` after a release, or if this
        /// server knows no grant of the task.
        holder: Option<ProcessId>,
        /// The remaining time of the grant to `holder` by this server's clock, in microseconds; 0 if it has expired.
        remaining: Micros,
    },
}

impl LeaseResponse {
    /// The incarnation of the client that sent the request.
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
