//! Guards against messages without an end: framing that goes on forever, and event streams with bytes but no event. The parsers
//! must refuse them after a bounded number of bytes, in pieces of any size.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use bytes::{Bytes, BytesMut};
use poppykeel::protocol::http::{HttpCodec, MessagePart, Role};
use poppykeel::protocol::response::{ResponseReader, ResponseStep};
use poppykeel_scheduler::AttemptOutcome;
use poppykeel_site_settings::SiteSettings;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio_util::codec::Decoder;

const CONFIG: &str = include_str!("exchanges/config.json");
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// More than the longest head, trailer or line.
const MAX_FRAMING_BYTES: usize = 32 * 1024;
/// What the answer of an admin address has that sends it byte by byte: far more than arrives within the time of a call.
const MAX_ANSWER_BYTES: usize = 150;
/// The longest event that a node accepts.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Whether a client's decoder refuses a response that begins with `first` and goes on with `repeated`.
fn is_refused(first: &str, repeated: &str, piece_bytes: usize) -> bool {
    let message = first.to_string() + &repeated.repeat(2 * MAX_FRAMING_BYTES / repeated.len());
    let mut codec = HttpCodec::new(Role::Client);
    let mut buffer = BytesMut::new();
    for piece in message.as_bytes()[..MAX_FRAMING_BYTES].chunks(piece_bytes) {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return true,
            }
        }
    }
    false
}

/// A response whose head, chunk size, extension or trailer never ends.
#[test]
fn decoder_refuses_framing_that_never_ends() {
    let last_chunk = format!("{HEAD}0\r\n");
    let extension = format!("{HEAD}5;");
    for (first, repeated) in [
        ("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
        ("HTTP/1.1 200 OK\r\nX: ", "y"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        (HEAD, "0"),
        (&extension, "x"),
        (&last_chunk, "X: y\r\n"),
        (&last_chunk, "y"),
        (&last_chunk, "y\n"),
    ] {
        for piece_bytes in [1, 7, 4096, MAX_FRAMING_BYTES] {
            assert!(
                is_refused(first, repeated, piece_bytes),
                "{first:?}, then {repeated:?} in pieces of {piece_bytes}"
            );
        }
    }
}

/// A reader that has read the head of an event stream.
fn stream_reader() -> ResponseReader {
    let config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
    let settings = SiteSettings::parse(&config["settings"].to_string()).unwrap();
    let mut reader = ResponseReader::new(Rc::new(settings));
    let mut buffer = BytesMut::from(HEAD);
    let head = HttpCodec::new(Role::Client).decode(&mut buffer).unwrap();
    reader.feed(head.unwrap(), &mut Vec::new());
    reader
}

/// Feeds a body of event-stream bytes in pieces, and returns all steps.
fn feed(reader: &mut ResponseReader, body: &str, piece_bytes: usize) -> Vec<ResponseStep> {
    let mut steps = Vec::new();
    for piece in body.as_bytes().chunks(piece_bytes) {
        let piece = Bytes::copy_from_slice(piece);
        reader.feed(MessagePart::Body(piece), &mut steps);
    }
    steps
}

/// Bytes of an event stream that hold no event: no progress, no first token, and the stream is broken after a bounded number.
#[test]
fn bytes_without_an_event_are_no_progress_and_break_the_stream() {
    for filler in [
        ": ping\n\n",
        ": ping\n",
        "\n",
        "\r",
        "id: 1\n\n",
        "event: ping\n\n",
        "retry: 100\r\n\r\n",
        "data:\n\n",
        "data: \n\n",
        "data: x\n",
        "Bad Gateway\n\n",
        "x",
    ] {
        for (has_event, piece_bytes) in [(false, 5), (true, 1), (true, 4096)] {
            let mut reader = stream_reader();
            let event = if has_event { "data: 1\n\n" } else { "" };
            feed(&mut reader, event, 4);
            let progress = reader.progress();
            let body = filler.repeat(2 * MAX_EVENT_BYTES / filler.len());
            let steps = feed(&mut reader, &body, piece_bytes);
            let name =
                format!("{filler:?} in pieces of {piece_bytes}, after an event: {has_event}");
            assert_eq!(reader.progress(), progress, "{name}");
            assert_eq!(reader.has_started(), has_event, "{name}");
            let end = ResponseStep::Ended(AttemptOutcome::ConnectionReset, None);
            assert!(steps.contains(&end), "{name}");
        }
    }
}

/// What follows the event that ends a stream is no progress either.
#[test]
fn events_after_the_end_of_a_stream_are_no_progress() {
    let mut reader = stream_reader();
    feed(&mut reader, "data: 1\n\n: comment\n\ndata: [DONE]\n\n", 1);
    assert_eq!(reader.progress(), 2);
    feed(&mut reader, "data: 2\n\ndata: [DONE]\n\n", 1);
    assert_eq!(reader.progress(), 2);
}

/// `poppykeel fleet status` at an admin address that answers byte by byte ends within its time.
#[test]
fn admin_call_ends_although_its_answer_does_not() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let admin = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut sent_bytes = 0;
        while sent_bytes < MAX_ANSWER_BYTES && stream.write_all(b"x").is_ok() {
            sent_bytes += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        sent_bytes
    });
    let output = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .args(["fleet", "status", "--admin", &admin])
        .output()
        .unwrap();
    assert!(!output.status.success());
    let sent_bytes = server.join().unwrap();
    assert!(
        sent_bytes < MAX_ANSWER_BYTES,
        "the call read the whole answer"
    );
}
