//! Guards against a request that runs twice under one id: its client leaves while a replica may be running it, and the same id
//! comes again on another connection. The node knew only the ids of requests that it was serving.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use support::{accept_request, format_request, read_some, Node, NodeBuilder, TEST_TIMEOUT};

const ID: &str = "00000000000000f1";
const DEADLINE_S: f64 = 10.0;
const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                        17\r\ndata: 1\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";

fn send(node: &Node) -> TcpStream {
    let mut client = node.connect();
    client
        .write_all(format_request(ID, "", "", DEADLINE_S).as_bytes())
        .unwrap();
    client
}

/// The start line of the response.
fn read_status(client: &mut TcpStream) -> String {
    let mut bytes = [0; 4096];
    let length = read_some(client, &mut bytes).unwrap();
    let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
    text.lines().next().unwrap_or_default().to_string()
}

/// A node whose replica has a request of a client that has left.
fn node_after_departure(builder: NodeBuilder) -> (Node, TcpListener) {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = builder.replicas(&[replica.local_addr().unwrap()]).start();
    let client = send(&node);
    let mut attempt = accept_request(&replica);
    drop(client);
    attempt.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    match attempt.read(&mut [0]) {
        Ok(length) => assert_eq!(length, 0),
        Err(e) => assert_eq!(e.kind(), ErrorKind::ConnectionReset),
    }
    (node, replica)
}

/// The id comes again after its client has left: the replica may have run the request, so it must not get it again.
#[test]
fn id_that_comes_again_after_its_client_left_does_not_run_twice() {
    for builder in [
        Node::builder("again-unsafe").semantics("unsafe"),
        Node::builder("again-keyed").keyed(1.0),
    ] {
        let (node, replica) = node_after_departure(builder);
        let mut client = send(&node);
        assert_eq!(read_status(&mut client), "HTTP/1.1 400 Bad Request");
        replica.set_nonblocking(true).unwrap();
        assert_eq!(replica.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    }
}

/// The same after a complete answer.
#[test]
fn id_that_comes_again_after_its_answer_does_not_run_twice() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::builder("again-answered")
        .semantics("unsafe")
        .replicas(&[replica.local_addr().unwrap()])
        .start();
    let mut client = send(&node);
    let mut attempt = accept_request(&replica);
    attempt.write_all(STREAM).unwrap();
    assert_eq!(read_status(&mut client), "HTTP/1.1 200 OK");
    wait_for_next_response(&mut client);
    let mut client = send(&node);
    assert_eq!(read_status(&mut client), "HTTP/1.1 400 Bad Request");
}

/// Waits for the response to a further request on the connection, which follows the complete first one.
fn wait_for_next_response(client: &mut TcpStream) {
    client.set_nonblocking(false).unwrap();
    client.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    let mut text = String::new();
    while !text.contains("HTTP/1.1 200 ") {
        let mut bytes = [0; 4096];
        let length = read_some(client, &mut bytes).unwrap();
        assert!(length > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..length]));
    }
}

/// A class that may be repeated freely is served again.
#[test]
fn id_that_comes_again_is_served_if_its_class_may_be_repeated() {
    let (node, replica) = node_after_departure(Node::builder("again-safe"));
    let mut client = send(&node);
    accept_request(&replica).write_all(STREAM).unwrap();
    assert_eq!(read_status(&mut client), "HTTP/1.1 200 OK");
}
