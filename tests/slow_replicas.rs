//! Replicas that write long answers slowly, or read large requests slowly. Guards against an answer that is cut off while its
//! replica still writes it, and against a final answer that comes long after its time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::{accept_request, format_request, read_some, Node, NodeBuilder, TEST_TIMEOUT};

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &[u8] = b"9\r\ndata: 1\n\n\r\n";
const END_OF_STREAM: &[u8] = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
/// Time between two events of a slow answer.
const EVENT_GAP: Duration = Duration::from_secs(2);
const EVENT_COUNT: usize = 4;
/// The longest body.
const BODY_BYTES: usize = 256 * 1024;
const DEADLINE_S: f64 = 1.5;
/// The earliest SIGKILL after SIGTERM where the longest deadline is 3 s or more, by the rules of the platform.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);
/// A final answer may come this much later than its time, by the rules of the platform.
const ANSWER_SLACK_S: f64 = 0.5;

/// Starts a request whose stream has begun. Returns the client's connection and the replica's.
fn begin_stream(node: &Node, replica: &TcpListener) -> (TcpStream, TcpStream) {
    let mut client = node.connect();
    let request = format_request("00000000000000c1", "Connection: close\r\n", "", 10.0);
    client.write_all(request.as_bytes()).unwrap();
    let mut stream = accept_request(replica);
    stream.write_all(STREAM_HEAD).unwrap();
    stream.write_all(EVENT).unwrap();
    let mut first = [0; 4096];
    assert!(read_some(&mut client, &mut first).unwrap() > 0);
    (client, stream)
}

fn expect_whole_stream(mut client: TcpStream, is_suspended: bool) {
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(
        text.ends_with("0\r\n\r\n"),
        "the answer was cut off (suspended: {is_suspended}): {text}"
    );
}

/// Writes the rest of a stream, with `pause` before each piece.
fn write_slowly(mut stream: TcpStream, pieces: &[&[u8]], pause: Duration) {
    for piece in pieces {
        std::thread::sleep(pause);
        stream.write_all(piece).unwrap();
    }
}

/// The node shuts down, or stands still, while a replica writes an event every two seconds: the answer goes on to its end.
#[test]
fn slow_answer_is_whole_through_a_shutdown_and_a_suspension() {
    std::thread::scope(|scope| {
        for is_suspended in [false, true] {
            scope.spawn(move || {
                let replica = TcpListener::bind("127.0.0.1:0").unwrap();
                let node = Node::builder(&format!("slow-{is_suspended}"))
                    .replicas(&[replica.local_addr().unwrap()])
                    .start();
                let (client, stream) = begin_stream(&node, &replica);
                let mut pieces = vec![EVENT; EVENT_COUNT];
                pieces.push(END_OF_STREAM);
                if is_suspended {
                    node.signal("-STOP");
                } else {
                    node.signal("-TERM");
                }
                let writer = std::thread::spawn(move || write_slowly(stream, &pieces, EVENT_GAP));
                if is_suspended {
                    std::thread::sleep(2 * EVENT_GAP + EVENT_GAP / 2);
                    node.signal("-CONT");
                }
                expect_whole_stream(client, is_suspended);
                writer.join().unwrap();
            });
        }
    });
}

/// An event that comes byte by byte is no silence.
#[test]
fn event_that_comes_byte_by_byte_is_not_cut_off() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::builder("dribbled")
        .replicas(&[replica.local_addr().unwrap()])
        .operator("[streams]\nstall_least = 1.0\nstall_most = 1.0\n")
        .start();
    let (client, stream) = begin_stream(&node, &replica);
    let bytes: Vec<&[u8]> = EVENT.chunks(1).chain([END_OF_STREAM]).collect();
    // The event takes several times as long as a replica may be silent.
    write_slowly(stream, &bytes, Duration::from_millis(300));
    expect_whole_stream(client, false);
}

/// A replica that reads 20 KB a second, on each of its connections, until the test ends.
fn start_slow_reader() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let buffer_size = 16 * 1024;
    socket2::SockRef::from(&listener)
        .set_recv_buffer_size(buffer_size)
        .unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buffer = [0; 2048];
                while let Ok(1..) = stream.read(&mut buffer) {
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    addr
}

/// Replicas read a large request slowly: the final answer comes in time all the same, in each class and with hedged attempts.
#[test]
fn final_answer_is_in_time_while_replicas_read_a_large_request_slowly() {
    let builders: [NodeBuilder; 5] = [
        Node::builder("reader-safe"),
        Node::builder("reader-unsafe").semantics("unsafe"),
        Node::builder("reader-keyed").keyed(1.0),
        Node::builder("reader-hedged").allows_hedging(true),
        Node::builder("reader-keyed-hedged")
            .keyed(5.0)
            .allows_hedging(true),
    ];
    let addrs = [
        start_slow_reader(),
        start_slow_reader(),
        start_slow_reader(),
    ];
    std::thread::scope(|scope| {
        for builder in builders {
            scope.spawn(move || {
                let node = builder.replicas(&addrs).start();
                let mut client = node.connect();
                client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                let body = "x".repeat(BODY_BYTES);
                let request = format_request("00000000000000c2", "", &body, DEADLINE_S);
                let sent_at = Instant::now();
                client.write_all(request.as_bytes()).unwrap();
                let mut answer = [0; 256];
                let length = read_some(&mut client, &mut answer).unwrap();
                let waited_s = sent_at.elapsed().as_secs_f64();
                let answer = String::from_utf8_lossy(&answer[..length]);
                assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
                assert!(
                    waited_s <= DEADLINE_S + ANSWER_SLACK_S,
                    "answered after {waited_s} s: {answer}"
                );
            });
        }
    });
}

/// The same in a shutdown: a request whose deadline is far away gets its final answer before the earliest SIGKILL.
#[test]
fn final_answer_comes_in_a_shutdown_while_a_replica_reads_a_large_request_slowly() {
    std::thread::scope(|scope| {
        for semantics in ["safe", "unsafe"] {
            scope.spawn(move || {
                let node = Node::builder(&format!("reader-shutdown-{semantics}"))
                    .semantics(semantics)
                    .replicas(&[start_slow_reader()])
                    .start();
                let mut client = node.connect();
                client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                let body = "x".repeat(BODY_BYTES);
                let request = format_request("00000000000000c3", "", &body, 60.0);
                client.write_all(request.as_bytes()).unwrap();
                node.signal("-TERM");
                let stopped_at = Instant::now();
                let mut answer = [0; 256];
                let length = read_some(&mut client, &mut answer).unwrap();
                let after = stopped_at.elapsed();
                let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
                assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
                assert!(after < EARLIEST_KILL, "answered after {after:?}: {answer}");
            });
        }
    });
}
