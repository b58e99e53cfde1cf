//! Clients that send requests to a node and read the responses.

use super::Node;
use poppykeel_stub_model_server::{ClientObservation, ClientOutcome};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};

/// Time that clients wait for the first token by default, in seconds.
const DEFAULT_DEADLINE_S: f64 = 10.0;
const STATUS_OK: u16 = 200;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Formats a request whose client waits `deadline_s` seconds for the first token. `headers` holds further header lines, each
/// with its CRLF.
pub fn format_request(id: &str, headers: &str, body: &str, deadline_s: f64) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: chat\r\nReq-Deadline: {deadline_s}\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Reads available bytes. Repeats a read that a signal interrupts: the kernel does not restart reads with a timeout.
pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Sends a request and returns its id and its connection.
pub fn send_request(node: &Node, prompt: &str, max_tokens: usize) -> (String, TcpStream) {
    send_request_within(node, prompt, max_tokens, DEFAULT_DEADLINE_S)
}

/// Like [`send_request`], with a deadline of `deadline_s` seconds for the first token.
pub fn send_request_within(
    node: &Node,
    prompt: &str,
    max_tokens: usize,
    deadline_s: f64,
) -> (String, TcpStream) {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let mut stream = node.connect();
    let body = serde_json::json!({
        "model": "chat", "stream": true, "max_tokens": max_tokens, "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string();
    let request = format_request(&id, "Connection: close\r\n", &body, deadline_s);
    stream.write_all(request.as_bytes()).unwrap();
    (id, stream)
}

/// Reads from the connection until it ends, and evaluates the response to the request with this id.
pub fn read_response(
    id: String,
    prompt: &str,
    max_tokens: usize,
    stream: &mut TcpStream,
) -> ClientObservation {
    let mut bytes = Vec::new();
    let has_ended_cleanly = stream.read_to_end(&mut bytes).is_ok();
    let (outcome, body) = parse_response(&bytes, has_ended_cleanly);
    ClientObservation {
        id,
        prompt: prompt.to_string(),
        expected_token_count: max_tokens,
        wants_usage: true,
        outcome,
        body,
    }
}

/// Determines the outcome of a response and removes the chunk framing from its body.
fn parse_response(bytes: &[u8], has_ended_cleanly: bool) -> (ClientOutcome, Vec<u8>) {
    let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return (ClientOutcome::NoResponse, Vec::new());
    };
    let status = String::from_utf8_lossy(&bytes[9..12]).parse().unwrap_or(0);
    if status != STATUS_OK {
        return (ClientOutcome::Rejected(status), Vec::new());
    }
    let ChunkedBody {
        body,
        has_last_chunk,
    } = parse_chunks(&bytes[head_end + 4..]);
    let has_error_event = String::from_utf8_lossy(&body).contains("data: {\"error\"");
    let outcome = match (has_last_chunk, has_error_event, has_ended_cleanly) {
        (true, _, _) => ClientOutcome::Completed,
        (false, true, true) => ClientOutcome::FailedWithError,
        (false, false, true) => ClientOutcome::Truncated,
        (false, _, false) => ClientOutcome::NoResponse,
    };
    (outcome, body)
}

struct ChunkedBody {
    body: Vec<u8>,
    has_last_chunk: bool,
}

/// Removes the chunk framing. Stops after the last chunk or before an incomplete chunk.
fn parse_chunks(mut unread: &[u8]) -> ChunkedBody {
    let mut body = Vec::new();
    while let Some(size_end) = unread.windows(2).position(|window| window == b"\r\n") {
        let size = String::from_utf8_lossy(&unread[..size_end]);
        let size = usize::from_str_radix(&size, 16).unwrap();
        if size == 0 {
            return ChunkedBody {
                body,
                has_last_chunk: true,
            };
        }
        let chunk_start = size_end + 2;
        let Some(chunk) = unread.get(chunk_start..chunk_start + size) else {
            break;
        };
        body.extend_from_slice(chunk);
        unread = unread.get(chunk_start + size + 2..).unwrap_or_default();
    }
    ChunkedBody {
        body,
        has_last_chunk: false,
    }
}

/// Sends `request_count` requests from `thread_count` threads, each of which waits for a response before its next request.
/// `prompt` returns the prompt of the request with this number; the first number is 0.
pub fn run_clients(
    node: &Node,
    thread_count: usize,
    request_count: usize,
    max_tokens: usize,
    prompt: impl Fn(usize) -> String + Sync,
) -> Vec<ClientObservation> {
    let next = AtomicU64::new(0);
    let send_requests = || {
        let mut observations = Vec::new();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed) as usize;
            if number >= request_count {
                return observations;
            }
            let prompt = prompt(number);
            let (id, mut stream) = send_request(node, &prompt, max_tokens);
            observations.push(read_response(id, &prompt, max_tokens, &mut stream));
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..thread_count)
            .map(|_| scope.spawn(send_requests))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    })
}
