//! The driver of a client's connection, polled by hand: bytes, a close and room in the core come in one instant, and the
//! runtime has had no turn since.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/drivers.rs"]
mod drivers;

use drivers::shared;
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

type Driver = Pin<Box<dyn Future<Output = ()>>>;

/// Polls a driver once, with what its sockets and timers had said by the runtime's last turn.
async fn poll_once(driver: &mut Driver) -> Poll<()> {
    std::future::poll_fn(|context| Poll::Ready(driver.as_mut().poll(context))).await
}

/// Lets the runtime look at its sockets.
async fn turn() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

/// A client and the driver of its connection.
async fn connection(shared: Rc<ConnectionRegistry>) -> (std::net::TcpStream, Driver) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    let driver = ClientConnection::new(listener.accept().await.unwrap().0, shared).run();
    (client, Box::pin(driver))
}

/// Runs the driver until its client has an answer, and then until it waits; empty where the connection was closed.
async fn answered(client: &std::net::TcpStream, driver: &mut Driver) -> String {
    let mut reader = client.try_clone().unwrap();
    let read = tokio::task::spawn_blocking(move || {
        let mut piece = [0; 4096];
        let length = reader.read(&mut piece).unwrap_or(0);
        String::from_utf8_lossy(&piece[..length]).into_owned()
    });
    tokio::pin!(read);
    tokio::select! {
        biased;
        () = driver.as_mut() => read.await.unwrap(),
        text = &mut read => text.unwrap(),
    }
}

/// Guards against a request lost on a kept connection that the node closes: for its age, or since another one needs its
/// place.
#[tokio::test]
async fn a_request_that_comes_in_the_instant_of_a_close_by_age_or_by_eviction_is_answered() {
    for by_age in [true, false] {
        let (_phase, phases) = watch::channel(NodePhase::Serving);
        let (shared, _told) = shared(phases);
        let (mut client, mut driver) = connection(shared.clone()).await;
        client.write_all(HEALTH).unwrap();
        assert!(answered(&client, &mut driver).await.starts_with(HEALTHY));
        assert!(poll_once(&mut driver).await.is_pending());
        if by_age {
            tokio::time::pause();
            tokio::time::advance(shared.limits().client_idle_timeout * 2).await;
        } else {
            tokio::time::pause();
            assert!(!shared.evict_idle(), "a request may be on its way");
            tokio::time::advance(MIN_IDLE_BEFORE_EVICTION).await;
            tokio::time::resume();
            assert!(shared.evict_idle(), "the connection rests");
        }
        client.write_all(HEALTH).unwrap();
        assert!(
            poll_once(&mut driver).await.is_pending(),
            "closed by age: {by_age}"
        );
        if by_age {
            tokio::time::resume();
        }
        let text = answered(&client, &mut driver).await;
        assert!(
            text.starts_with(HEALTHY),
            "closed by age: {by_age}, '{text}'"
        );
    }
}

/// A client whose request has come and waits, since the core has no room for it; and what the core is told.
async fn waiting_for_room() -> (
    std::net::TcpStream,
    Driver,
    mpsc::Receiver<DispatcherMessage>,
) {
    let (_phase, phases) = watch::channel(NodePhase::Serving);
    let (shared, told) = shared(phases);
    let (mut client, mut driver) = connection(shared.clone()).await;
    let (done, _summed) = oneshot::channel();
    shared
        .dispatcher()
        .try_send(DispatcherMessage::LogSummary(done))
        .unwrap();
    client.write_all(REQUEST).unwrap();
    turn().await;
    assert!(poll_once(&mut driver).await.is_pending());
    (client, driver, told)
}

/// Guards against an attempt for nobody: the core is behind and has no room for a request whose client leaves.
#[tokio::test]
async fn a_client_that_leaves_while_the_core_has_no_room_for_its_request_is_never_told_of_later() {
    let (client, mut driver, mut told) = waiting_for_room().await;
    drop(client);
    turn().await;
    assert!(poll_once(&mut driver).await.is_pending());
    assert!(matches!(
        told.try_recv(),
        Ok(DispatcherMessage::LogSummary(_))
    ));
    // It has seen the close, and the room that comes now is not for the request any more.
    let _ = poll_once(&mut driver).await;
    assert!(matches!(
        told.try_recv(),
        Ok(DispatcherMessage::ClientDisconnected { .. })
    ));
}

/// Where room and close come in one instant the request may be told of, and its client's departure follows at once.
#[tokio::test]
async fn a_client_that_leaves_in_the_instant_in_which_the_core_has_room_is_followed_by_its_departure(
) {
    let (client, mut driver, mut told) = waiting_for_room().await;
    drop(client);
    assert!(matches!(
        told.try_recv(),
        Ok(DispatcherMessage::LogSummary(_))
    ));
    turn().await;
    let _ = poll_once(&mut driver).await;
    let Ok(DispatcherMessage::ClientRequest(request)) = told.try_recv() else {
        panic!("the room came first")
    };
    let _ = poll_once(&mut driver).await;
    assert!(request.response.is_closed(), "nobody waits for this answer");
    assert!(matches!(
        told.try_recv(),
        Ok(DispatcherMessage::ClientDisconnected { .. })
    ));
}
