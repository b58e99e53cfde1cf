//! Guards against work for a process that has gone: a replica's machine vanishes without a word, another process comes up at the
//! same address under the same name, and the list says when. The node took its idle connections for those of the new process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use support::{
    accept_request, endpoint_entry, format_request, Node, PollAnswer, ScriptedDiscovery,
};

const NO_CHANGES: &str = r#"{"version":41,"full":false,"servers":[]}"#;
const DEADLINE_S: f64 = 10.0;
const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                        17\r\ndata: 1\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";

fn send(node: &Node, id: u64) -> TcpStream {
    let mut client = node.connect();
    let request = format_request(
        &format!("{id:016x}"),
        "Connection: close\r\n",
        "",
        DEADLINE_S,
    );
    client.write_all(request.as_bytes()).unwrap();
    client
}

fn expect_answer(client: &mut TcpStream) {
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.ends_with("0\r\n\r\n"),
        "{text}"
    );
}

/// A list with another start of the replica `s-0` at this address.
fn restarted(addr: SocketAddr) -> String {
    let entry = endpoint_entry("s-0", addr, "up")
        .replace("\"started_ms\":0", "\"started_ms\":1700000000000");
    format!(r#"{{"version":42,"full":false,"servers":[{entry}]}}"#)
}

/// An idle connection to the old process must not carry a request once the list tells of the new one.
#[test]
fn request_does_not_go_to_the_connection_of_a_replica_that_was_replaced() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = replica.local_addr().unwrap();
    let discovery = ScriptedDiscovery::start(&[
        PollAnswer::List(NO_CHANGES.into()),
        PollAnswer::Held(restarted(addr)),
    ]);
    let node = Node::builder("replaced")
        .replicas(&[addr])
        .semantics("unsafe")
        .discovery(&discovery.addr.to_string())
        .start();
    node.wait_for_log("endpoint list confirmed");
    let mut first = send(&node, 1);
    // The old process: it answers once, and stays silent from then on without closing its connection.
    let mut old_process = accept_request(&replica);
    old_process.write_all(STREAM).unwrap();
    expect_answer(&mut first);
    discovery.release();
    node.wait_for_log("list changed");
    let mut second = send(&node, 2);
    // Fails if the request goes to the old process.
    accept_request(&replica).write_all(STREAM).unwrap();
    expect_answer(&mut second);
    drop(old_process);
}
