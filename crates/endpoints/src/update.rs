//! The updates of an endpoint source: a full list, a list of changes, or a failure.
//!
//! Plain data. The watchers of discovery and of DNS build a [`SourceUpdate`] from each answer and pass it to
//! [`EndpointRegistry::apply_update`](crate::EndpointRegistry::apply_update).

use std::net::SocketAddr;

/// A point in time, in microseconds of a monotonic clock whose origin the caller chooses.
pub type MonotonicMicros = u64;

/// A duration in microseconds.
pub type DurationMicros = u64;

/// The state in which a source lists an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The endpoint takes new requests.
    Available,
    /// The endpoint completes its current requests and takes no new ones.
    Draining,
    /// The endpoint has been removed explicitly.
    Removed,
}

/// One endpoint as one source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The name in the source's list: an id that is the same on every node if the source identifies endpoints by
    /// name, the target's host name and port if it identifies them by address.
    pub name: String,
    /// The address where the endpoint listens.
    pub addr: SocketAddr,
    /// The state in which it is listed.
    pub state: ListedState,
    /// The name of its zone; empty if the source reports none.
    pub zone: String,
    /// The name of its host type; empty if the source reports none.
    pub host_type: String,
    /// The number of its cell within the zone; 0 if the source reports none.
    pub cell: usize,
    /// Its relative weight, unitless; `None` if the source reports none.
    pub weight: Option<f64>,
    /// Its priority (RFC 2782): lower numbers are preferred. `None` if the source reports none.
    pub priority: Option<u16>,
    /// The time of its last start in Unix milliseconds; 0 if the source reports none.
    pub started_ms: i64,
}

impl ListedEndpoint {
    /// An available endpoint with a name and an address; all other fields are unset.
    pub fn new(name: impl Into<String>, addr: SocketAddr) -> Self {
        ListedEndpoint {
            name: name.into(),
            addr,
            state: ListedState::Available,
            zone: String::new(),
            host_type: String::new(),
            cell: 0,
            weight: None,
            priority: None,
            started_ms: 0,
        }
    }
}

/// An answer of an endpoint source, or its failure to answer.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// All endpoints of the source. An endpoint that it listed before and no longer lists is withdrawn.
    FullList(Vec<ListedEndpoint>),
    /// Only the changed endpoints. All others are unchanged, so an empty list confirms the previous state.
    Changes(Vec<ListedEndpoint>),
    /// The source is unreachable, and its last answer has expired.
    Failed,
}
