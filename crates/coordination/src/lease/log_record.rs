//! What a lease server writes down. The serialised form is positional and must stay as it is: logs of earlier versions
//! are read at each start.

use super::messages::ServerIncarnation;
use crate::{Epoch, Micros, ProcessId};
use serde::{Deserialize, Serialize};

/// What a lease server must remember of a grant beyond the grant's own end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantRecord {
    /// The task's name.
    pub task: String,
    /// The highest epoch granted.
    pub epoch: Epoch,
    /// To whom it was granted; `None` where the epoch is only known from other lease servers.
    pub holder: Option<ProcessId>,
    /// The lease's duration, in microseconds.
    pub duration: Micros,
}

/// One record of a lease server's log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseLogRecord {
    /// A grant, or an epoch that another lease server told of.
    Grant(GrantRecord),
    /// From here on the log is complete: the server has heard from enough of the others, or all of them began without a
    /// log.
    RecoveryComplete {
        /// Where all servers began without a log: the others then, by index and incarnation.
        founders: Vec<ServerIncarnation>,
    },
    /// The newest incarnation known of a lease server, which may be the writer itself.
    Incarnation(ServerIncarnation),
}
