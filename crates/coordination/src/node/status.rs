//! What operators are shown of a node's coordination.

use crate::gossip::Member;
use crate::lease::{LeaseTableEntry, RecoveryState};
use crate::{Epoch, Micros, ProcessId};

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounters {
    /// Messages sent.
    pub messages_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Messages dropped, since they go by another list of lease servers.
    pub mismatched_server_list: u64,
    /// Leases granted by this lease server, renewals included.
    pub granted: u64,
    /// Leases refused by this lease server.
    pub refused: u64,
}

/// A lease that this process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The task's name.
    pub task: String,
    /// The epoch under which it is held.
    pub epoch: Epoch,
}

/// A lease that this process asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseStatus {
    /// The task's name.
    pub task: String,
    /// The epoch, if it is held here.
    pub held_epoch: Option<Epoch>,
    /// How much longer it is held here, in microseconds.
    pub remaining: Micros,
    /// Which other process holds it, as last heard.
    pub other_holder: Option<ProcessId>,
}

/// This process as a lease server.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseServerStatus {
    /// How far it has come since its start.
    pub recovery: RecoveryState,
    /// Its table of grants.
    pub table: Vec<LeaseTableEntry>,
}

/// What operators are shown.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// This node.
    pub local: Member,
    /// The other nodes that are there.
    pub peers: Vec<Member>,
    /// The leases that this process asks for.
    pub leases: Vec<LeaseStatus>,
    /// This process as a lease server, if it is one.
    pub lease_server: Option<LeaseServerStatus>,
    /// Whether the lease server's log has failed.
    pub has_log_failed: bool,
}
