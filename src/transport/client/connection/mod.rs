//! One client connection: it serves requests in sequence, each with one response.
//!
//! [`ClientConnection::run`] is the connection's task and owns its socket. Dropping the task closes the socket at once; the
//! dispatcher then finds the response channel closed.
//!
//! | state | awaited | module |
//! | --- | --- | --- |
//! | idle | the next request's first byte, the idle timeout, an order to close, an eviction | `requests` |
//! | reading | the remaining head and body, until the read deadline | `requests` |
//! | waiting | the dispatcher's response, while the client stays connected | `exchange`, `disconnect` |
//! | streaming | chunks of the stream, while the client stays connected | `streams`, `disconnect` |
//! | writing | the client accepts the bytes, within the write timeout | `responses` |
//! | closing | the client closes its end, for a short time | here |
//!
//! Invariants:
//! - Each completely read request is answered, or the dispatcher is notified that its client has disconnected.
//! - Bytes that arrive at the moment of a close between two requests are read as a request.
//! - Bytes of a further request that arrive early are buffered until the current request has its response. If a client sends
//!   more than one request may need, the rest is discarded and the current response is the last one.

mod disconnect;
mod exchange;
mod requests;
mod responses;
mod sent_ahead;
mod streams;

use super::close_reason::CloseReason;
use super::registry::ConnectionRegistry;
use crate::protocol::http::{HttpCodec, HttpParseError, MessagePart, Role};
use crate::transport::messages::RequestOwner;
use crate::transport::HttpConnection;
use sent_ahead::SentAhead;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// How long the client's close is awaited after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Logs the progress of a request or connection: at level `info` during a shutdown, when there are few such lines, and at
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

/// Reads the requests of one client in turn and writes the responses.
pub struct ClientConnection {
    http: HttpConnection,
    registry: Rc<ConnectionRegistry>,
    /// The connection's number, unique within the process.
    number: u64,
    /// The result of reading the next request while a response was awaited: its head, or a read error.
    read_ahead: Option<Result<MessagePart, HttpParseError>>,
    /// What the client has sent ahead of its turn.
    sent_ahead: SentAhead,
    /// Number of request heads read on this connection.
    request_count: u64,
    /// The current request must be complete by this time.
    read_deadline: Instant,
    /// The wait for the response to the last request.
    owner: RequestOwner,
}

/// The connection must close, for this reason.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("connection closes: {}", .0.label())]
struct ConnectionClosed(CloseReason);

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.registry.count_closed();
    }
}

impl ClientConnection {
    /// Creates the connection for an accepted socket.
    pub fn new(socket: TcpStream, registry: Rc<ConnectionRegistry>) -> Self {
        let number = registry.count_opened();
        let read_deadline = Instant::now() + registry.limits().request_read_timeout;
        let http = Framed::new(socket.into(), HttpCodec::new(Role::Server));
        ClientConnection {
            http,
            sent_ahead: SentAhead::new(registry.clone()),
            registry,
            number,
            read_ahead: None,
            request_count: 0,
            read_deadline,
            owner: RequestOwner::default(),
        }
    }

    /// Serves requests until the client or the node closes the connection.
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
            if self.sent_ahead.has_overrun() {
                return ConnectionClosed(CloseReason::SentTooMuch);
            }
        }
    }

    /// Closes the connection in such a way that the client can tell what happened to its last request.
    async fn close(&mut self, reason: CloseReason) {
        if reason.is_abrupt() {
            return;
        }
        let socket = self.http.get_mut();
        // If the client has already closed the connection, there is nothing to shut down.
        let _ = socket.shutdown().await;
        if reason.is_between_requests() {
            // A request that the client sent before it saw the close is not read: the reset that follows shows the client
            // that it was not served. The result of the wait does not matter.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, socket.ready(Interest::READABLE)).await;
        } else {
            // Closing a socket with unread bytes resets the connection, and the client may lose the end of the last
            // response. So input is read and discarded until the client closes or the time is up.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, socket.discard_input()).await;
        }
    }

    /// Whether a response sent now is the last on its connection.
    fn is_last_response(&self) -> bool {
        !self.registry.is_serving() || self.sent_ahead.has_overrun()
    }
}
