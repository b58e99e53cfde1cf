//! One call at a node's operators' address.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A node answers its operators within a second, or not at all.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Why a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum AdminCallError {
    /// The node can't be reached, or the connection broke.
    #[error("admin {admin}: {source}")]
    Connection {
        admin: SocketAddr,
        source: io::Error,
    },
    /// The node closed the connection without an answer.
    #[error("admin {admin}: no answer")]
    NoAnswer { admin: SocketAddr },
    /// The node answered with another status than 200.
    #[error("admin {admin}: {status} {body}")]
    Status {
        admin: SocketAddr,
        status: String,
        body: String,
    },
    /// The answer is not the JSON that is expected.
    #[error("{admin}: {source}")]
    Json {
        admin: SocketAddr,
        source: serde_json::Error,
    },
}

/// Makes one call; `request` is its method and path. The body of the answer.
pub(super) fn call(admin: SocketAddr, request: &str) -> Result<String, AdminCallError> {
    let answer =
        exchange(admin, request).map_err(|source| AdminCallError::Connection { admin, source })?;
    let (head, body) = answer
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

/// Sends a request and reads the answer to the connection's end.
fn exchange(admin: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&admin, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "{request} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: 0\r\n\r\n"
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
