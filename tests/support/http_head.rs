//! Reading of HTTP heads for stub servers.

use std::io::Read;
use std::net::TcpStream;

/// Reads a message without a body; `None` if the connection ends first.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// The value of a header field; `name` is case-sensitive.
pub fn header(head: &str, name: &str) -> Option<String> {
    let line = head.lines().find(|line| line.starts_with(name))?;
    line.split_once(": ").map(|(_, value)| value.to_string())
}
