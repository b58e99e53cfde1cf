//! Accepts connections of clients within the limits, until the node closes. `program::serve` starts it.
//!
//! Invariants:
//! - A connection beyond the limit is refused with a response and not reset, as long as few are being refused.
//! - What the kernel had accepted before the node closed is served or refused, too.

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

/// Connections beyond the limit that are being refused at once; further ones are closed unanswered.
pub const MAX_PENDING_REFUSALS: usize = 32;
/// A client beyond the limit is given this long to send its request and take its response.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// After a failure that outlives its connection the next call waits this long.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// After this many failures in a row a single connection is not the cause. At the end, what is left in the kernel is given
/// up after this many failures.
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

/// Takes in or refuses connections.
struct Acceptor {
    registry: Rc<ConnectionRegistry>,
    /// Each task that refuses a connection holds a clone, so that they can be counted.
    refusals: Rc<()>,
}

impl Acceptor {
    /// Accepts connections until the node's phase says that it closes.
    async fn accept_until_closing(
        &self,
        listener: &TcpListener,
        phase: &mut watch::Receiver<NodePhase>,
    ) {
        let mut failures_in_a_row = 0;
        loop {
            // Both branches are cancel-safe: a connection that `accept` has not returned stays in the kernel, and waiting
            // for a phase takes nothing. The listener owns the socket; dropping the future closes what is not accepted.
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == NodePhase::Closing) => return,
            };
            match accepted {
                Ok((socket, _)) => {
                    failures_in_a_row = 0;
                    self.admit(socket);
                }
                Err(e) => {
                    failures_in_a_row += 1;
                    tracing::warn!(why = %e, in_a_row = failures_in_a_row, "accept failed");
                    self.recover(&e, failures_in_a_row).await;
                }
            }
        }
    }

    /// Does what helps after a failed call to accept.
    async fn recover(&self, error: &io::Error, failures_in_a_row: usize) {
        match AcceptErrorPolicy::of(error) {
            AcceptErrorPolicy::Retry if failures_in_a_row < MAX_FAILURES => {
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

    /// Takes in the connections that the kernel accepted before the end: they are the node's to answer. The kernel itself
    /// is asked, since the runtime knows of a connection only after its next turn.
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
                    tracing::warn!(why = %e, "accept failed at the end");
                    failure_count += 1;
                    if AcceptErrorPolicy::of(&e) != AcceptErrorPolicy::Retry {
                        tokio::time::sleep(RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Starts the task of a connection, or one that refuses it.
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

/// What helps after a failed call to accept.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AcceptErrorPolicy {
    /// One connection failed, or a signal came: the next call may succeed at once.
    Retry,
    /// The system lacks something that no connection of this process can give back.
    Wait,
    /// Descriptors have run out: an idle connection can be closed.
    EvictIdle,
}

impl AcceptErrorPolicy {
    /// The policy for an error of accept. Linux reports errors of the new connection itself in this way; these are over with
    /// that connection.
    fn of(error: &io::Error) -> AcceptErrorPolicy {
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(Errno::MFILE | Errno::NFILE) => AcceptErrorPolicy::EvictIdle,
            Some(Errno::NOBUFS | Errno::NOMEM) | None => AcceptErrorPolicy::Wait,
            Some(_) => AcceptErrorPolicy::Retry,
        }
    }
}

/// Refuses a connection without reading its request: the client gets its response at once and the connection ends.
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
    // A client that does not take its response in time is cut off.
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, respond).await;
}
