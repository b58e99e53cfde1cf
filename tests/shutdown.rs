//! Requests that arrive while a node shuts down after a real SIGTERM. A request that arrives too late to be served is rejected
//! and reaches no replica. Most replicas of the tests do not respond during the whole shutdown.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{ReplyScript, StubServers};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use support::{accept_request, format_request, read_some, wait_until, Node};

/// A deadline in seconds, far longer than a node may run after SIGTERM.
const LONG_DEADLINE_S: f64 = 60.0;
/// Time in milliseconds until an unresponsive replica would respond.
const UNRESPONSIVE_MS: u64 = 60_000;
/// Longer than the time after SIGTERM in which a node still admits requests.
const SUSPENSION: Duration = Duration::from_millis(1200);
/// The event that ends a stream, and the last chunk.
const END_OF_STREAM: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn request(number: u64, body: &str) -> String {
    format_request(&id(number), "", body, LONG_DEADLINE_S)
}

/// Reads until the connection is closed or reset.
fn read_to_close(client: &mut TcpStream) -> String {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(length @ 1..) = read_some(client, &mut buffer) {
        bytes.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn unresponsive_replica() -> StubServers {
    StubServers::start(vec![ReplyScript {
        first_token_ms: UNRESPONSIVE_MS,
        ..ReplyScript::default()
    }])
    .unwrap()
}

/// Ids of the requests that have reached a stub server.
fn received_request_ids(servers: &StubServers) -> Vec<String> {
    servers
        .served_requests()
        .into_iter()
        .map(|record| record.id)
        .collect()
}

fn assert_exits_successfully(mut node: Node) {
    wait_until("the end of the process", || {
        node.child.try_wait().unwrap().is_some()
    });
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Guards against the incident of 2 December, in which requests were forwarded late in a shutdown. They were the first
/// requests on connections that clients had opened before SIGTERM, and arrived after the node had closed the other
/// connections.
#[test]
fn rejects_first_request_on_open_connection_late_in_shutdown() {
    for semantics in ["safe", "unsafe"] {
        let servers = unresponsive_replica();
        let node = Node::builder(&format!("late-{semantics}"))
            .replicas(servers.addrs())
            .semantics(semantics)
            .start();
        let mut clients: Vec<TcpStream> = (0..8).map(|_| node.connect()).collect();
        node.signal("-TERM");
        node.wait_for_log("closing");
        for (number, client) in clients.iter_mut().enumerate() {
            // Fails if the node has closed the connection unread. This is allowed: a client would then use another node.
            let _ = client.write_all(request(number as u64 + 1, "").as_bytes());
        }
        for client in &mut clients {
            let text = read_to_close(client);
            assert!(
                text.is_empty() || text.starts_with("HTTP/1.1 503 "),
                "{semantics}: '{text}'"
            );
        }
        assert_eq!(
            received_request_ids(&servers),
            Vec::<String>::new(),
            "{semantics}"
        );
        assert_exits_successfully(node);
    }
}

/// Other requests that arrive around the time when the node stops admitting requests: one pipelined behind a stream, one whose
/// bytes arrive partly before and partly after that time, and two that arrive while the node is suspended.
#[test]
fn rejects_requests_that_cross_the_end_of_admission() {
    rejects_request_behind_a_stream();
    rejects_request_that_arrives_in_parts();
    rejects_requests_to_a_suspended_node();
}

fn rejects_request_behind_a_stream() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::builder("behind")
        .replicas(&[server.local_addr().unwrap()])
        .start();
    let mut client = node.connect();
    client.write_all(request(1, "").as_bytes()).unwrap();
    let mut stream = accept_request(&server);
    stream.write_all(STREAM_HEAD).unwrap();
    stream.write_all(b"9\r\ndata: 1\n\n\r\n").unwrap();
    let mut received = String::new();
    while !received.contains("data: 1") {
        let mut buffer = [0; 4096];
        let length = read_some(&mut client, &mut buffer).unwrap();
        assert!(length > 0, "the stream ended: '{received}'");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    node.signal("-TERM");
    node.wait_for_log("closing");
    client.write_all(request(2, "").as_bytes()).unwrap();
    stream.write_all(END_OF_STREAM.as_bytes()).unwrap();
    drop(stream);
    let reader = std::thread::spawn(move || read_to_close(&mut client));
    // If the node forwarded the second request, it would open a new connection to the replica.
    server.set_nonblocking(true).unwrap();
    wait_until("the second response", || {
        assert!(server.accept().is_err(), "the request reached a replica");
        reader.is_finished()
    });
    let text = reader.join().unwrap();
    let rejected = format!("{END_OF_STREAM}HTTP/1.1 503 ");
    assert!(text.starts_with(&rejected), "'{text}'");
    assert_exits_successfully(node);
}

fn rejects_request_that_arrives_in_parts() {
    let servers = unresponsive_replica();
    let node = Node::builder("in-parts").replicas(servers.addrs()).start();
    let text = request(3, "the last bytes come late");
    let (head, tail) = text.split_at(text.len() - 4);
    let mut client = node.connect();
    client.write_all(head.as_bytes()).unwrap();
    // Once another client has its response, the node has read the first part.
    let mut other = node.connect();
    other
        .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    assert!(read_to_close(&mut other).starts_with("HTTP/1.1 200 "));
    node.signal("-TERM");
    node.wait_for_log("closing");
    client.write_all(tail.as_bytes()).unwrap();
    let answer = read_to_close(&mut client);
    assert!(answer.starts_with("HTTP/1.1 503 "), "'{answer}'");
    assert_eq!(received_request_ids(&servers), Vec::<String>::new());
    assert_exits_successfully(node);
}

fn rejects_requests_to_a_suspended_node() {
    let servers = unresponsive_replica();
    let node = Node::builder("suspended").replicas(servers.addrs()).start();
    let mut unused = node.connect();
    let mut idle = node.connect();
    idle.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    let length = idle.read(&mut [0; 4096]).unwrap();
    assert!(length > 0);
    node.signal("-TERM");
    node.wait_for_log("draining");
    node.signal("-STOP");
    std::thread::sleep(SUSPENSION);
    unused.write_all(request(4, "").as_bytes()).unwrap();
    idle.write_all(request(5, "").as_bytes()).unwrap();
    node.signal("-CONT");
    for client in [&mut unused, &mut idle] {
        let answer = read_to_close(client);
        assert!(answer.starts_with("HTTP/1.1 503 "), "'{answer}'");
    }
    assert_eq!(received_request_ids(&servers), Vec::<String>::new());
    assert_exits_successfully(node);
}

/// Guards against clients without a response when the platform kills the process: the replica never responds, and the clients
/// would wait for a minute.
#[test]
fn request_on_unresponsive_replica_gets_final_response_before_the_kill_deadline() {
    for (semantics, status) in [("safe", "503"), ("unsafe", "502")] {
        let servers = unresponsive_replica();
        let node = Node::builder(&format!("hangs-{semantics}"))
            .replicas(servers.addrs())
            .semantics(semantics)
            .start();
        let mut sent = node.connect();
        sent.write_all(request(6, "").as_bytes()).unwrap();
        wait_until("the request at the replica", || {
            received_request_ids(&servers) == [id(6)]
        });
        node.signal("-TERM");
        node.wait_for_log("draining");
        let mut late = node.connect();
        late.write_all(request(7, "").as_bytes()).unwrap();
        for client in [&mut sent, &mut late] {
            let text = read_to_close(client);
            assert!(
                text.starts_with(&format!("HTTP/1.1 {status} ")),
                "{semantics}: '{text}'"
            );
        }
        assert_exits_successfully(node);
    }
}

#[test]
fn rejects_request_without_reachable_replica_before_the_kill_deadline() {
    // Nothing listens at this address: each attempt fails to connect.
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let node = Node::builder("none")
        .replicas(&[closed])
        .semantics("unsafe")
        .start();
    let mut client = node.connect();
    client.write_all(request(8, "").as_bytes()).unwrap();
    node.signal("-TERM");
    let text = read_to_close(&mut client);
    assert!(text.starts_with("HTTP/1.1 503 "), "'{text}'");
    assert_exits_successfully(node);
}
