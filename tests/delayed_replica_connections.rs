//! Guards against outdated requests on a replica connection that is established late. The node chooses the replica and the
//! deadline of an attempt at once, but writes the request only when the connection is established, possibly a second later.
//! The replica then received a longer deadline than the client had left, or a request after it had begun to drain.
//!
//! The tests hold a connection in the state `SYN_SENT` until the choice is outdated, and check the first bytes on it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use support::{
    accept_request, answer_poll, endpoint_entry, expect_no_bytes, expect_no_request,
    format_request, is_connecting_to, read_response, read_some, send_request, start_full_listener,
    wait_until, DrainableReplica, Node, PollAnswer, ScriptedDiscovery,
};

const DEADLINE_S: f64 = 10.0;
/// Amount in seconds by which the deadline sent to a replica may exceed the client's remaining time.
const DEADLINE_SLACK_S: f64 = 0.15;
const NO_CHANGES: &str = r#"{"version":41,"full":false,"servers":[]}"#;
const REQUEST_ID: &str = "00000000000000e1";

fn send(node: &Node) -> std::net::TcpStream {
    let mut client = node.connect();
    let request = format_request(REQUEST_ID, "", "", DEADLINE_S);
    client.write_all(request.as_bytes()).unwrap();
    client
}

fn list_changes(endpoints: &[String]) -> String {
    let endpoints = endpoints.join(",");
    format!(r#"{{"version":42,"full":false,"servers":[{endpoints}]}}"#)
}

/// Starts a node and waits until its endpoint list is confirmed. Then sends a request and waits until its attempt is
/// connecting. Returns the node and the client's connection.
fn node_with_connecting_attempt(
    test: &str,
    addr: SocketAddr,
    discovery: &ScriptedDiscovery,
    allows_probes: bool,
) -> (Node, std::net::TcpStream) {
    let node = Node::builder(test)
        .replicas(&[addr])
        .discovery(&discovery.addr.to_string())
        .allows_probes(allows_probes)
        .start();
    node.wait_for_log("endpoint list confirmed");
    let client = send(&node);
    wait_until("the connection attempt", || is_connecting_to(addr.port()));
    (node, client)
}

/// The deadline sent to the replica is the client's remaining time when the connection is established, not when the node chose
/// the replica.
#[test]
fn deadline_passed_on_excludes_the_wait_for_the_connection() {
    let (delayed, queued) = start_full_listener();
    let discovery = ScriptedDiscovery::start(&[PollAnswer::List(NO_CHANGES.into())]);
    let addr = delayed.local_addr().unwrap();
    let (_node, _client) = node_with_connecting_attempt("deadline", addr, &discovery, false);
    let sent_before = Instant::now();
    std::thread::sleep(Duration::from_millis(600));
    drop(queued);
    let waited_s = sent_before.elapsed().as_secs_f64();
    let head = accept_head(&delayed);
    let deadline = head
        .lines()
        .find_map(|line| line.strip_prefix("Req-Deadline: "))
        .unwrap();
    let deadline: f64 = deadline.parse().unwrap();
    assert!(
        deadline <= DEADLINE_S - waited_s + DEADLINE_SLACK_S,
        "sent a deadline of {deadline} s, {waited_s} s after the request"
    );
}

/// Receives the head of the first request that arrives on any connection.
fn accept_head(listener: &TcpListener) -> String {
    let listener = listener.try_clone().unwrap();
    let (sender, heads) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        listener.set_nonblocking(false).unwrap();
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut bytes = [0; 4096];
                if let Ok(length @ 1..) = std::io::Read::read(&mut stream, &mut bytes) {
                    let head = String::from_utf8_lossy(&bytes[..length]).into_owned();
                    // The test may have ended.
                    let _ = sender.send(head);
                }
                // Keeps the connection open until the test ends.
                std::thread::sleep(support::TEST_TIMEOUT);
            });
        }
    });
    heads.recv_timeout(support::TEST_TIMEOUT).unwrap()
}

/// A truncated answer with a drain makes the list unconfirmed while the attempt is connecting: the replica gets no request.
#[test]
fn connection_established_after_the_list_became_unconfirmed_carries_no_request() {
    let (delayed, queued) = start_full_listener();
    let addr = delayed.local_addr().unwrap();
    let drain = list_changes(&[endpoint_entry("s-0", addr, "draining")]);
    let discovery = ScriptedDiscovery::start(&[
        PollAnswer::List(NO_CHANGES.into()),
        PollAnswer::HeldHalf(drain),
    ]);
    let (_node, _client) = node_with_connecting_attempt("unconfirmed", addr, &discovery, true);
    discovery.release();
    wait_until("the poll after the truncated answer", || {
        discovery.poll_count() > 2
    });
    drop(queued);
    expect_no_request(&delayed);
}

/// Discovery reports another address of the replica while the attempt is connecting. The attempt goes to the new address, and
/// the old one gets no bytes.
#[test]
fn unsent_attempt_follows_its_replica_to_another_address() {
    let (delayed, queued) = start_full_listener();
    let addr = delayed.local_addr().unwrap();
    let moved = DrainableReplica::start();
    let discovery = ScriptedDiscovery::start(&[
        PollAnswer::List(NO_CHANGES.into()),
        PollAnswer::Held(list_changes(&[endpoint_entry("s-0", moved.addr, "up")])),
    ]);
    let (_node, _client) = node_with_connecting_attempt("moved", addr, &discovery, false);
    discovery.release();
    wait_until("the request at the new address", || {
        moved.requests() == [REQUEST_ID]
    });
    drop(queued);
    expect_no_bytes(&delayed);
}

/// Guards against a request to a replica that began draining long before its connection was established.
#[test]
fn connection_established_after_its_replica_began_draining_carries_no_request() {
    let (delayed, queued) = start_full_listener();
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let replica = StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap();
    let addr = delayed.local_addr().unwrap();
    let discovery_addr = discovery.local_addr().unwrap().to_string();
    let node = Node::builder("late")
        .replicas(&[addr])
        .semantics("unsafe")
        .discovery(&discovery_addr)
        .start();
    let mut poll = accept_request(&discovery);
    // The node dispatches requests only with a confirmed list.
    answer_poll(&mut poll, NO_CHANGES);
    let (id, mut client) = send_request(&node, "late", 3);
    wait_until("the connection", || is_connecting_to(addr.port()));
    let list = [
        endpoint_entry("s-0", addr, "draining"),
        endpoint_entry("s-9", replica.addrs()[0], "up"),
    ]
    .join(",");
    let body = format!(r#"{{"version":42,"full":false,"servers":[{list}]}}"#);
    answer_poll(&mut poll, &body);
    node.wait_for_log("Draining");
    // The kernel's next SYN retransmission can now establish the connection.
    drop(queued);
    let response = std::thread::spawn(move || read_response(id, "late", 3, &mut client));
    expect_no_bytes(&delayed);
    // The request has not run on the first replica, so the other one gets it even if its class does not allow repeats.
    assert_eq!(response.join().unwrap().outcome, ClientOutcome::Completed);
    assert_eq!(replica.served_requests().len(), 1);
}

/// Guards against a request with an effect that runs twice: the first replica fails after it may have run, and the connection
/// for the repeat is established after the time for which replicas recognise repeats.
#[test]
fn repeat_is_not_written_after_replicas_have_forgotten_the_request() {
    const RETENTION: Duration = Duration::from_secs(1);
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let (delayed, queued) = start_full_listener();
    let delayed_addr = delayed.local_addr().unwrap();
    let second = list_changes(&[endpoint_entry("s-9", delayed_addr, "up")]);
    let discovery = ScriptedDiscovery::start(&[
        PollAnswer::List(NO_CHANGES.into()),
        PollAnswer::Held(second),
    ]);
    let node = Node::builder("retention")
        .replicas(&[first.local_addr().unwrap()])
        .keyed(RETENTION.as_secs_f64())
        .discovery(&discovery.addr.to_string())
        .start();
    node.wait_for_log("endpoint list confirmed");
    let mut client = send(&node);
    let mut attempt = accept_request(&first);
    let received_at = Instant::now();
    discovery.release();
    node.wait_for_log("list changed");
    attempt
        .write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    wait_until("the connection for the repeat", || {
        is_connecting_to(delayed_addr.port())
    });
    std::thread::sleep(RETENTION.saturating_sub(received_at.elapsed()));
    // The kernel's next SYN retransmission can now establish the connection.
    drop(queued);
    expect_no_bytes(&delayed);
    let mut response = [0; 4096];
    let length = read_some(&mut client, &mut response).unwrap();
    let response = String::from_utf8_lossy(&response[..length]);
    assert!(response.starts_with("HTTP/1.1 50"), "{response}");
}
