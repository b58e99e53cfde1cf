//! Records in the log of a lease server. The serialised form is positional and must not change: logs written by earlier
//! versions are read at each start.

use super::messages::ServerIncarnation;
use crate::{Epoch, Micros, ProcessId};
use serde::{Deserialize, Serialize};

/// A grant as written to the log. It stays in the log after the grant has expired, since a server must never grant a
/// lower epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantRecord {
    /// The task's name.
    pub task: String,
    /// The highest epoch granted.
    pub epoch: Epoch,
    /// The process that holds the grant; `None` if the epoch is only known from other lease servers.
    pub holder: Option<ProcessId>,
    /// The lease's duration, in microseconds.
    pub duration: Micros,
}

/// One record of a lease server's log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseLogRecord {
    /// A grant by this server, or an epoch reported by another lease server (without a holder).
    Grant(GrantRecord),
    /// From here on the log is complete: the recovery after a start without a log has finished, because enough other
    /// servers have responded or all servers of the fleet started without a log.
    RecoveryComplete {
        /// The other servers, if all servers started without a log; otherwise empty.
        founders: Vec<ServerIncarnation>,
    },
    /// The newest known incarnation of a lease server, possibly the writer itself.
    Incarnation(ServerIncarnation),
}
