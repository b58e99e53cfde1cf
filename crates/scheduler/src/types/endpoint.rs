//! Replicas and endpoint list entries.

use super::Seconds;
use std::net::SocketAddr;

/// Identifies a replica, which is one language-model server, by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub SocketAddr);

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The replica that the entry describes.
    pub id: ReplicaId,
    /// Number of its zone.
    pub zone: usize,
    /// Number of its cell; replicas of a cell may share a store of idempotency keys.
    pub cell: usize,
    /// Number of its type of machine; replicas of one type are assumed to be equally fast.
    pub host_type: usize,
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// Its capacity relative to other replicas; `None` if the list has no weight that is independent of load.
    pub capacity_weight: Option<f64>,
    /// When its process started; `None` if unknown, in which case the entry does not begin slow start.
    pub started_at: Option<Seconds>,
}

/// Whether a router's endpoint list is known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListStatus {
    /// The list is current: the last poll was answered completely, and the next poll has started or is about to start.
    Confirmed,
    /// A poll has failed or is overdue. The list may lack drains that discovery has announced and whose grace is running.
    Unconfirmed,
    /// Nothing listens on the discovery address.
    Unreachable,
    /// Only part of a poll's answer has arrived. If it announces a drain, the grace is running, but the list lacks the
    /// drain.
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
