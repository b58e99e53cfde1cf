//! The coordination status of a node, as shown to operators.

use crate::gossip::Member;
use crate::lease::{LeaseTableEntry, RecoveryState};
use crate::{Epoch, Micros, ProcessId};

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounters {
    /// Messages output to the driver for sending.
    pub messages_sent: u64,
    /// Messages handled by this node, including those counted by `mismatched_server_list`.
    pub messages_received: u64,
    /// Messages dropped because the sender uses another version of the lease server list.
    pub mismatched_server_list: u64,
    /// Leases granted by this lease server, including renewals.
    pub granted: u64,
    /// Leases refused by this lease server.
    pub refused: u64,
}

/// A lease that this process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The task's name.
    pub task: String,
    /// The epoch under which this process holds it.
    pub epoch: Epoch,
}

/// The status of a lease that this process requests.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseStatus {
    /// The task's name.
    pub task: String,
    /// The epoch under which this process holds the lease; `None` if it does not.
    pub held_epoch: Option<Epoch>,
    /// The remaining holding time, in microseconds; 0 if this process does not hold the lease.
    pub remaining: Micros,
    /// The other process that holds the lease, as last reported by a lease server; `None` if unknown.
    pub other_holder: Option<ProcessId>,
}

/// The status of the lease server that this process hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseServerStatus {
    /// The state of the recovery, which decides whether the server grants leases.
    pub recovery: RecoveryState,
    /// The rows of the server's grant table, one per task.
    pub table: Vec<LeaseTableEntry>,
}

/// The coordination status of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// This node as a member of the fleet.
    pub local: Member,
    /// The other nodes that are not known to be down.
    pub peers: Vec<Member>,
    /// The leases that this process has a client for, including released ones.
    pub leases: Vec<LeaseStatus>,
    /// The lease server; `None` if this process hosts none.
    pub lease_server: Option<LeaseServerStatus>,
    /// Whether a write to the lease server's log has failed.
    pub has_log_failed: bool,
}
