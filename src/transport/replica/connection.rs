//! A connection to a replica, in use or idle.
//!
//! A completed write means only that the kernel has accepted the bytes. If the replica does not read, an ordinary close leaves
//! them in the kernel's send queue, which delivers them whenever the replica reads on: a request that was given up would still
//! run. Therefore the kernel is told to reset a connection in use on its close and to discard what it has not sent. That is
//! set before the first byte is written, and it holds for every way the connection may end, even if the process is killed.
//! Only an idle connection, which has nothing to send, is closed in order.

use crate::protocol::http::{HttpCodec, Role};
use crate::transport::socket::CloseMode;
use crate::transport::HttpConnection;
use poppykeel_send_queue::SendQueue;
use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A permit for one open connection; dropping it frees the place.
pub(super) struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Takes a place; `open_count` is the number of places that are taken.
    pub(super) fn new(open_count: &Rc<Cell<usize>>) -> ConnectionPermit {
        open_count.set(open_count.get() + 1);
        ConnectionPermit(open_count.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use, with its permit. Dropping it resets the connection.
pub struct ReplicaConnection {
    http: HttpConnection,
    _permit: ConnectionPermit,
}

impl ReplicaConnection {
    pub(super) fn new(stream: TcpStream, permit: ConnectionPermit) -> ReplicaConnection {
        let http: HttpConnection = Framed::new(stream.into(), HttpCodec::new(Role::Client));
        http.get_ref().set_close_mode(CloseMode::Reset);
        ReplicaConnection {
            http,
            _permit: permit,
        }
    }

    /// The socket with its codec.
    pub fn http(&self) -> &HttpConnection {
        &self.http
    }

    /// The socket with its codec, for reading and writing.
    pub fn http_mut(&mut self) -> &mut HttpConnection {
        &mut self.http
    }

    /// The bytes that were written but not sent or not acknowledged yet.
    pub(super) fn send_queue(&self) -> SendQueue {
        self.http.get_ref().send_queue()
    }

    /// Ends the use of a connection; `None` if it can't be used again, because it is in the middle of a response, has unread
    /// bytes, or its replica has not taken the last request. It is then reset.
    pub(super) fn into_idle(self) -> Option<IdleConnection> {
        let is_between_messages = self.http.codec().is_between_messages();
        let has_unsent_bytes = self.send_queue().unsent_bytes > 0;
        let idle = IdleConnection(self);
        if !is_between_messages || has_unsent_bytes || !idle.is_quiet() {
            return None;
        }
        idle.0.http.get_ref().set_close_mode(CloseMode::Orderly);
        Some(idle)
    }
}

impl Drop for ReplicaConnection {
    /// Logs a request that is given up before the replica's machine has taken it.
    fn drop(&mut self) {
        let queue = self.send_queue();
        if queue.unacknowledged_bytes == 0 {
            return;
        }
        let to = self.http.get_ref().peer_addr().ok();
        tracing::info!(
            to = to.map(tracing::field::display),
            unsent_bytes = queue.unsent_bytes,
            unacknowledged_bytes = queue.unacknowledged_bytes,
            "connection to a replica closed before all bytes were acknowledged"
        );
    }
}

/// A connection between two requests. Dropping it closes it in order.
pub(super) struct IdleConnection(ReplicaConnection);

impl IdleConnection {
    /// Whether no bytes have arrived since the last response. A connection with bytes between two responses has ended or is
    /// out of sync. This queries the kernel, since the runtime may not have seen the bytes yet, and a second response must
    /// not be taken for that of the next request.
    pub(super) fn is_quiet(&self) -> bool {
        let http = &self.0.http;
        let unread = http.get_ref().unread();
        http.read_buffer().is_empty() && unread.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Begins the next use.
    pub(super) fn into_active(self) -> ReplicaConnection {
        self.0.http.get_ref().set_close_mode(CloseMode::Reset);
        self.0
    }
}
