//! Sockets and the tasks that drive them. What bytes mean is decided in [`crate::protocol`], what to do in
//! [`crate::routing`].
//!
//! All tasks share one thread. Most of them talk to one task, the [`dispatcher`], over bounded channels and by the messages
//! of [`messages`]. [`client`] has the connections of clients, [`replica`] those to replicas, [`endpoints`] the sources of
//! the endpoint list, and [`admin`] the operators' own address.

pub mod admin;
pub mod client;
pub mod clock;
pub mod coordination;
pub mod dispatcher;
pub mod endpoints;
mod evacuation;
pub mod handover;
pub mod messages;
pub mod node_phase;
pub mod replica;
pub mod socket;
pub mod turn_clock;

use crate::protocol::http::HttpCodec;
use std::time::Duration;
use tokio_util::codec::Framed;

/// A socket with the HTTP codec. Each direction has one bounded buffer, which is used again and again.
pub type HttpConnection = Framed<socket::Socket, HttpCodec>;

/// Limits of the transport in number, memory and time; `program::config` sets them.
#[derive(Clone, Debug, PartialEq)]
pub struct TransportLimits {
    /// Connections of clients that are open at once.
    pub max_client_connections: usize,
    /// Connections to replicas that are open at once, in use or idle.
    pub max_replica_connections: usize,
    /// Bytes of request bodies that are held in memory at once.
    pub max_body_memory_bytes: usize,
    /// A connection to a replica must be established within this time.
    pub connect_timeout: Duration,
    /// An idle connection to a replica is closed after this time.
    pub replica_idle_timeout: Duration,
    /// After a stream a connection to a replica is not used again for this time.
    pub reuse_delay: Duration,
    /// A client that takes no bytes for this time is disconnected.
    pub client_write_timeout: Duration,
    /// A client's connection without a request is closed after this time.
    pub client_idle_timeout: Duration,
    /// A request must be read completely within this time of its first byte, and the first one on a connection within this
    /// time of connecting.
    pub request_read_timeout: Duration,
    /// A replica must answer a probe within this time.
    pub probe_timeout: Duration,
    /// Discovery holds back its answer to a long poll of the endpoint list for this time ...
    pub long_poll_wait: Duration,
    /// ... and the answer may take this much longer.
    pub long_poll_slack: Duration,
    /// Discovery holds back its answer to the poll after a refused one for this time ...
    pub short_poll_wait: Duration,
    /// ... and the answer to a poll after any failed one may take this much longer.
    pub short_poll_slack: Duration,
    /// Connections are accepted and requests admitted for this time after the order to stop.
    pub drain_duration: Duration,
}
