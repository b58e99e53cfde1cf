//! Guards against a client that waits on a stream whose replica sends bytes but no more events: a chunk size or a trailer that never
//! ends, comments, an event that is never complete. The node must end such a stream before its client gives up, and must not end
//! one whose events come slowly.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use support::{accept_request, format_request, read_some, send_request, Node};

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
const END_OF_STREAM: &str = "data: [DONE]\n\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// A client gives a stream up this long after the last event, by the rules of the platform.
const CLIENT_PATIENCE: Duration = Duration::from_secs(5);
/// How long a test replica sends without an event; longer than any client waits.
const ENDLESS: Duration = Duration::from_secs(8);
/// A node that stands still for this long does not end the streams whose events came meanwhile.
const SUSPENSION: Duration = Duration::from_secs(6);

/// A final answer may come this much later than its time, by the rules of the platform.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// What happens to the node while the stream is under way.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Plain,
    /// The node may continue streams, but not those of the request's class.
    Recoverable,
    /// SIGTERM after the first event.
    Shutdown,
    /// SIGSTOP after the first event, and SIGCONT after [`SUSPENSION`].
    Suspended,
}

/// What a replica sends after its first event.
struct Stream {
    name: &'static str,
    /// Bytes, each after a pause.
    pieces: Vec<(Duration, String)>,
    /// Repeated with this pause until the node closes the connection; `None` if the stream ends after the pieces.
    endless: Option<(Duration, String)>,
    /// Whether the pieces hold the event that ends a stream.
    has_end: bool,
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A stream that has no event after the first one.
fn endless(name: &'static str, first: &str, repeated: &str, pause_ms: u64) -> Stream {
    Stream {
        name,
        pieces: vec![(Duration::ZERO, first.to_string())],
        endless: Some((millis(pause_ms), repeated.to_string())),
        has_end: first.contains(END_OF_STREAM),
    }
}

/// Streams whose replica sends no event after the first one.
fn eventless_streams() -> Vec<Stream> {
    let comments = chunk(": ping\n\n").repeat(200);
    let trailers = "X-A: b\r\n".repeat(200);
    let done = format!("{}0\r\n", chunk(END_OF_STREAM));
    vec![
        endless("silence", "", "", 1000),
        endless("chunk of gigabytes with events", "80000000\r\n", EVENT, 100),
        endless("size line", "", "0", 100),
        endless("slow size line", "", "0", 1000),
        endless("extension of a size line", "5;", "x", 100),
        endless("trailer", "0\r\n", "X-A: b\r\n", 100),
        endless("line of a trailer", "0\r\n", "x", 100),
        endless("flood of trailers", "0\r\n", &trailers, 1),
        endless("comments", "", &chunk(": ping\n\n"), 100),
        endless("slow comments", "", &chunk(": ping\n\n"), 2000),
        endless("comments of one block", "", &chunk(": ping\n"), 100),
        endless("flood of comments", "", &comments, 1),
        endless("empty lines", "", &chunk("\n"), 100),
        endless("one line of data", "", &chunk("x"), 100),
        endless("lines of data of one event", "", &chunk("data: x\n"), 100),
        endless("events without data", "", &chunk("id: 1\n\n"), 100),
        endless("events with empty data", "", &chunk("data:\n\n"), 100),
        endless(
            "lines that are no fields",
            "",
            &chunk("Bad Gateway\n\n"),
            100,
        ),
        endless("trailer after the end", &done, "X-A: b\r\n", 100),
        endless(
            "comments after the end",
            &chunk(END_OF_STREAM),
            &chunk(": ping\n\n"),
            100,
        ),
        endless(
            "events after the end",
            &chunk(END_OF_STREAM),
            &chunk(EVENT),
            100,
        ),
    ]
}

/// Streams whose events come slowly, but in time for a client.
fn slow_streams() -> Vec<Stream> {
    let rest = || {
        (
            Duration::ZERO,
            format!("{}{LAST_CHUNK}", chunk(END_OF_STREAM)),
        )
    };
    let with_end = |name, mut pieces: Vec<(Duration, String)>| {
        pieces.push(rest());
        Stream {
            name,
            pieces,
            endless: None,
            has_end: true,
        }
    };
    let event_with_comments = || {
        let comments = (0..7).map(|_| (millis(500), chunk(": ping\n\n")));
        comments.chain([(millis(500), chunk(EVENT))])
    };
    let dribbled = chunk("data: 1\n\n");
    let dribble = dribbled
        .chars()
        .map(|byte| (millis(250), byte.to_string()))
        .collect();
    let mut size_line = vec![(Duration::ZERO, "9;".to_string())];
    size_line.extend((0..35).map(|_| (millis(100), "x".to_string())));
    size_line.push((Duration::ZERO, format!("\r\n{}\r\n", "data: 1\n\n")));
    vec![
        with_end(
            "an event every 2.5 s",
            vec![(millis(2500), chunk(EVENT)); 3],
        ),
        with_end(
            "comments between events",
            event_with_comments().chain(event_with_comments()).collect(),
        ),
        with_end("event byte by byte", dribble),
        with_end("long size line", size_line),
        Stream {
            name: "trailer",
            pieces: vec![
                rest_without_last_chunk(),
                (millis(500), "0\r\n".into()),
                (millis(500), "X-A: b\r\n".into()),
                (millis(500), "\r\n".into()),
            ],
            endless: None,
            has_end: true,
        },
    ]
}

fn rest_without_last_chunk() -> (Duration, String) {
    (Duration::ZERO, chunk(END_OF_STREAM))
}

/// Sends the rest of a stream. Stops when the node has closed the connection.
fn write_stream(mut replica: TcpStream, stream: &Stream) {
    for (pause, piece) in &stream.pieces {
        std::thread::sleep(*pause);
        if replica.write_all(piece.as_bytes()).is_err() {
            return;
        }
    }
    let Some((pause, piece)) = &stream.endless else {
        return;
    };
    let started_at = Instant::now();
    while started_at.elapsed() < ENDLESS {
        std::thread::sleep(*pause);
        if replica.write_all(piece.as_bytes()).is_err() {
            return;
        }
    }
}

/// How a client's stream ended, and how long after the first event.
struct ClientEnd {
    has_last_chunk: bool,
    after: Duration,
}

/// Reads until the stream or the connection ends; `None` if it is still open after [`ENDLESS`].
fn read_end(client: &mut TcpStream, since: Instant) -> Option<ClientEnd> {
    let mut tail = Vec::new();
    let mut buffer = [0; 65_536];
    client.set_read_timeout(Some(ENDLESS)).unwrap();
    loop {
        let length = client.read(&mut buffer).ok()?;
        tail.extend_from_slice(&buffer[..length]);
        let has_last_chunk = tail.ends_with(format!("\r\n{LAST_CHUNK}").as_bytes());
        if length == 0 || has_last_chunk {
            let after = since.elapsed();
            return Some(ClientEnd {
                has_last_chunk,
                after,
            });
        }
        if since.elapsed() > ENDLESS && tail.len() > buffer.len() {
            return None;
        }
        tail.drain(..tail.len().saturating_sub(LAST_CHUNK.len() + 2));
    }
}

/// Forwards one stream and returns how it ended at the client.
fn play(stream: Stream, mode: Mode, number: usize) -> Option<ClientEnd> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut builder = Node::builder(&format!("eventless-{mode:?}-{number}"))
        .replicas(&[listener.local_addr().unwrap()]);
    if mode == Mode::Recoverable {
        let operator = "[streams]\ncontinue = true\n";
        builder = builder.operator(operator).semantics("unsafe");
    }
    let node = builder.start();
    let mut client = node.connect();
    let request = format_request("00000000000000e1", "Connection: close\r\n", "", 10.0);
    client.write_all(request.as_bytes()).unwrap();
    let mut replica = accept_request(&listener);
    replica.set_nodelay(true).unwrap();
    let first_event_at = Instant::now();
    replica.write_all(HEAD.as_bytes()).unwrap();
    replica.write_all(chunk(EVENT).as_bytes()).unwrap();
    assert!(read_some(&mut client, &mut [0; 4096]).unwrap() > 0);
    match mode {
        Mode::Plain | Mode::Recoverable => {}
        Mode::Shutdown => node.signal("-TERM"),
        Mode::Suspended => node.signal("-STOP"),
    }
    let writer = std::thread::spawn(move || write_stream(replica, &stream));
    if mode == Mode::Suspended {
        std::thread::sleep(SUSPENSION);
        node.signal("-CONT");
    }
    let end = read_end(&mut client, first_event_at);
    drop(client);
    writer.join().unwrap();
    end
}

/// How a client's stream must end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// With the last chunk, whenever that is.
    Whole,
    /// Before the client gives up, without the last chunk.
    GivenUp,
    /// Before the client gives up. The node may write the last chunk, since only that is missing.
    Ended,
}

/// A stream to be played.
struct Case {
    stream: Stream,
    mode: Mode,
    expected: Expected,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for mode in [Mode::Plain, Mode::Recoverable, Mode::Shutdown] {
        cases.extend(eventless_streams().into_iter().map(|stream| Case {
            expected: if stream.has_end && mode == Mode::Recoverable {
                Expected::Ended
            } else {
                Expected::GivenUp
            },
            stream,
            mode,
        }));
    }
    for mode in [
        Mode::Plain,
        Mode::Recoverable,
        Mode::Shutdown,
        Mode::Suspended,
    ] {
        cases.extend(slow_streams().into_iter().map(|stream| Case {
            stream,
            mode,
            expected: Expected::Whole,
        }));
    }
    cases
}

/// What is wrong with the end of a case's stream; `None` if nothing is.
fn fault(expected: Expected, end: Option<&ClientEnd>) -> Option<String> {
    let Some(end) = end else {
        return Some("left open".to_string());
    };
    let is_late = end.after >= CLIENT_PATIENCE;
    match expected {
        Expected::Whole if end.has_last_chunk => None,
        Expected::Whole => Some(format!("cut off after {:?}", end.after)),
        Expected::GivenUp if end.has_last_chunk => Some("ended as a whole one".to_string()),
        Expected::GivenUp | Expected::Ended => {
            is_late.then(|| format!("ended after {:?}", end.after))
        }
    }
}

/// A client is not left waiting on a stream without events, and a stream whose events come is not cut off.
#[test]
fn stream_is_given_up_when_its_events_stop_and_not_before() {
    let (faults, found) = mpsc::channel();
    std::thread::scope(|scope| {
        for (number, case) in cases().into_iter().enumerate() {
            let faults = faults.clone();
            scope.spawn(move || {
                let Case {
                    stream,
                    mode,
                    expected,
                } = case;
                let name = stream.name;
                let end = play(stream, mode, number);
                if let Some(fault) = fault(expected, end.as_ref()) {
                    faults.send(format!("{mode:?}, {name}: {fault}")).unwrap();
                }
            });
        }
    });
    drop(faults);
    let found: Vec<String> = found.into_iter().collect();
    assert!(found.is_empty(), "{found:#?}");
}

/// Before the first event the request's deadline binds, whatever bytes come.
#[test]
fn final_answer_is_in_time_while_a_replica_sends_bytes_but_no_event() {
    let deadline = Duration::from_secs(1);
    std::thread::scope(|scope| {
        let mut streams = eventless_streams();
        streams.retain(|stream| !stream.has_end);
        for (number, stream) in streams.into_iter().enumerate() {
            scope.spawn(move || {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let node = Node::builder(&format!("no-event-{number}"))
                    .replicas(&[listener.local_addr().unwrap()])
                    .semantics("unsafe")
                    .start();
                let mut client = node.connect();
                let request = format_request("00000000000000e2", "", "", deadline.as_secs_f64());
                let sent_at = Instant::now();
                client.write_all(request.as_bytes()).unwrap();
                let mut replica = accept_request(&listener);
                replica.write_all(HEAD.as_bytes()).unwrap();
                let name = stream.name;
                let writer = std::thread::spawn(move || write_stream(replica, &stream));
                let mut answer = [0; 256];
                let length = read_some(&mut client, &mut answer).unwrap();
                let after = sent_at.elapsed();
                let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
                writer.join().unwrap();
                assert!(
                    after <= deadline + ANSWER_SLACK,
                    "{name}: answered after {after:?}"
                );
                assert!(answer.starts_with("HTTP/1.1 50"), "{name}: {answer}");
            });
        }
    });
}

/// A continuation that does not begin: the client gets an error event and the end before it gives up.
#[test]
fn continuation_fails_before_the_client_gives_up() {
    let comment = chunk(": ping\n\n");
    std::thread::scope(|scope| {
        for (number, bytes) in ["", "0", &comment].into_iter().enumerate() {
            let stream = endless("continuation", "", bytes, 100);
            scope.spawn(move || {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let node = Node::builder(&format!("no-continuation-{number}"))
                    .replicas(&[listener.local_addr().unwrap()])
                    .operator("[streams]\ncontinue = true\n")
                    .start();
                let (_, mut client) = send_request(&node, "continued", 9);
                let mut interrupted = accept_request(&listener);
                interrupted.write_all(HEAD.as_bytes()).unwrap();
                let last_event_at = Instant::now();
                interrupted.write_all(chunk(EVENT).as_bytes()).unwrap();
                let mut continuation = accept_request(&listener);
                continuation.write_all(HEAD.as_bytes()).unwrap();
                let writer = std::thread::spawn(move || write_stream(continuation, &stream));
                let mut text = String::new();
                client.read_to_string(&mut text).unwrap();
                let after = last_event_at.elapsed();
                drop(node);
                writer.join().unwrap();
                assert!(text.contains("stream_broken"), "{text}");
                assert!(after < CLIENT_PATIENCE, "ended after {after:?}: {text}");
            });
        }
    });
}
