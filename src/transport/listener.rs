//! Accepts clients within the bounds, and ends the node in order.

use super::client::Client;
use super::clients::Shared;
use super::messages::Phase;
use crate::protocol::request;
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

/// Accepts until the phase says closing.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>, mut phase: watch::Receiver<Phase>) {
    let turned_away = Rc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == Phase::Closing) => break,
        };
        match accepted {
            Ok((socket, _)) => admit(socket, &shared, &turned_away),
            Err(e) => {
                // Out of descriptors, say: room is made and the next try waits a moment.
                tracing::warn!(why = %e, "accept failed");
                shared.evict();
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    // What the kernel took in before the end is the node's to answer. The kernel itself is asked: the runtime knows
    // of a connection only after its next turn.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((socket, _)) = listener.accept() {
        let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
        socket.into_iter().for_each(|socket| admit(socket, &shared, &turned_away));
    }
}

fn admit(socket: TcpStream, shared: &Rc<Shared>, turned_away: &Rc<()>) {
    let _ = socket.set_nodelay(true);
    if !shared.full() || shared.can_evict() {
        tokio::task::spawn_local(Client::new(socket, shared.clone()).run());
    } else if Rc::strong_count(turned_away) <= MOST_TURNED_AWAY {
        tokio::task::spawn_local(turn_away(socket, turned_away.clone()));
    }
}

/// Refuses without reading: the client gets its answer at once and the connection ends.
async fn turn_away(mut socket: TcpStream, _place: Rc<()>) {
    let answer =
        request::own_answer(503, "this node holds as many connections as it may", Some(AGAIN_US), true);
    let talk = async {
        if socket.write_all(&answer).await.is_ok() && socket.shutdown().await.is_ok() {
            super::client::discard(&mut socket).await;
        }
    };
    let _ = tokio::time::timeout(TURN_AWAY, talk).await;
}
