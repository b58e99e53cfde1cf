//! Accepts client connections within the limits, until the node closes. `program::serve` starts it.
//!
//! Invariants:
//! - A connection beyond the limit is refused with a response rather than reset, up to [`MAX_PENDING_REFUSALS`] at once.
//! - Connections that the kernel accepted before the node closed are also served or refused.

use super::connection::ClientConnection;
use super::registry::ConnectionRegistry;
use super::RETRY_AFTER_FULL;
use crate::protocol::request;
use crate::transport::node_phase::NodePhase;
use crate::transport::socket::Socket;
use rustix::io::Errno;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Maximum number of connections that are being refused at once; further ones are closed without a response.
pub const MAX_PENDING_REFUSALS: usize = 32;
/// Time limit for refusing a connection, in which the client must send its request and read the response.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the next accept call after a failure not limited to one connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// After this many consecutive failures, the cause is not a single connection, and the next call is delayed. When the node
/// closes, this many failures end the attempt to accept the pending connections.
const MAX_FAILURES: usize = 64;

/// Accepts connections until the node closes, and starts a task for each of them.
pub async fn accept_connections(
    listener: TcpListener,
    registry: Rc<ConnectionRegistry>,
    mut phase: watch::Receiver<NodePhase>,
) {
    let acceptor = Acceptor {
        registry,
        refusals: Rc::new(()),
    };
    acceptor.accept_until_closing(&listener, &mut phase).await;
    acceptor.accept_pending(listener).await;
}

/// Admits or refuses connections.
struct Acceptor {
    registry: Rc<ConnectionRegistry>,
    /// Each refusal task holds a clone, so that the strong count shows their number.
    refusals: Rc<()>,
}

impl Acceptor {
    /// Accepts connections until the node's phase is `Closing`.
    async fn accept_until_closing(
        &self,
        listener: &TcpListener,
        phase: &mut watch::Receiver<NodePhase>,
    ) {
        let mut consecutive_failures = 0;
        loop {
            // Both branches are cancel-safe: a connection that `accept` has not returned stays in the kernel, and waiting
            // for a phase consumes nothing. The listener owns the socket; dropping the future closes connections not yet
            // accepted.
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == NodePhase::Closing) => return,
            };
            match accepted {
                Ok((socket, _)) => {
                    consecutive_failures = 0;
                    self.admit(socket);
                }
                Err(e) => {
                    consecutive_failures += 1;
                    tracing::warn!(why = %e, in_a_row = consecutive_failures, "accepting a client connection failed");
                    self.recover(&e, consecutive_failures).await;
                }
            }
        }
    }

    /// Recovers from a failed accept call.
    async fn recover(&self, error: &io::Error, consecutive_failures: usize) {
        match AcceptErrorPolicy::for_error(error) {
            AcceptErrorPolicy::Retry if consecutive_failures < MAX_FAILURES => {
                tokio::task::yield_now().await;
            }
            AcceptErrorPolicy::Retry | AcceptErrorPolicy::Wait => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            AcceptErrorPolicy::EvictIdle => {
                self.registry.evict_idle();
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Admits the connections that the kernel accepted before the node closed, since the node must respond to them. This
    /// calls the kernel directly: the runtime learns of a connection only in its next event loop iteration.
    async fn accept_pending(&self, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        let mut failure_count = 0;
        while failure_count < MAX_FAILURES {
            match listener.accept() {
                Ok((socket, _)) => {
                    if let Ok(socket) = into_async(socket) {
                        self.admit(socket);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    tracing::warn!(why = %e, "accepting a pending client connection failed during shutdown");
                    failure_count += 1;
                    if AcceptErrorPolicy::for_error(&e) != AcceptErrorPolicy::Retry {
                        tokio::time::sleep(RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Starts a task that serves the connection, or one that refuses it. Closes the connection if too many are being
    /// refused.
    fn admit(&self, socket: TcpStream) {
        if !self.registry.is_full() || self.registry.try_make_room() {
            spawn_local(ClientConnection::new(socket, self.registry.clone()).run());
        } else if Rc::strong_count(&self.refusals) <= MAX_PENDING_REFUSALS {
            spawn_local(refuse(socket, self.refusals.clone()));
        }
    }
}

fn into_async(socket: std::net::TcpStream) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket)
}

/// How to recover from a failed accept call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AcceptErrorPolicy {
    /// A single connection failed, or a signal interrupted the call: the next call may succeed at once.
    Retry,
    /// The system lacks a resource that closing connections of this process can't free.
    Wait,
    /// File descriptors are exhausted: an idle connection can be closed.
    EvictIdle,
}

impl AcceptErrorPolicy {
    /// The policy for an error of accept. Linux also reports errors of the new connection itself this way; they end with
    /// that connection.
    fn for_error(error: &io::Error) -> AcceptErrorPolicy {
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(Errno::MFILE | Errno::NFILE) => AcceptErrorPolicy::EvictIdle,
            Some(Errno::NOBUFS | Errno::NOMEM) | None => AcceptErrorPolicy::Wait,
            Some(_) => AcceptErrorPolicy::Retry,
        }
    }
}

/// Refuses a connection without reading its request: sends a response at once and closes.
async fn refuse(socket: TcpStream, _refusal: Rc<()>) {
    let mut socket = Socket::from(socket);
    let response = request::local_response(
        503,
        "this node holds as many connections as it may",
        Some(RETRY_AFTER_FULL),
        true,
    );
    let respond = async {
        if socket.write_all(&response).await.is_ok() && socket.shutdown().await.is_ok() {
            socket.discard_input().await;
        }
    };
    // A client that does not read its response in time is disconnected.
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, respond).await;
}
