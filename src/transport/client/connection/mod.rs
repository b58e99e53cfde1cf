//! One connection of a client: requests one after the other, each with one response.
//!
//! [`ClientConnection::run`] is the connection's task and owns its socket. Dropping the task closes the socket at once; the
//! dispatcher then finds the channel for the response closed.
//!
//! | state | what is awaited | module |
//! | --- | --- | --- |
//! | idle | the next request's first byte, the end of the connection's time, an eviction | `requests` |
//! | reading | the remainder of head and body, until the read deadline | `requests` |
//! | waiting | the dispatcher's response, while the client stays connected | `exchange`, `disconnect` |
//! | streaming | chunks of the stream, while the client stays connected | `streams`, `disconnect` |
//! | writing | the client takes the bytes, within the write timeout | `responses` |
//! | closing | the client's end of the connection, for a short time | here |
//!
//! Invariants:
//! - A request that has been read completely is answered, or the dispatcher is told that its client has disconnected.
//! - Bytes that come in the instant of a close between two requests are a request, and are read.
//! - Bytes of a further request that come meanwhile are kept until the present one has its response.

mod disconnect;
mod exchange;
mod requests;
mod responses;
mod streams;

use super::close_reason::CloseReason;
use super::registry::ConnectionRegistry;
use crate::protocol::http::{HttpCodec, HttpParseError, MessagePart, Role};
use crate::transport::messages::RequestOwner;
use crate::transport::HttpConnection;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// After the last response the client's end of the connection is awaited for this time.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Logs what becomes of a request or a connection: at level `info` during a shutdown, where few lines tell everything, and at
/// level `debug` otherwise.
macro_rules! log_lifecycle {
    ($connection:expr, $($field:tt)*) => {{
        let connection = $connection.number;
        match $connection.registry.shutdown().elapsed_ms() {
            Some(since_stop_ms) => {
                tracing::info!(connection, since_stop_ms, $($field)*);
            }
            None => tracing::debug!(connection, $($field)*),
        }
    }};
}
use log_lifecycle;

/// The connection of one client.
pub struct ClientConnection {
    http: HttpConnection,
    registry: Rc<ConnectionRegistry>,
    /// The connection's number among all connections of this process.
    number: u64,
    /// What came of the next request while a response was awaited: its head, or why it can't be read.
    read_ahead: Option<Result<MessagePart, HttpParseError>>,
    /// Heads of requests that have been read on this connection.
    request_count: u64,
    /// The request that is being read must be complete by then, however slowly its bytes come.
    read_deadline: Instant,
    /// Who waits for the response to the last request.
    owner: RequestOwner,
}

/// The connection ends, for this reason.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("the connection ends: {}", .0.label())]
struct ConnectionClosed(CloseReason);

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.registry.connection_closed();
    }
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(socket: TcpStream, registry: Rc<ConnectionRegistry>) -> Self {
        let number = registry.connection_opened();
        let read_deadline = Instant::now() + registry.limits().request_read_timeout;
        let http = Framed::new(socket.into(), HttpCodec::new(Role::Server));
        ClientConnection {
            http,
            registry,
            number,
            read_ahead: None,
            request_count: 0,
            read_deadline,
            owner: RequestOwner::default(),
        }
    }

    /// Serves requests until the client or the node ends the connection.
    pub async fn run(mut self) {
        log_lifecycle!(self, "connection accepted");
        let ConnectionClosed(reason) = self.serve_requests().await;
        self.log_close(reason);
        self.registry.close_counters().add(reason);
        self.close(reason).await;
    }

    fn log_close(&self, reason: CloseReason) {
        log_lifecycle!(
            self,
            requests = self.request_count,
            why = reason.label(),
            "connection closes"
        );
    }

    async fn serve_requests(&mut self) -> ConnectionClosed {
        loop {
            let head = match self.next_head().await {
                Ok(head) => head,
                Err(closed) => return closed,
            };
            self.request_count += 1;
            if let Err(closed) = self.serve(*head).await {
                return closed;
            }
        }
    }

    /// Closes the connection so that the client can tell what has become of its last request.
    async fn close(&mut self, reason: CloseReason) {
        if reason.is_abrupt() {
            return;
        }
        let socket = self.http.get_mut();
        // Where the client has closed the connection already, there is nothing left to shut down.
        let _ = socket.shutdown().await;
        if reason.is_between_requests() {
            // A request that crosses the close is left unread: the reset that follows tells its client so. Whether the
            // client answers the close in time makes no difference.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, socket.ready(Interest::READABLE)).await;
        } else {
            // A close over unread bytes resets the connection, and the end of the last response goes with it. So what still
            // comes is read and discarded, and not served. A client that does not close in time is cut off.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, socket.discard_input()).await;
        }
    }

    /// Whether each response is the last on its connection now.
    fn is_last_response(&self) -> bool {
        !self.registry.is_serving()
    }
}
