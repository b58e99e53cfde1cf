//! Client and replica connections on loopback sockets. The tests pause and advance the runtime's clock.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/attempts.rs"]
mod attempts;
#[path = "support/client_registry.rs"]
mod client_registry;

use attempts::{attempt_request, replica_client};
use bytes::Bytes;
use client_registry::{config, registry};
use futures_util::{SinkExt, StreamExt};
use poppykeel::protocol::http::{EncodedMessage, MessagePart};
use poppykeel::routing::directory::replica_id;
use poppykeel::routing::MonotonicMicros;
use poppykeel::transport::client::connection::ClientConnection;
use poppykeel::transport::client::listener::accept_connections;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::node_phase::NodePhase;
use poppykeel::transport::replica::attempts::AttemptRequest;
use poppykeel::transport::replica::connection::ReplicaConnection;
use poppykeel::transport::replica::pool::{ConnectionPool, ReplicaAddress};
use poppykeel_scheduler::AttemptOutcome;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const STREAM: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\ndata: 1\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const MINUTE: Duration = Duration::from_secs(60);

#[tokio::test]
async fn pool_does_not_reuse_connection_with_unread_bytes_or_of_another_replica() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = ReplicaAddress {
        replica: replica_id("s-1"),
        started_ms: 0,
        addr: listener.local_addr().unwrap(),
    };
    let pool = ConnectionPool::new(9, MINUTE, MINUTE);
    let mut connection = pool.acquire(address).await.ok().unwrap();
    let mut replica = listener.accept().unwrap().0;
    connection
        .http_mut()
        .send(EncodedMessage::Raw("GET / HTTP/1.1\r\n\r\n".into()))
        .await
        .unwrap();
    replica.write_all(ANSWER).unwrap();
    assert!(matches!(
        connection.http_mut().next().await,
        Some(Ok(MessagePart::Head(_)))
    ));
    assert!(matches!(
        connection.http_mut().next().await,
        Some(Ok(MessagePart::End))
    ));
    let port = connection.http().get_ref().local_addr().unwrap();
    pool.release(address, connection, Duration::ZERO);

    // Another replica at the same address gets a new connection.
    let other = pool
        .acquire(ReplicaAddress {
            replica: replica_id("s-2"),
            ..address
        })
        .await
        .ok()
        .unwrap();
    assert_ne!(other.http().get_ref().local_addr().unwrap(), port);
    let connection = pool.acquire(address).await.ok().unwrap();
    assert_eq!(connection.http().get_ref().local_addr().unwrap(), port);
    pool.release(address, connection, Duration::ZERO);

    // The runtime has not polled the socket since these bytes arrived, so they are only in the kernel's buffer.
    replica.write_all(ANSWER).unwrap();
    let connection = pool.acquire(address).await.ok().unwrap();
    assert_ne!(connection.http().get_ref().local_addr().unwrap(), port);
}

/// Guards against a replica that sends its response a second time some milliseconds later: without the reuse delay, the node
/// would take the repeated response for the response to the next request on the connection.
#[tokio::test]
async fn pool_reuses_connection_after_its_reuse_delay_unless_bytes_have_come() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = ReplicaAddress {
        replica: replica_id("s-1"),
        started_ms: 0,
        addr: listener.local_addr().unwrap(),
    };
    let pool = ConnectionPool::new(9, MINUTE, 9 * MINUTE);
    let port = |connection: &ReplicaConnection| connection.http().get_ref().local_addr().unwrap();
    for twice in [false, true] {
        let connection = pool.acquire(address).await.ok().unwrap();
        let (reused_port, mut replica) = (port(&connection), listener.accept().unwrap().0);
        tokio::time::pause();
        pool.release(address, connection, MINUTE);
        let next = pool.acquire(address);
        tokio::pin!(next);
        assert!(
            tokio::time::timeout(MINUTE / 2, &mut next).await.is_err(),
            "the connection was reused before its reuse delay ended"
        );
        if twice {
            replica.write_all(ANSWER).unwrap();
        }
        tokio::time::advance(MINUTE).await;
        tokio::time::resume();
        let next = next.await.ok().unwrap();
        assert_eq!(port(&next) != reused_port, twice);
        drop((next, replica));
    }
}

/// Guards against needless new connections: if a client disconnects while its attempt waits for the reuse delay, the pool must
/// keep the connection.
#[tokio::test]
async fn pool_keeps_connection_whose_reuse_delay_was_not_waited_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = ReplicaAddress {
        replica: replica_id("s-1"),
        started_ms: 0,
        addr: listener.local_addr().unwrap(),
    };
    let pool = ConnectionPool::new(9, MINUTE, 9 * MINUTE);
    let connection = pool.acquire(address).await.ok().unwrap();
    let (reused_port, _replica) = (
        connection.http().get_ref().local_addr().unwrap(),
        listener.accept().unwrap().0,
    );
    tokio::time::pause();
    pool.release(address, connection, MINUTE);
    assert!(tokio::time::timeout(MINUTE / 2, pool.acquire(address))
        .await
        .is_err());
    tokio::time::advance(MINUTE).await;
    tokio::time::resume();
    assert_eq!(
        pool.acquire(address)
            .await
            .ok()
            .unwrap()
            .http()
            .get_ref()
            .local_addr()
            .unwrap(),
        reused_port
    );
}

/// Runs whole attempts to a replica that sends its response twice: the next request does not receive the repeated response.
#[tokio::test]
async fn repeated_response_is_not_taken_for_that_of_the_next_request() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = ReplicaAddress {
        replica: replica_id("s-1"),
        started_ms: 0,
        addr: listener.local_addr().unwrap(),
    };
    let (dispatcher, _messages) = mpsc::channel(16);
    let replica_client = replica_client(config(), MINUTE, dispatcher, Clock::start());
    let attempt = |request| {
        let attempt_request = attempt_request(request, address, Bytes::new());
        tokio::task::spawn_local(replica_client.clone().run_attempt(attempt_request))
    };
    let test = async {
        let first = attempt(1);
        let mut replica = listener.accept().await.unwrap().0;
        replica.write_all(STREAM).await.unwrap();
        first.await.unwrap();
        tokio::time::pause();
        let _second = attempt(2);
        tokio::task::yield_now().await;
        // The clock is paused, so these bytes arrive during the reuse delay.
        let mut replica = replica.into_std().unwrap();
        replica.write_all(STREAM).unwrap();
        tokio::time::advance(MINUTE).await;
        tokio::time::resume();
        let other = tokio::time::timeout(MINUTE / 3, listener.accept()).await;
        assert!(
            other.is_ok(),
            "the second request was sent on the connection with the repeated response"
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against a repeat that runs after replicas have forgotten the request: its write has begun in time, but the replica
/// reads slowly, so the last byte would be written after the write deadline.
#[tokio::test]
async fn request_is_not_completed_after_its_write_deadline() {
    /// More than the kernel buffers for a connection.
    const BODY_BYTES: usize = 64 * 1024 * 1024;
    const WRITE_TIME_US: MonotonicMicros = 200_000;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = ReplicaAddress {
        replica: replica_id("s-1"),
        started_ms: 0,
        addr: listener.local_addr().unwrap(),
    };
    let (dispatcher, mut messages) = mpsc::channel(16);
    let replica_client = replica_client(config(), MINUTE, dispatcher, Clock::start());
    let has_begun = Rc::new(Cell::new(false));
    let attempt_request = AttemptRequest {
        write_by: Some(WRITE_TIME_US),
        has_begun: has_begun.clone(),
        ..attempt_request(1, address, vec![0; BODY_BYTES].into())
    };
    let test = async {
        tokio::task::spawn_local(replica_client.run_attempt(attempt_request));
        let mut replica = listener.accept().await.unwrap().0;
        // The replica reads nothing until the attempt has ended.
        let end = tokio::time::timeout(MINUTE / 3, messages.recv()).await;
        let Ok(Some(DispatcherMessage::AttemptEnded { outcome, .. })) = end else {
            panic!("the attempt goes on after its write deadline");
        };
        assert_eq!(outcome, AttemptOutcome::NotSent);
        assert!(has_begun.get(), "nothing was written");
        let mut received = Vec::new();
        // The connection may end with a reset.
        let _ = replica.read_to_end(&mut received).await;
        assert!(received.len() < BODY_BYTES, "the request was completed");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against lost requests at the end of a shutdown: a new connection or a request is in the kernel's buffers, and the
/// runtime has not polled the socket since it arrived.
#[tokio::test]
async fn answers_connections_and_requests_pending_in_the_kernel_when_the_node_closes() {
    const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\n\r\n";
    let answer = |stream: &mut std::net::TcpStream| {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    };
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let (registry, _) = registry(phases.clone());
    let test = async {
        // A connection that is not accepted yet.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let mut new = std::net::TcpStream::connect(at).unwrap();
        new.write_all(HEALTH).unwrap();
        phase.send(NodePhase::Closing).unwrap();
        accept_connections(listener, registry.clone(), phases.clone()).await;
        let new = tokio::task::spawn_blocking(move || answer(&mut new))
            .await
            .unwrap();
        assert!(
            new.starts_with("HTTP/1.1 503 "),
            "the new connection: '{new}'"
        );

        // A request on an idle connection.
        phase.send(NodePhase::Serving).unwrap();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut idle = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = ClientConnection::new(listener.accept().await.unwrap().0, registry.clone());
        let client = tokio::task::spawn_local(client.run());
        idle.write_all(HEALTH).unwrap();
        let mut idle = tokio::task::spawn_blocking(move || {
            let mut buffer = [0; 4096];
            assert!(idle.read(&mut buffer).unwrap() > 0);
            idle
        })
        .await
        .unwrap();
        tokio::task::yield_now().await;
        idle.write_all(HEALTH).unwrap();
        phase.send(NodePhase::Closing).unwrap();
        let idle = tokio::task::spawn_blocking(move || answer(&mut idle))
            .await
            .unwrap();
        assert!(
            idle.starts_with("HTTP/1.1 503 "),
            "the idle connection: '{idle}'"
        );
        client.await.unwrap();
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn closes_connection_whose_request_is_never_complete() {
    let read_timeout = config().transport_limits.request_read_timeout;
    assert!(read_timeout < Duration::from_secs(3));
    let (_phase, phases) = watch::channel(NodePhase::Serving);
    let (registry, _) = registry(phases);
    for (bytes, answer) in [
        ("", ""),
        ("POST /v1/", "HTTP/1.1 408 "),
        (
            "GET /healthz HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
            "HTTP/1.1 408 ",
        ),
    ] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut incomplete = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = ClientConnection::new(listener.accept().await.unwrap().0, registry.clone());
        incomplete.write_all(bytes.as_bytes()).unwrap();
        // Single bytes that the client keeps sending must not extend the time limit.
        let mut slow_writer = incomplete.try_clone().unwrap();
        let send_more = async {
            while !bytes.is_empty() {
                tokio::time::sleep(read_timeout / 4).await;
                let _ = slow_writer.write_all(b"x");
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = client.run() => {}
            () = send_more => {}
            () = tokio::time::sleep(read_timeout * 2) => panic!("still open after '{bytes}'"),
        }
        let mut text = String::new();
        let _ = incomplete.read_to_string(&mut text);
        assert!(text.starts_with(answer), "{text}");
    }
}
