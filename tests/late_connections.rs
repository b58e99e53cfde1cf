//! A connection to a replica that comes up late must not carry a decision that has become stale meanwhile: the time that is
//! left, the address of the replica, and whether it may be used at all.
//!
//! The story: an attempt is placed at once, its connection comes up a second later, and what is written then was decided
//! before. Replicas were told more time than their clients had left, and were sent requests after they had begun to drain.
//! Evidence: the first bytes on a connection that is held in the state `SYN_SENT` until the decision is out of date.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use support::{
    accept_request, answer_poll, entry, expect_no_bytes, expect_no_request, full_listener,
    is_connecting_to, read_response, request_text, send_request, wait_until, DrainableReplica,
    Node, PollAnswer, ScriptedDiscovery,
};

const DEADLINE_S: f64 = 10.0;
/// How much more time than its client has left a replica may be told, in seconds.
const DEADLINE_SLACK_S: f64 = 0.15;
const NO_CHANGES: &str = r#"{"version":41,"full":false,"servers":[]}"#;
const REQUEST_ID: &str = "00000000000000e1";

fn send(node: &Node) -> std::net::TcpStream {
    let mut client = node.connect();
    let request = request_text(REQUEST_ID, "", "", DEADLINE_S);
    std::io::Write::write_all(&mut client, request.as_bytes()).unwrap();
    client
}

fn changes(endpoints: &[String]) -> String {
    let endpoints = endpoints.join(",");
    format!(r#"{{"version":42,"full":false,"servers":[{endpoints}]}}"#)
}

/// A node whose list is confirmed, with an attempt that waits for its connection.
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
    node.until_logged("endpoint list confirmed");
    let client = send(&node);
    wait_until("the connection", || is_connecting_to(addr.port()));
    (node, client)
}

/// The replica is told what the client has left once the connection is up, not what it had when the attempt was placed.
#[test]
fn deadline_passed_on_excludes_the_wait_for_the_connection() {
    let (late, queued) = full_listener();
    let discovery = ScriptedDiscovery::start(&[PollAnswer::List(NO_CHANGES.into())]);
    let addr = late.local_addr().unwrap();
    let (_node, _client) = node_with_connecting_attempt("deadline", addr, &discovery, false);
    let placed_before = Instant::now();
    std::thread::sleep(Duration::from_millis(600));
    drop(queued);
    let waited_s = placed_before.elapsed().as_secs_f64();
    let head = accept_head(&late);
    let deadline = head
        .lines()
        .find_map(|line| line.strip_prefix("Req-Deadline: "))
        .unwrap();
    let deadline: f64 = deadline.parse().unwrap();
    assert!(
        deadline <= DEADLINE_S - waited_s + DEADLINE_SLACK_S,
        "told {deadline} s, {waited_s} s after the request"
    );
}

/// The head of the first request that comes on any connection.
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

/// The list becomes doubtful while the connection is established, and the replica begins to drain: nothing is sent to it.
#[test]
fn connection_established_after_the_list_became_doubtful_carries_no_request() {
    let (late, queued) = full_listener();
    let addr = late.local_addr().unwrap();
    let drain = changes(&[entry("s-0", addr, "draining")]);
    let discovery = ScriptedDiscovery::start(&[
        PollAnswer::List(NO_CHANGES.into()),
        PollAnswer::HeldHalf(drain),
    ]);
    let (_node, _client) = node_with_connecting_attempt("doubtful", addr, &discovery, true);
    discovery.release();
    wait_until("the poll after the half answer", || {
        discovery.poll_count() > 2
    });
    drop(queued);
    expect_no_request(&late);
}

/// The replica has another address now: the attempt goes there, and not to whatever listens at the old one.
#[test]
fn unsent_attempt_follows_its_replica_to_another_address() {
    let (late, queued) = full_listener();
    let addr = late.local_addr().unwrap();
    let moved = DrainableReplica::start();
    let discovery = ScriptedDiscovery::start(&[
        PollAnswer::List(NO_CHANGES.into()),
        PollAnswer::Held(changes(&[entry("s-0", moved.addr, "up")])),
    ]);
    let (_node, _client) = node_with_connecting_attempt("moved", addr, &discovery, false);
    discovery.release();
    wait_until("the request at the new address", || {
        moved.requests() == [REQUEST_ID]
    });
    drop(queued);
    expect_no_bytes(&late);
}

/// Guards against a request that goes to a replica long after it began draining, since its connection was established late.
#[test]
fn connection_established_after_its_replica_began_draining_carries_no_request() {
    let (late, queued) = full_listener();
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let replica = StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap();
    let addr = late.local_addr().unwrap();
    let service = discovery.local_addr().unwrap().to_string();
    let node = Node::builder("late")
        .replicas(&[addr])
        .semantics("unsafe")
        .discovery(&service)
        .start();
    let mut poll = accept_request(&discovery);
    // The list of the start is confirmed, so that the request goes out.
    answer_poll(&mut poll, NO_CHANGES);
    let (id, mut client) = send_request(&node, "late", 3);
    wait_until("the connection", || is_connecting_to(addr.port()));
    let list = [
        entry("s-0", addr, "draining"),
        entry("s-9", replica.addrs()[0], "up"),
    ]
    .join(",");
    let body = format!(r#"{{"version":42,"full":false,"servers":[{list}]}}"#);
    answer_poll(&mut poll, &body);
    node.until_logged("Draining");
    // From now on the connection can be established, with the kernel's next try.
    drop(queued);
    let response = std::thread::spawn(move || read_response(id, "late", 3, &mut client));
    expect_no_bytes(&late);
    // The request has never run there, so the remaining replica gets it, also where it may not be repeated.
    assert_eq!(response.join().unwrap().outcome, ClientOutcome::Completed);
    assert_eq!(replica.served_requests().len(), 1);
}
