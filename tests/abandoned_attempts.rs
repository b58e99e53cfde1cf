//! Guards against requests that reach a replica after the node has given them up. The kernel accepts the whole request, the
//! replica does not read, and the node gives the attempt up; once the replica reads again, an ordinary close of the connection
//! would still deliver the rest. A keyed request then ran twice, and a request ran whose client had long gone.
//!
//! No test depends on time: each waits until the request is in the buffers of the two kernels, and reads it after the attempt
//! has ended.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/attempts.rs"]
mod attempts;
#[allow(
    dead_code,
    reason = "the registry of client connections is for other tests"
)]
#[path = "support/client_registry.rs"]
mod client_registry;
mod support;

use attempts::{attempt_request, replica_client};
use client_registry::config;
use poppykeel::routing::directory::replica_id;
use poppykeel::routing::MonotonicMicros;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::replica::attempts::{AttemptRequest, ReplicaClient};
use poppykeel::transport::replica::pool::ReplicaAddress;
use poppykeel_scheduler::AttemptOutcome;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::{format_request, wait_until, Node, TEST_TIMEOUT};
use tokio::sync::mpsc::{self, Receiver};
use tokio::task::{spawn_local, LocalSet};

/// The longest body. Much more than [`RECEIVE_BUFFER_BYTES`], and less than the kernel's send buffer holds.
const BODY_BYTES: usize = 256 * 1024;
/// The receive buffer of a replica's connections. The kernel doubles it.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
const DECLINED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                        17\r\ndata: 1\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// A listener whose connections have a small receive buffer.
fn listen_with_small_buffer() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&addr.into()).unwrap();
    socket.listen(16).unwrap();
    socket.into()
}

/// Accepts a connection and waits until at least `length` bytes are in the buffers of the two kernels. Reads nothing.
fn accept_unread(listener: &TcpListener, length: usize) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let mut accepted = None;
    wait_until("a connection", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (replica, _) = accepted.unwrap();
    replica.set_nonblocking(false).unwrap();
    replica.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let client = replica.peer_addr().unwrap();
    wait_until("the request in the kernels' buffers", || {
        buffered_bytes(replica.local_addr().unwrap(), client) >= length
    });
    replica
}

/// The bytes in the receive buffer of a replica's connection and in the send buffer at its other end, by `/proc/net/tcp`.
fn buffered_bytes(replica: SocketAddr, client: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let ends = [(replica, client), (client, replica)];
    let mut bytes = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_at =
            |field: &str, addr: SocketAddr| field.ends_with(&format!(":{:04X}", addr.port()));
        if ends
            .iter()
            .any(|(own, peer)| is_at(fields[1], *own) && is_at(fields[2], *peer))
        {
            let queues = fields[4].split(':');
            bytes += queues
                .map(|hex| usize::from_str_radix(hex, 16).unwrap())
                .sum::<usize>();
        }
    }
    bytes
}

/// Reads until the connection ends or is reset, and asserts that less than the whole body arrives.
fn expect_incomplete_request(mut replica: TcpStream) {
    let mut received = Vec::new();
    // The connection may end with a reset.
    let _ = replica.read_to_end(&mut received);
    assert!(
        received.len() < BODY_BYTES,
        "the replica received the whole request after it was given up"
    );
}

/// Starts a node whose only replica does not read, sends it a long request and waits until the node has written it.
fn node_with_unread_request(test: &str) -> (Node, TcpStream, TcpStream) {
    let listener = listen_with_small_buffer();
    let node = Node::builder(test)
        .replicas(&[listener.local_addr().unwrap()])
        .semantics("unsafe")
        .start();
    let mut client = node.connect();
    let request = format_request("00000000000000a1", "", &"x".repeat(BODY_BYTES), 10.0);
    client.write_all(request.as_bytes()).unwrap();
    let replica = accept_unread(&listener, BODY_BYTES);
    (node, client, replica)
}

/// The client leaves while the rest of its request is in the kernel's send buffer.
#[test]
fn request_whose_client_has_left_does_not_reach_its_replica_whole() {
    let (node, client, replica) = node_with_unread_request("left");
    drop(client);
    node.wait_for_log("connection to a replica closed before all bytes were acknowledged");
    expect_incomplete_request(replica);
}

/// The process is killed while the rest of a request is in the kernel's send buffer.
#[test]
fn request_of_a_killed_node_does_not_reach_its_replica_whole() {
    let (mut node, _client, replica) = node_with_unread_request("killed");
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    expect_incomplete_request(replica);
}

/// A replica client, and the messages that it sends to the dispatcher.
struct Attempts {
    client: ReplicaClient,
    messages: Receiver<DispatcherMessage>,
    clock: Clock,
}

impl Attempts {
    fn new() -> Attempts {
        let clock = Clock::start();
        let (dispatcher, messages) = mpsc::channel(16);
        let client = replica_client(config(), Duration::ZERO, dispatcher, clock);
        Attempts {
            client,
            messages,
            clock,
        }
    }

    /// An attempt without a deadline.
    fn request(&self, replica: &TcpListener, body_bytes: usize) -> AttemptRequest {
        let address = ReplicaAddress {
            replica: replica_id("s-1"),
            started_ms: 0,
            addr: replica.local_addr().unwrap(),
        };
        attempt_request(1, address, vec![b'x'; body_bytes].into())
    }

    /// Waits for the outcome of an attempt.
    async fn outcome(&mut self) -> AttemptOutcome {
        loop {
            let message = tokio::time::timeout(TEST_TIMEOUT, self.messages.recv());
            if let Some(DispatcherMessage::AttemptEnded { outcome, .. }) = message.await.unwrap() {
                return outcome;
            }
        }
    }
}

/// Runs a blocking function beside the tasks of the current thread.
async fn blocking<T: Send + 'static>(function: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(function).await.unwrap()
}

/// Time until the write deadline in the tests of it, in microseconds.
const WRITE_TIME_US: MonotonicMicros = 300_000;

/// The write deadline passes while the attempt goes on and the rest of the request is in the kernel's send buffer: replicas
/// would no longer recognise it as a repeat when the replica reads on.
#[tokio::test]
async fn attempt_ends_at_its_write_deadline_if_its_replica_has_not_taken_the_request() {
    let mut attempts = Attempts::new();
    let listener = listen_with_small_buffer();
    let request = AttemptRequest {
        write_by: Some(attempts.clock.now() + WRITE_TIME_US),
        ..attempts.request(&listener, BODY_BYTES)
    };
    let test = async {
        spawn_local(attempts.client.clone().run_attempt(request));
        let replica = blocking(move || accept_unread(&listener, BODY_BYTES)).await;
        assert_eq!(attempts.outcome().await, AttemptOutcome::ConnectFailed);
        blocking(move || expect_incomplete_request(replica)).await;
    };
    LocalSet::new().run_until(test).await;
}

/// A request that its replica has taken in time is waited for beyond the write deadline.
#[tokio::test]
async fn attempt_goes_on_after_its_write_deadline_if_its_replica_has_taken_the_request() {
    const BODY: usize = 100;
    let mut attempts = Attempts::new();
    let listener = listen_with_small_buffer();
    let write_by = attempts.clock.now() + WRITE_TIME_US;
    let request = AttemptRequest {
        write_by: Some(write_by),
        ..attempts.request(&listener, BODY)
    };
    let answer_at = attempts.clock.instant(write_by + WRITE_TIME_US);
    let test = async {
        spawn_local(attempts.client.clone().run_attempt(request));
        let mut replica = blocking(move || accept_unread(&listener, BODY)).await;
        tokio::time::sleep_until(answer_at).await;
        replica.write_all(STREAM).unwrap();
        assert_eq!(attempts.outcome().await, AttemptOutcome::Completed);
    };
    LocalSet::new().run_until(test).await;
}

/// A replica declines a request that it has not read. The rest of the request must not be sent before the next one on the same
/// connection.
#[tokio::test]
async fn connection_with_an_unread_request_is_not_reused() {
    let mut attempts = Attempts::new();
    let listener = listen_with_small_buffer();
    let first = attempts.request(&listener, BODY_BYTES);
    let second = attempts.request(&listener, 0);
    let test = async {
        spawn_local(attempts.client.clone().run_attempt(first));
        let next_listener = listener.try_clone().unwrap();
        let mut replica = blocking(move || accept_unread(&listener, BODY_BYTES)).await;
        replica.write_all(DECLINED).unwrap();
        assert_eq!(attempts.outcome().await, AttemptOutcome::AtCapacity);
        spawn_local(attempts.client.clone().run_attempt(second));
        // Fails if the second request is on the connection of the first.
        let _second = blocking(move || accept_unread(&next_listener, 1)).await;
        blocking(move || expect_incomplete_request(replica)).await;
    };
    LocalSet::new().run_until(test).await;
}

/// A replica must not take the close of an idle connection for an error.
#[tokio::test]
async fn idle_connection_is_closed_in_order() {
    let mut attempts = Attempts::new();
    let listener = listen_with_small_buffer();
    let request = attempts.request(&listener, 1);
    let test = async {
        spawn_local(attempts.client.clone().run_attempt(request));
        let mut replica = blocking(move || accept_unread(&listener, 1)).await;
        let mut received = [0; 4096];
        assert!(replica.read(&mut received).unwrap() > 0);
        replica.write_all(STREAM).unwrap();
        assert_eq!(attempts.outcome().await, AttemptOutcome::Completed);
        // The connection is in the pool once the task of the attempt has ended.
        tokio::task::yield_now().await;
        drop(attempts);
        replica
    };
    let replica = LocalSet::new().run_until(test).await;
    let mut replica = replica;
    assert_eq!(replica.read(&mut [0; 4096]).unwrap(), 0);
}
