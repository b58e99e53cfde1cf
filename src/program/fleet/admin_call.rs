//! An HTTP client for requests to the admin address of a node.

use crate::transport::socket::uninterrupted;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The time limit for connecting, and for sending the request and reading the whole response. A node either answers an admin
/// request within a second or does not answer at all.
const TIMEOUT: Duration = Duration::from_secs(3);
/// The number of bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// Why an admin request failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminCallError {
    /// The node can't be reached, or the connection broke.
    #[error("admin address {admin}: {source}")]
    Connection {
        admin: SocketAddr,
        source: io::Error,
    },
    /// The node closed the connection without a complete response head.
    #[error("admin address {admin}: connection closed without a response")]
    NoAnswer { admin: SocketAddr },
    /// The status of the response is not 200.
    #[error("admin address {admin}: expected status 200, got {status}: {body}")]
    Status {
        admin: SocketAddr,
        status: String,
        body: String,
    },
    /// The body of the response is not JSON.
    #[error("admin address {admin}: expected a JSON body ({source})")]
    Json {
        admin: SocketAddr,
        source: serde_json::Error,
    },
}

/// Sends one admin request and returns the body of the response. `request` is the method and the path.
pub(super) fn call(admin: SocketAddr, request: &str) -> Result<String, AdminCallError> {
    let response =
        exchange(admin, request).map_err(|source| AdminCallError::Connection { admin, source })?;
    let (head, body) = response
        .split_once("\r\n\r\n")
        .ok_or(AdminCallError::NoAnswer { admin })?;
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_string()),
        status => Err(AdminCallError::Status {
            admin,
            status: status.unwrap_or("no status").to_string(),
            body: body.to_string(),
        }),
    }
}

/// Sends a request and reads the response until the connection ends, within the time limit.
fn exchange(admin: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&admin, TIMEOUT)?;
    let deadline = Instant::now() + TIMEOUT;
    stream.set_write_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "{request} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: 0\r\n\r\n"
    )?;
    let mut response = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(remaining))?;
        match uninterrupted(|| stream.read(&mut buffer))? {
            0 => break,
            length => response.extend_from_slice(&buffer[..length]),
        }
    }
    String::from_utf8(response).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
