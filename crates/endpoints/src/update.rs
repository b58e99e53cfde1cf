//! What an endpoint source reports: everything it lists, what has changed since, or that it cannot be asked.
//!
//! Plain data without behaviour. The watchers of discovery and of DNS build a [`SourceUpdate`] out of each answer
//! and hand it to [`EndpointRegistry::apply_update`](crate::EndpointRegistry::apply_update).

use std::net::SocketAddr;

/// A point in time in whole microseconds, counted on a monotonic clock whose zero the caller chooses.
pub type MonotonicMicros = u64;

/// A span of time in whole microseconds.
pub type DurationMicros = u64;

/// The state in which a source lists an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The endpoint takes new requests.
    Available,
    /// The endpoint finishes the requests it has and takes no new ones.
    Draining,
    /// The endpoint has been removed explicitly.
    Removed,
}

/// One endpoint as one source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The name under which the source lists it. A source that identifies endpoints by name uses an id that is the
    /// same on every node; one that identifies them by address uses the target's host name and port.
    pub name: String,
    /// The address where the endpoint listens.
    pub addr: SocketAddr,
    /// The state in which it is listed.
    pub state: ListedState,
    /// The name of its zone; empty if the source does not say.
    pub zone: String,
    /// The name of its host type; empty if the source does not say.
    pub host_type: String,
    /// The number of its cell within the zone; 0 if the source does not say.
    pub cell: usize,
    /// Its relative weight, without a unit.
    pub weight: Option<f64>,
    /// Its priority as in RFC 2782: a lower number is preferred.
    pub priority: Option<u16>,
    /// The time of its last start in milliseconds of Unix time; 0 if the source does not say.
    pub started_ms: i64,
}

impl ListedEndpoint {
    /// An available endpoint of which nothing but name and address is known.
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

/// One report of a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// Everything that the source lists. An endpoint that it listed before and does not list now is withdrawn.
    FullList(Vec<ListedEndpoint>),
    /// What has changed. Everything else is as it was before, so an empty change list confirms the previous state.
    Changes(Vec<ListedEndpoint>),
    /// The source cannot be asked, and what it reported before is past its lifetime.
    Failed,
}
