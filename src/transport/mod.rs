//! Sockets and the tasks that drive them. Each driver reads and writes; what bytes mean is `protocol`'s, what
//! to do is `routing`'s. All tasks share one thread and talk over bounded channels, most of them with the task of
//! `dispatcher` by the messages of `messages`.

pub mod admin;
pub mod client;
pub mod clients;
pub mod clock;
pub mod closes;
pub mod coordination;
pub mod dispatcher;
pub mod endpoints;
mod evacuation;
pub mod handover;
pub mod listener;
pub mod messages;
pub mod node_phase;
pub mod pool;
pub mod relay;
pub mod shutdown;
pub mod socket;
pub mod streams;
pub mod upstream;

use crate::protocol::http::HttpCodec;
use std::time::Duration;
use tokio_util::codec::Framed;

/// A connection with its codec; both directions have one bounded buffer, used again and again.
pub type Wire = Framed<socket::Socket, HttpCodec>;

/// The figures that bound the transport; `program::config` fills them in.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to replicas, in use or idle.
    pub upstream: usize,
    /// Bytes of request bodies held at once.
    pub held_bytes: usize,
    /// A connection to a replica must be up within this time.
    pub dial: Duration,
    /// An idle connection to a replica is dropped after this time.
    pub idle: Duration,
    /// After a stream a connection to a replica is not used again for so long.
    pub rest: Duration,
    /// A client that takes nothing for so long is let go.
    pub stall: Duration,
    /// A client connection without a request is closed after this time.
    pub client_idle: Duration,
    /// A request must be read whole within this time of its first byte, the first one on a connection within
    /// this time of connecting.
    pub read: Duration,
    /// A probe waits so long.
    pub probe: Duration,
    /// A watch of the list waits so long at discovery ...
    pub watch: Duration,
    /// ... and its answer may take so much longer.
    pub watch_slack: Duration,
    /// After a call that was refused the next one waits so long at discovery ...
    pub retry_watch: Duration,
    /// ... and the answer to a call after any failed one may take so much longer.
    pub retry_slack: Duration,
    /// New connections are accepted, and requests admitted, for so long after the order to stop.
    pub linger: Duration,
}
