//! Guards against a replica that ends the whole node: an event of a continued stream whose JSON is not an object caused a panic,
//! and all streams of all clients broke.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use support::{accept_request, read_some, send_request, Node};

/// Operator settings with which streams are continued.
const CONTINUE_STREAMS: &str =
    "[streams]\ncontinue = true\nshare = 1.0\nreplica_share = 1.0\nfree = 100\n";
const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
const END_OF_STREAM: &str = "data: [DONE]\n\n";
const MAX_TOKENS: usize = 9;

fn write_chunk(stream: &mut TcpStream, text: &str) {
    let length = text.len();
    stream
        .write_all(format!("{length:x}\r\n{text}\r\n").as_bytes())
        .unwrap();
}

fn text_event(text: &str) -> String {
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    )
}

/// Accepts a request and starts its stream.
fn begin_stream(replica: &TcpListener) -> TcpStream {
    let mut stream = accept_request(replica);
    stream.write_all(HEAD.as_bytes()).unwrap();
    write_chunk(&mut stream, &text_event("first "));
    stream
}

fn finish_stream(stream: &mut TcpStream) {
    write_chunk(stream, &text_event("last"));
    write_chunk(stream, END_OF_STREAM);
    stream.write_all(LAST_CHUNK.as_bytes()).unwrap();
}

/// Reads a response until its stream ends or its connection closes.
fn read_stream(client: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = read_some(client, &mut buffer) {
        response.extend_from_slice(&buffer[..length]);
        if response.ends_with(LAST_CHUNK.as_bytes()) {
            break;
        }
    }
    String::from_utf8(response).unwrap()
}

#[test]
fn foreign_event_in_a_continued_stream_harms_no_other_stream() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = Node::builder("foreign-event")
        .replicas(&[replica.local_addr().unwrap()])
        .operator(CONTINUE_STREAMS)
        .start();
    let (_, mut other_client) = send_request(&node, "other", MAX_TOKENS);
    let mut other_stream = begin_stream(&replica);
    let (_, mut client) = send_request(&node, "interrupted", MAX_TOKENS);
    drop(begin_stream(&replica));
    let mut continuation = accept_request(&replica);
    continuation.write_all(HEAD.as_bytes()).unwrap();
    // The event comes in two pieces.
    write_chunk(&mut continuation, "data: 84");
    write_chunk(&mut continuation, "13\n\n");
    finish_stream(&mut continuation);
    let response = read_stream(&mut client);
    assert!(response.contains("[DONE]"), "{response}");
    finish_stream(&mut other_stream);
    let response = read_stream(&mut other_client);
    assert!(response.contains("[DONE]"), "{response}");
    assert!(node.child.try_wait().unwrap().is_none(), "the node ended");
}
