//! Replicas and endpoint list entries.

use super::Seconds;
use std::net::SocketAddr;

/// Identifies a replica, which is one language-model server, by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub SocketAddr);

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The replica.
    pub id: ReplicaId,
    /// Its zone.
    pub zone: usize,
    /// Its cell; replicas of a cell may share a store of idempotency keys.
    pub cell: usize,
    /// Its type of machine; replicas of equal numbers perform alike.
    pub host_type: usize,
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// Its capacity relative to other replicas; `None` if the list has no weight that is independent of load.
    pub capacity_weight: Option<f64>,
    /// When its process started, if known.
    pub started_at: Option<Seconds>,
}

/// Whether a router's endpoint list is known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListStatus {
    /// The list is current: the last poll was answered completely, and the next one has started or is about to.
    Confirmed,
    /// A poll has failed or is overdue: the list may lack changes that already count as notified.
    Unconfirmed,
    /// Nothing listens on the discovery address.
    Unreachable,
    /// Part of a poll's answer has arrived. It may have announced a drain, which then counts as notified.
    Incomplete,
    /// The list was restored from an earlier process of this router and may be of any age.
    Restored,
}

/// Whether a listed replica may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Available,
    /// It finishes its requests and must get no new ones.
    Draining,
    /// It is no longer listed.
    Removed,
}
