//! Accepts clients within the bounds, and ends the node in order.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::client::Client;
use super::clients::Shared;
use super::node_phase::NodePhase;
use super::socket::Socket;
use crate::protocol::request;
use rustix::io::Errno;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Connections beyond the bound that are being told so; further ones wait in the kernel's queue.
pub const MOST_TURNED_AWAY: usize = 32;
/// How long a client beyond the bound is given to send its request and take its answer.
const TURN_AWAY: Duration = Duration::from_millis(500);
/// When a client beyond the bound may come again.
const AGAIN_US: u64 = 500_000;

/// After a failure that is not over with its connection the next call waits so long.
const PAUSE: Duration = Duration::from_millis(10);
/// After so many failures in a row a connection alone is not the cause; at the end, what is left in the kernel is given up.
const MOST_FAILURES: usize = 64;

/// Accepts until the phase says closing.
pub async fn accept(
    listener: TcpListener,
    shared: Rc<Shared>,
    mut phase: watch::Receiver<NodePhase>,
) {
    let turned_away = Rc::new(());
    let mut in_a_row = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == NodePhase::Closing) => break,
        };
        match accepted {
            Ok((socket, _)) => {
                in_a_row = 0;
                admit(socket, &shared, &turned_away);
            }
            Err(e) => {
                in_a_row += 1;
                tracing::warn!(why = %e, in_a_row, "accept failed");
                match remedy(&e) {
                    Remedy::Retry if in_a_row < MOST_FAILURES => tokio::task::yield_now().await,
                    Remedy::Retry | Remedy::Wait => tokio::time::sleep(PAUSE).await,
                    Remedy::MakeRoom => {
                        shared.evict();
                        tokio::time::sleep(PAUSE).await;
                    }
                }
            }
        }
    }
    // What the kernel took in before the end is the node's to answer. The kernel itself is asked: the runtime knows
    // of a connection only after its next turn.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    let mut failures = 0;
    while failures < MOST_FAILURES {
        match listener.accept() {
            Ok((socket, _)) => {
                let socket = socket
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(socket));
                socket
                    .into_iter()
                    .for_each(|socket| admit(socket, &shared, &turned_away));
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(e) => {
                tracing::warn!(why = %e, "accept failed at the end");
                failures += 1;
                if remedy(&e) != Remedy::Retry {
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// What helps after a failed call to accept.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Remedy {
    /// One connection failed, or a signal came: the next call may succeed at once.
    Retry,
    /// The system lacks something that no connection of this process can give back.
    Wait,
    /// Descriptors have run out: a resting connection can go.
    MakeRoom,
}

/// Linux hands errors of the new connection itself over as those of accept; these are over with it.
fn remedy(error: &std::io::Error) -> Remedy {
    match error.raw_os_error().map(Errno::from_raw_os_error) {
        Some(Errno::MFILE | Errno::NFILE) => Remedy::MakeRoom,
        Some(Errno::NOBUFS | Errno::NOMEM) | None => Remedy::Wait,
        Some(_) => Remedy::Retry,
    }
}

fn admit(socket: TcpStream, shared: &Rc<Shared>, turned_away: &Rc<()>) {
    if !shared.full() || shared.can_evict() {
        tokio::task::spawn_local(Client::new(socket, shared.clone()).run());
    } else if Rc::strong_count(turned_away) <= MOST_TURNED_AWAY {
        tokio::task::spawn_local(turn_away(socket, turned_away.clone()));
    }
}

/// Refuses without reading: the client gets its answer at once and the connection ends.
async fn turn_away(socket: TcpStream, _place: Rc<()>) {
    let mut socket = Socket::from(socket);
    let answer = request::local_response(
        503,
        "this node holds as many connections as it may",
        Some(AGAIN_US),
        true,
    );
    let talk = async {
        if socket.write_all(&answer).await.is_ok() && socket.shutdown().await.is_ok() {
            super::client::discard(&mut socket).await;
        }
    };
    let _ = tokio::time::timeout(TURN_AWAY, talk).await;
}
