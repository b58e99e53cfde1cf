//! Races on a client's connection: several of request bytes, a close, an eviction and free space in the dispatcher's queue
//! occur before the runtime polls the connection's task again. The tests poll the task themselves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/client_registry.rs"]
mod client_registry;

use client_registry::registry;
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
/// Time limit of each wait; exceeded only if the connection hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

type ConnectionTask = Pin<Box<dyn Future<Output = ()>>>;

/// Polls a connection's task once. The task sees only the socket and timer events that the runtime has processed so far.
async fn poll_once(task: &mut ConnectionTask) -> Poll<()> {
    std::future::poll_fn(|context| Poll::Ready(task.as_mut().poll(context))).await
}

/// Lets the runtime process socket events.
async fn process_socket_events() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

/// Opens a connection, and returns the client's end and the task that serves it.
async fn connect(registry: Rc<ConnectionRegistry>) -> (std::net::TcpStream, ConnectionTask) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let task = ClientConnection::new(listener.accept().await.unwrap().0, registry).run();
    (client, Box::pin(task))
}

/// Runs the task until its client receives bytes, and returns them; empty if the connection was closed.
async fn run_until_response(client: &std::net::TcpStream, task: &mut ConnectionTask) -> String {
    let mut reader = client.try_clone().unwrap();
    let read = tokio::task::spawn_blocking(move || {
        let mut buffer = [0; 4096];
        let length = reader.read(&mut buffer).unwrap_or(0);
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    tokio::pin!(read);
    tokio::select! {
        biased;
        () = task.as_mut() => read.await.unwrap(),
        text = &mut read => text.unwrap(),
    }
}

/// Guards against a lost request: it arrives on an idle connection just as the node closes that connection because of its idle
/// timeout or to make room for another one.
#[tokio::test]
async fn answers_request_that_arrives_as_idle_timeout_or_eviction_closes_the_connection() {
    for by_idle_timeout in [true, false] {
        let (_phase, phases) = watch::channel(NodePhase::Serving);
        let (registry, _messages) = registry(phases);
        let (mut client, mut task) = connect(registry.clone()).await;
        client.write_all(HEALTH).unwrap();
        assert!(run_until_response(&client, &mut task)
            .await
            .starts_with(HEALTHY));
        assert!(poll_once(&mut task).await.is_pending());
        if by_idle_timeout {
            tokio::time::pause();
            tokio::time::advance(registry.limits().client_idle_timeout * 2).await;
        } else {
            tokio::time::pause();
            assert!(
                !registry.evict_idle(),
                "a request may be under way on a connection that was just used"
            );
            tokio::time::advance(MIN_IDLE_BEFORE_EVICTION).await;
            tokio::time::resume();
            assert!(registry.evict_idle(), "an idle connection must be evicted");
        }
        client.write_all(HEALTH).unwrap();
        assert!(
            poll_once(&mut task).await.is_pending(),
            "by idle timeout: {by_idle_timeout}"
        );
        if by_idle_timeout {
            tokio::time::resume();
        }
        let text = run_until_response(&client, &mut task).await;
        assert!(
            text.starts_with(HEALTHY),
            "by idle timeout: {by_idle_timeout}, '{text}'"
        );
    }
}

/// Sends a request that waits because the dispatcher's queue is full. Returns the client's end, the connection's task and the
/// receiver of the queue.
async fn request_waiting_for_queue_space() -> (
    std::net::TcpStream,
    ConnectionTask,
    mpsc::Receiver<DispatcherMessage>,
) {
    let (_phase, phases) = watch::channel(NodePhase::Serving);
    let (registry, messages) = registry(phases);
    let (mut client, mut task) = connect(registry.clone()).await;
    let (done, _logged) = oneshot::channel();
    registry
        .dispatcher()
        .try_send(DispatcherMessage::LogSummary(done))
        .unwrap();
    client.write_all(REQUEST).unwrap();
    process_socket_events().await;
    assert!(poll_once(&mut task).await.is_pending());
    (client, task, messages)
}

/// Guards against an attempt for a disconnected client: the client disconnects while its request waits for space in the
/// dispatcher's queue.
#[tokio::test]
async fn does_not_dispatch_request_whose_client_disconnects_while_the_dispatcher_is_full() {
    let (client, mut task, mut messages) = request_waiting_for_queue_space().await;
    drop(client);
    process_socket_events().await;
    assert!(poll_once(&mut task).await.is_pending());
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::LogSummary(_))
    ));
    // The task has seen the close, so it does not send the request although the queue now has space.
    let _ = poll_once(&mut task).await;
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::ClientDisconnected { .. })
    ));
}

/// If the queue gets space and the client disconnects before the task is polled, the task may send the request; it must then
/// report the disconnect right after it.
#[tokio::test]
async fn reports_disconnect_of_client_whose_request_was_dispatched_in_the_same_instant() {
    let (client, mut task, mut messages) = request_waiting_for_queue_space().await;
    drop(client);
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::LogSummary(_))
    ));
    process_socket_events().await;
    let _ = poll_once(&mut task).await;
    let Ok(DispatcherMessage::ClientRequest(request)) = messages.try_recv() else {
        panic!("the queue had space before the close was seen")
    };
    let _ = poll_once(&mut task).await;
    assert!(
        request.response.is_closed(),
        "the response channel is still open"
    );
    assert!(matches!(
        messages.try_recv(),
        Ok(DispatcherMessage::ClientDisconnected { .. })
    ));
}
