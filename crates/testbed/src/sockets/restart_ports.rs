//! Ports for servers that restart on the same port.
//!
//! They are outside the range of ephemeral ports, so that no outgoing connection takes one while its server is down.

use rand::RngExt;
use std::io;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;
use tokio::net::TcpListener;

/// The first of these ports. All are below the range of ephemeral ports.
pub(crate) const FIRST_RESTART_PORT: u16 = 10_000;
/// The number of these ports.
pub(crate) const RESTART_PORT_COUNT: u16 = 20_000;

/// The next of these ports. Each is allocated once per program until all are used.
pub(crate) fn next_restart_port() -> u16 {
    static FIRST_OFFSET: OnceLock<u16> = OnceLock::new();
    static ALLOCATED_COUNT: AtomicU16 = AtomicU16::new(0);
    // Programs that run at the same time start at different ports.
    let first_offset =
        *FIRST_OFFSET.get_or_init(|| rand::rng().random_range(0..RESTART_PORT_COUNT));
    let allocated_count = ALLOCATED_COUNT.fetch_add(1, Ordering::Relaxed);
    let offset = (first_offset + allocated_count % RESTART_PORT_COUNT) % RESTART_PORT_COUNT;
    FIRST_RESTART_PORT + offset
}

/// Listens on the first free one of these ports.
pub(super) async fn listen_on_restart_port() -> io::Result<TcpListener> {
    let mut last_error = io::ErrorKind::AddrInUse.into();
    for _ in 0..RESTART_PORT_COUNT {
        match TcpListener::bind(("127.0.0.1", next_restart_port())).await {
            Ok(listener) => return Ok(listener),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

#[cfg(test)]
mod tests;
