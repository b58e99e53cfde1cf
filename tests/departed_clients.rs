//! Guards against work for clients that have left: a client sends much more than the node reads ahead and closes its connection.
//! The close lies behind the unread bytes, so the node did not see it, and went on with the client's requests one after the
//! other.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use support::{
    accept_request, expect_no_bytes, format_request, is_connecting_to, start_full_listener,
    wait_until, Node, PollAnswer, ScriptedDiscovery, TEST_TIMEOUT,
};

/// Longer than any wait of a test, so that no deadline ends a request.
const DEADLINE_S: f64 = 60.0;
const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                        17\r\ndata: 1\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// More than the node's kernel accepts unread, and less than the node discards before it gives up a client that goes on sending.
const SENT_AHEAD_BYTES: usize = 8 * 1024 * 1024;

/// Sends a request, then further ones with bodies of this length for as long as the kernel accepts them, and closes the connection.
/// Returns the connection of the first request's attempt, whose head the replica has read.
fn leave_behind_unread_requests(
    node: &Node,
    replica: &TcpListener,
    body_bytes: usize,
) -> TcpStream {
    let mut client = node.connect();
    let first = format_request("00000000000000d0", "", "", DEADLINE_S);
    client.write_all(first.as_bytes()).unwrap();
    let attempt = accept_request(replica);
    client.set_nonblocking(true).unwrap();
    let body = "x".repeat(body_bytes);
    for number in 1..=SENT_AHEAD_BYTES / body_bytes {
        let id = format!("{:016x}", 0xd0 + number);
        let request = format_request(&id, "", &body, DEADLINE_S);
        if !write_accepted(&mut client, request.as_bytes()) {
            break;
        }
    }
    attempt
}

/// Writes bytes for as long as the kernel accepts them. Returns whether it has accepted all.
fn write_accepted(stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
            Err(e) => panic!("{e}"),
        }
    }
    true
}

/// Reads until the node ends the connection.
fn expect_end(mut attempt: TcpStream) {
    attempt.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    if let Err(e) = attempt.read_to_end(&mut received) {
        assert_eq!(e.kind(), ErrorKind::ConnectionReset, "the attempt goes on");
    }
}

/// Sends a request from another client and asserts that it is the next one at the replica.
fn expect_next_request_is_of_another_client(node: &Node, replica: &TcpListener) {
    const PATH: &str = "/of-another-client";
    let mut client = node.connect();
    let request = format_request("00000000000000ee", "", "", DEADLINE_S);
    let request = request.replace(
        "POST /v1/chat/completions",
        &format!("POST /v1/chat/completions?{PATH}"),
    );
    client.write_all(request.as_bytes()).unwrap();
    replica.set_nonblocking(false).unwrap();
    let mut attempt = replica.accept().unwrap().0;
    let mut head = [0; 128];
    let length = attempt.read(&mut head).unwrap();
    let head = String::from_utf8_lossy(&head[..length]);
    assert!(
        head.contains(PATH),
        "a request of the client that has left: {head}"
    );
}

/// The node notices that a client has left however much it has sent before, and ends its attempt.
#[test]
fn attempt_ends_when_its_client_leaves_behind_more_than_is_read_ahead() {
    for body_bytes in [1000, 20_000, 250_000] {
        let replica = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Node::builder(&format!("behind-{body_bytes}"))
            .replicas(&[replica.local_addr().unwrap()])
            .start();
        let attempt = leave_behind_unread_requests(&node, &replica, body_bytes);
        expect_end(attempt);
        expect_next_request_is_of_another_client(&node, &replica);
    }
}

/// The first request is answered just after its client has left: those that the client has sent ahead must not begin.
#[test]
fn request_sent_ahead_does_not_begin_after_its_client_has_left() {
    for body_bytes in [1000, 20_000, 250_000] {
        let replica = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Node::builder(&format!("ahead-{body_bytes}"))
            .replicas(&[replica.local_addr().unwrap()])
            .start();
        let mut attempt = leave_behind_unread_requests(&node, &replica, body_bytes);
        // The time for which a client's leaving may go unnoticed.
        std::thread::sleep(std::time::Duration::from_millis(100));
        // The node may have ended the attempt.
        let _ = attempt.write_all(STREAM);
        expect_next_request_is_of_another_client(&node, &replica);
    }
}

/// The process stands still while an attempt connects, its client leaves meanwhile, and the connection is up when the process goes
/// on: the attempt was decided before the suspension, and must not begin after it.
#[test]
fn connecting_attempt_does_not_begin_if_its_client_left_while_the_process_stood_still() {
    std::thread::scope(|scope| {
        for number in 0..8 {
            scope.spawn(move || {
                let (replica, queued) = start_full_listener();
                let addr = replica.local_addr().unwrap();
                let list = r#"{"version":41,"full":false,"servers":[]}"#.to_string();
                let discovery = ScriptedDiscovery::start(&[PollAnswer::List(list)]);
                let node = Node::builder(&format!("suspended-{number}"))
                    .replicas(&[addr])
                    .semantics("unsafe")
                    .discovery(&discovery.addr.to_string())
                    .start();
                node.wait_for_log("endpoint list confirmed");
                let mut client = node.connect();
                let request = format_request("00000000000000d0", "", "", DEADLINE_S);
                client.write_all(request.as_bytes()).unwrap();
                wait_until("the connection attempt", || is_connecting_to(addr.port()));
                node.signal("-STOP");
                drop(client);
                // The kernel's next SYN retransmission can now establish the connection.
                for _ in &queued {
                    drop(replica.accept().unwrap());
                }
                wait_until("the connection", || !is_connecting_to(addr.port()));
                node.signal("-CONT");
                expect_no_bytes(&replica);
            });
        }
    });
}
