//! Sockets and the tasks that drive them. [`crate::protocol`] parses the bytes, and [`crate::routing`] makes the routing
//! decisions.
//!
//! All tasks share one thread. Most of them communicate with the [`dispatcher`] task over bounded channels, using the types
//! in [`messages`]. [`client`] has the connections of clients, [`replica`] those to replicas, [`endpoints`] the sources of
//! the endpoint list, [`coordination`] the communication with other nodes, and [`admin`] the admin address.

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
pub mod strict_timeout;
pub mod suspension_detector;

use crate::protocol::http::HttpCodec;
use std::time::Duration;
use tokio_util::codec::Framed;

/// A socket with the HTTP codec. Each direction has one bounded buffer that is reused.
pub type HttpConnection = Framed<socket::Socket, HttpCodec>;

/// Limits of the transport on connections, memory and time, set by `program::config`.
#[derive(Clone, Debug, PartialEq)]
pub struct TransportLimits {
    /// Maximum number of open client connections. For a further one, an idle connection is evicted; if there is none, the
    /// new one is refused with status 503.
    pub max_client_connections: usize,
    /// Maximum number of open connections to replicas, in use or idle. For a further one, the connection that has been idle
    /// longest is closed; if there is none, the attempt is not sent.
    pub max_replica_connections: usize,
    /// Maximum number of bytes of all request bodies held in memory. A request beyond it is rejected with status 503.
    pub max_body_memory_bytes: usize,
    /// A connection to a replica must be established within this time.
    pub connect_timeout: Duration,
    /// An idle connection to a replica is closed after this time.
    pub replica_idle_timeout: Duration,
    /// After an attempt, its connection to the replica is not reused for this time. After a probe it is reused at once.
    pub reuse_delay: Duration,
    /// A client that accepts no bytes for this time is disconnected.
    pub client_write_timeout: Duration,
    /// A client connection without a request is closed after this time.
    pub client_idle_timeout: Duration,
    /// A request must be read completely within this time of its first byte; the first request of a connection, within this
    /// time of the connection being accepted.
    pub request_read_timeout: Duration,
    /// A replica must answer a probe within this time.
    pub probe_timeout: Duration,
    /// How long discovery may delay its answer to a long poll of the endpoint list.
    pub long_poll_wait: Duration,
    /// How much longer than `long_poll_wait` the answer to a long poll may take. Also the connect timeout of polls.
    pub long_poll_slack: Duration,
    /// How long discovery may delay its answer to a short poll, the poll after a refusal.
    pub short_poll_wait: Duration,
    /// How much longer than the delay that the poll allows its answer may take, if the previous poll was refused or timed
    /// out.
    pub short_poll_slack: Duration,
    /// How long connections are accepted and requests admitted after the shutdown signal.
    pub drain_duration: Duration,
}
