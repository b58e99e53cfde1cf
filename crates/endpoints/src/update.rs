//! What sources tell: entries, whole lists, changes, failures.

use std::net::SocketAddr;

/// Microseconds on a monotonic clock.
pub type MonotonicMicros = u64;

/// What a source says of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes work.
    Available,
    /// It ends what it has and takes nothing new.
    Draining,
    /// It has been taken away.
    Removed,
}

/// One server as one source tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// A naming source's id of the server, which is the same everywhere; an addressing one's target and port.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What is said of it.
    pub state: ListedState,
    /// Its zone by name; empty where that is not told.
    pub zone: String,
    /// Its kind of machine by name; empty where that is not told.
    pub host_type: String,
    /// Its cell.
    pub cell: usize,
    /// Its weight, without a unit.
    pub weight: Option<f64>,
    /// RFC 2782: lower ones come first.
    pub priority: Option<u16>,
    /// Its last start, Unix time in milliseconds; 0 where that is not known.
    pub started_ms: i64,
}

impl ListedEndpoint {
    /// A server that is up, of which nothing else is known.
    pub fn new(name: impl Into<String>, addr: SocketAddr) -> Self {
        let (zone, kind) = Default::default();
        let (weight, priority) = (None, None);
        ListedEndpoint {
            name: name.into(),
            addr,
            state: ListedState::Available,
            zone,
            host_type: kind,
            cell: 0,
            weight,
            priority,
            started_ms: 0,
        }
    }
}

/// What a source tells at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// All that it lists. What it listed before and does not list now has been withdrawn.
    FullList(Vec<ListedEndpoint>),
    /// What has changed; none is news too: all else is as it was.
    Changes(Vec<ListedEndpoint>),
    /// It cannot say, and what it said before is past its lifetime.
    Failed,
}
