//! Guards against half an answer that ends as a whole one: a model server ends its response in good form, with the last chunk or
//! the length it has stated, but without the event `data: [DONE]` that ends a stream. The client took it for a complete answer.
//!
//! Each response ends in one way, over a node that forwards streams unchanged and over one that may continue them. The client
//! must get the last chunk exactly if the stream is whole, and the counters must say the same.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::ClientOutcome;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use support::http_head::{header, read_head};
use support::{format_request, read_response, Node, TEST_TIMEOUT};

const CHUNKED: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
const TEXT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
const USAGE_WITH_TEXT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}],\
     \"usage\":{\"prompt_tokens\":5,\"completion_tokens\":1}}\n\n";
const FINISH: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const USAGE: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":1}}\n\n";
const DONE: &str = "data: [DONE]\n\n";
const ERROR: &str = "data: {\"error\":{\"message\":\"out of memory\",\"code\":500}}\n\n";
const LOAD_REPORT: &str = ": Srv-Load: {\"x1\":0.25}\n\n";

/// How a replica ends its only response.
struct Ending {
    name: &'static str,
    /// The bytes after the status line, in the pieces in which they are sent.
    pieces: Vec<String>,
    is_whole: bool,
}

/// One chunk.
fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// A chunked response with one chunk for each of these parts, and the last chunk.
fn chunked(parts: &[&str]) -> String {
    let chunks: String = parts.iter().map(|part| chunk(part)).collect();
    format!("{CHUNKED}\r\n{chunks}{LAST_CHUNK}")
}

fn ending(name: &'static str, is_whole: bool, response: String) -> Ending {
    Ending {
        name,
        pieces: vec![response],
        is_whole,
    }
}

fn whole_endings() -> Vec<Ending> {
    let body = [TEXT, FINISH, USAGE, DONE].concat();
    let length = body.len();
    let whole = |name, parts: &[&str]| ending(name, true, chunked(parts));
    let carriage_returns = body.replace('\n', "\r");
    let both = body.replace('\n', "\r\n");
    let two_choices = TEXT.replace("\"index\":0", "\"index\":1");
    let split = chunked(&[TEXT, "data: [DO", "NE]\n\n"]);
    let (first, second) = split.split_at(split.find("NE]").unwrap());
    vec![
        whole("usage and end", &[TEXT, FINISH, USAGE, DONE]),
        whole("no usage", &[TEXT, FINISH, DONE]),
        whole("two choices", &[TEXT, &two_choices, DONE]),
        whole("load report before the end", &[TEXT, LOAD_REPORT, DONE]),
        whole("load report after the end", &[TEXT, DONE, LOAD_REPORT]),
        whole("lines that end with CRLF", &[&both]),
        whole("lines that end with CR", &[&carriage_returns]),
        whole("no empty line after the end", &[TEXT, "data: [DONE]"]),
        whole("no space before the end", &[TEXT, "data:[DONE]\n\n"]),
        whole("text after the end", &[TEXT, DONE, TEXT]),
        Ending {
            name: "end in two chunks and two reads",
            pieces: vec![first.into(), second.into()],
            is_whole: true,
        },
        ending(
            "stated length",
            true,
            format!("Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n{body}"),
        ),
        ending("no framing", true, format!("\r\n{body}")),
        ending(
            "no event stream",
            true,
            "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}".into(),
        ),
    ]
}

fn incomplete_endings() -> Vec<Ending> {
    let broken = |name, parts: &[&str]| ending(name, false, chunked(parts));
    let three = TEXT.repeat(3);
    let length = three.len();
    vec![
        broken("one event", &[TEXT]),
        broken("three events", &[TEXT, TEXT, TEXT]),
        broken("a load report", &[TEXT, LOAD_REPORT]),
        broken("within an event", &[TEXT, "data: {\"choices\":[{\"ind"]),
        broken("bytes that are no event", &[TEXT, "Bad Gateway\n"]),
        broken("an error", &[TEXT, ERROR]),
        broken("an error and the end", &[TEXT, ERROR, DONE]),
        broken(
            "an event of type error",
            &[TEXT, "event: error\ndata: {}\n\n", DONE],
        ),
        broken(
            "text that names the end",
            &[TEXT, "data: x\ndata: [DONE]\n\n"],
        ),
        broken(
            "a comment that names the end",
            &[TEXT, ": data: [DONE]\n\n"],
        ),
        broken("usage in each chunk", &[USAGE_WITH_TEXT, USAGE_WITH_TEXT]),
        broken("part of the end", &[TEXT, "data: [DON"]),
        ending(
            "stated length after three events",
            false,
            format!("Content-Type: Text/Event-Stream\r\nContent-Length: {length}\r\n\r\n{three}"),
        ),
        ending("no framing, after an event", false, format!("\r\n{TEXT}")),
        ending(
            "no framing, within an event",
            false,
            format!("\r\n{TEXT}data: {{"),
        ),
        ending(
            "the end, without the last chunk",
            false,
            format!("{CHUNKED}\r\n{}{}", chunk(TEXT), chunk(DONE)),
        ),
    ]
}

/// Endings after the whole text: a node that may continue streams writes the missing end itself.
fn endings_after_the_text() -> Vec<Ending> {
    let broken = |name, parts: &[&str]| ending(name, false, chunked(parts));
    vec![
        broken("finish reason", &[TEXT, FINISH]),
        broken("usage", &[TEXT, FINISH, USAGE]),
    ]
}

/// A replica that answers each request with the response that the test has set.
#[derive(Clone, Default)]
struct Replica {
    pieces: Arc<Mutex<Vec<String>>>,
}

impl Replica {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let replica = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = replica.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        addr
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let Some(head) = read_head(&mut stream) else {
            return;
        };
        // A close with unread bytes would be a reset.
        let length = header(&head, "Content-Length").map_or(0, |length| length.parse().unwrap());
        stream.read_exact(&mut vec![0; length]).unwrap();
        let pieces = self.pieces.lock().unwrap().clone();
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n");
        for piece in pieces {
            // The node may have closed the connection.
            let _ = stream.write_all(piece.as_bytes());
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
    }
}

/// Sends a request and returns how its response ended.
fn outcome_at(node: &Node, number: usize) -> ClientOutcome {
    let id = format!("{number:016x}");
    let mut client = node.connect();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    // Without `stream`, a stream that is interrupted in its text can't be continued.
    let request = format_request(&id, "Connection: close\r\n", "{\"model\":\"chat\"}", 5.0);
    client.write_all(request.as_bytes()).unwrap();
    read_response(id, "", 0, &mut client).outcome
}

/// Whether each client got the last chunk exactly if the stream was whole.
fn check_endings(test: &str, operator: &str, endings: &[Ending]) {
    let replica = Replica::default();
    let mut wrong = Vec::new();
    for (number, ending) in endings.iter().enumerate() {
        *replica.pieces.lock().unwrap() = ending.pieces.clone();
        // A node of its own: a replica whose streams break is ejected.
        let node = Node::builder(&format!("{test}-{number}"))
            .replicas(&[replica.start()])
            .semantics("unsafe")
            .operator(operator)
            .start();
        let outcome = outcome_at(&node, number);
        if (outcome == ClientOutcome::Completed) != ending.is_whole {
            wrong.push(format!("{}: {outcome:?}", ending.name));
        }
        node.signal("-TERM");
        let counts = if ending.is_whole {
            "\"whole\":1"
        } else {
            "\"whole\":0"
        };
        node.wait_for_log("shutdown done");
        let log = node.log.lock().unwrap();
        let streams = log
            .iter()
            .rev()
            .find(|line| line.contains("\"message\":\"streams\""));
        if !streams.is_some_and(|line| line.contains(counts)) {
            wrong.push(format!("{}: counted as {streams:?}", ending.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Settings with which streams may be continued.
const CONTINUE: &str = "[streams]\ncontinue = true\n";

/// Half an answer that a replica ends in good form does not end as a whole one.
#[test]
fn client_gets_no_last_chunk_if_the_stream_is_incomplete() {
    check_endings("incomplete", "", &incomplete_endings());
    check_endings("text", "", &endings_after_the_text());
}

/// The same where streams may be continued: what is whole does not depend on what the transcript can interpret.
#[test]
fn client_gets_no_last_chunk_if_an_incomplete_stream_is_not_continued() {
    // The node completes a stream of which only the last chunk is missing.
    let mut endings = incomplete_endings();
    endings.retain(|ending| ending.name != "the end, without the last chunk");
    check_endings("incomplete-continue", CONTINUE, &endings);
}

/// A stream of any form that ends as the protocol says is forwarded to its last chunk.
#[test]
fn client_gets_the_last_chunk_if_the_stream_is_whole() {
    check_endings("whole", "", &whole_endings());
    check_endings("whole-continue", CONTINUE, &whole_endings());
}
