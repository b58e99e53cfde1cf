//! The task of a client's connection, polled by hand: bytes, a close and room at the dispatcher come in one instant, and the
//! runtime has had no turn since.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/drivers.rs"]
mod drivers;

use drivers::registry;
use poppykeel::transport::client::connection::ClientConnection;
use poppykeel::transport::client::registry::{ConnectionRegistry, MIN_IDLE_BEFORE_EVICTION};
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::node_phase::NodePhase;
use std::future::Future;
use std::io::{Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\n\r\n";
const HEALTHY: &str = "HTTP/1.1 200 ";
const REQUEST: &[u8] =
    b"POST /v1/chat/completions HTTP/1.1\r\nReq-Id: 00000000000000aa\r\nReq-Kind: chat\r\n\
    Req-Deadline: 10\r\nContent-Length: 0\r\n\r\n";
/// Only a hang runs into this.
const PATIENCE: Duration = Duration::from_secs(20);

type ConnectionTask = Pin<Box<dyn Future<Output = ()>>>;

/// Polls a connection's task once, with what its sockets and timers had reported by the runtime's last turn.
async fn poll_once(task: &mut ConnectionTask) -> Poll<()> {
    std::future::poll_fn(|context| Poll::Ready(task.as_mut().poll(context))).await
}

/// Lets the runtime look at its sockets.
async fn turn() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

/// A client and the task of its connection.
async fn connection(registry: Rc<ConnectionRegistry>) -> (std::net::TcpStream, ConnectionTask) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    let task = ClientConnection::new(listener.accept().await.unwrap().0, registry).run();
    (client, Box::pin(task))
}

/// Runs the task until its client has a response, and then until it waits; empty where the connection was closed.
async fn answered(client: &std::net::TcpStream, task: &mut ConnectionTask) -> String {
    let mut reader = client.try_clone().unwrap();
    let read = tokio::task::spawn_blocking(move || {
        let mut piece = [0; 4096];
        let length = reader.read(&mut piece).unwrap_or(0);
        String::from_utf8_lossy(&piece[..length]).into_owned()
    });
    tokio::pin!(read);
    tokio::select! {
        biased;
        () = task.as_mut() => read.await.unwrap(),
        text = &mut read => text.unwrap(),
    }
}

/// Guards against a request lost on a kept connection that the node closes: for its age, or since another one needs its
/// place.
#[tokio::test]
async fn answers_request_that_arrives_as_idle_timeout_or_eviction_closes_the_connection() {
    for by_age in [true, false] {
        let (_phase, phases) = watch::channel(NodePhase::Serving);
        let (registry, _messages) = registry(phases);
        let (mut client, mut task) = connection(registry.clone()).await;
        client.write_all(HEALTH).unwrap();
        assert!(answered(&client, &mut task).await.starts_with(HEALTHY));
        assert!(poll_once(&mut task).await.is_pending());
        if by_age {
            tokio::time::pause();
            tokio::time::advance(registry.limits().client_idle_timeout * 2).await;
        } else {
            tokio::time::pause();
            assert!(!registry.evict_idle(), "a request may be on its way");
            tokio::time::advance(MIN_IDLE_BEFORE_EVICTION).await;
            tokio::time::resume();
            assert!(registry.evict_idle(), "the connection is idle");
        }
        client.write_all(HEALTH).unwrap();
        assert!(
            poll_once(&mut task).await.is_pending(),
            "closed by age: {by_age}"
        );
        if by_age {
            tokio::time::resume();
        }
        let text = answered(&client, &mut task).await;
        assert!(
            text.starts_with(HEALTHY),
            "closed by age: {by_age}, '{text}'"
        );
    }
}

/// A client whose request has come and waits, since the dispatcher has no room for it, with the task of its connection and
/// what the dispatcher is sent.
async fn waiting_for_room() -> (
    std::net::TcpStream,
    ConnectionTask,
    mpsc::Receiver<DispatcherMessage>,
) {
    let (_phase, phases) = watch::channel(NodePhase::Serving);
    let (registry, messages) = registry(phases);
    let (mut client, mut task) = connection(registry.clone()).await;
    let (done, _logged) = oneshot::channel();
    registry
        .dispatcher()
        .try_send(DispatcherMessage::LogSummary(done))
        .unwrap();
    client.write_all(REQUEST).unwrap();
    turn().await;
    assert!(poll_once(&mut task).await.is_pending());
    (client, task, messages)
}

/// Guards against an attempt for nobody: the dispatcher is behind and has no room for a request whose client disconnects.
#[tokio::test]
async fn does_not_dispatch_request_whose_client_disconnects_while_the_dispatcher_is_full() {
    let (client, mut task, mut messages) = waiting_for_room().await;
    drop(client);
    turn().await;
    assert!(poll_once(&mut task).await.is_pending());
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::LogSummary(_))
    ));
    // The task has seen the close, and the room that there is now is not for the request any more.
    let _ = poll_once(&mut task).await;
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::ClientDisconnected { .. })
    ));
}

/// Where room and close come in one instant the request may be sent, and its client's disconnect follows at once.
#[tokio::test]
async fn reports_disconnect_of_client_whose_request_was_dispatched_in_the_same_instant() {
    let (client, mut task, mut messages) = waiting_for_room().await;
    drop(client);
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::LogSummary(_))
    ));
    turn().await;
    let _ = poll_once(&mut task).await;
    let Ok(DispatcherMessage::ClientRequest(request)) = messages.try_recv() else {
        panic!("the room came first")
    };
    let _ = poll_once(&mut task).await;
    assert!(request.response.is_closed(), "nobody waits for this answer");
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::ClientDisconnected { .. })
    ));
}
