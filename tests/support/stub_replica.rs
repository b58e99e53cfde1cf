//! Helpers for a replica or discovery service whose bytes the test itself reads and writes.

use super::{wait_until, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Accepts the next connection, reads the head of its request, and returns the connection.
pub fn accept_request(replica: &TcpListener) -> TcpStream {
    replica.set_nonblocking(true).unwrap();
    let mut accepted = None;
    wait_until("a connection", || {
        accepted = replica.accept().ok();
        accepted.is_some()
    });
    let (mut stream, _) = accepted.unwrap();
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    stream
}

/// Answers a poll of the endpoint list with this body.
pub fn answer_poll(poll: &mut TcpStream, body: &str) {
    let length = body.len();
    write!(
        poll,
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .unwrap();
}
