//! Reads the heads of HTTP requests for stub servers.

use std::io::Read;
use std::net::TcpStream;

/// Reads one request head up to its empty line; `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// The value of a header field; `name` is case-sensitive. `None` if the head has no such field.
pub fn header(head: &str, name: &str) -> Option<String> {
    let line = head.lines().find(|line| line.starts_with(name))?;
    line.split_once(": ").map(|(_, value)| value.to_string())
}
