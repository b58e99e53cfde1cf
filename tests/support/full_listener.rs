//! A listener whose accept queue is full, so that the kernel delays further connections to it.

use super::read_some;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// An entry of the endpoint list, as JSON.
pub fn endpoint_entry(id: &str, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// Returns a listener whose accept queue is full, and the connections that fill the queue. Further connections stay in the
/// state `SYN_SENT` until the queue has space.
pub fn start_full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
        queued.push(stream);
        assert!(queued.len() < 16, "the accept queue does not fill up");
    }
    (listener, queued)
}

/// Whether a connection to this port is in the state `SYN_SENT`, which `/proc/net/tcp` shows as `02`.
pub fn is_connecting_to(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port_suffix = format!(":{port:04X}");
    table.lines().skip(1).any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields
            .next()
            .is_some_and(|remote| remote.ends_with(&port_suffix))
            && fields.next() == Some("02")
    })
}

/// Accepts connections for 4 s, and asserts that no bytes arrive on them.
pub fn expect_no_bytes(listener: &TcpListener) {
    expect_only(listener, |_| false);
}

/// Accepts connections for 4 s, and asserts that nothing but probes arrives on them.
pub fn expect_no_request(listener: &TcpListener) {
    expect_only(listener, |bytes| bytes.starts_with(b"GET "));
}

fn expect_only(listener: &TcpListener, is_allowed: impl Fn(&[u8]) -> bool) {
    listener.set_nonblocking(true).unwrap();
    let mut accepted = Vec::new();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).unwrap();
            accepted.push(stream);
        }
        for stream in &mut accepted {
            let mut bytes = [0; 4096];
            match read_some(stream, &mut bytes) {
                Ok(0) => {}
                Ok(length) => assert!(
                    is_allowed(&bytes[..length]),
                    "unexpected bytes on a connection: '{}'",
                    String::from_utf8_lossy(&bytes[..length])
                ),
                Err(e) => assert!(matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::ConnectionReset
                )),
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
