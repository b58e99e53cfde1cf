//! Ports on loopback that are free for datagrams and connections alike.

use rand::RngExt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;
use tokio::net::{TcpListener, UdpSocket};

/// Tries to find a port that is free for both.
const MAX_TRIES: usize = 50;
/// The first port of processes that start again at the same one. They are below the range from which the system takes
/// ports by itself.
const FIRST_RESTART_PORT: u16 = 10_000;
/// How many such ports there are.
const RESTART_PORT_COUNT: u16 = 20_000;

/// A port that is held as long as this lives.
pub(super) struct BoundPort {
    pub(super) socket: UdpSocket,
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
}

/// Binds any free port.
pub(super) async fn bind_any_port() -> io::Result<BoundPort> {
    bind_first_free((0..MAX_TRIES).map(|_| 0)).await
}

/// Binds a port for a process, where no outgoing connection takes it while the process is down. Each is given out once
/// in this program: a fleet lets go of its ports for the moment in which its nodes start, and another one must not take
/// them.
pub(super) async fn bind_restart_port() -> io::Result<BoundPort> {
    bind_first_free((0..RESTART_PORT_COUNT).map(|_| next_restart_port())).await
}

fn next_restart_port() -> u16 {
    static FIRST_OFFSET: OnceLock<u16> = OnceLock::new();
    static GIVEN_OUT: AtomicU16 = AtomicU16::new(0);
    // Two programs that play at once begin at different ports.
    let first_offset =
        *FIRST_OFFSET.get_or_init(|| rand::rng().random_range(0..RESTART_PORT_COUNT));
    let given_out = GIVEN_OUT.fetch_add(1, Ordering::Relaxed);
    let offset = (first_offset + given_out % RESTART_PORT_COUNT) % RESTART_PORT_COUNT;
    FIRST_RESTART_PORT + offset
}

/// Binds the first port that is free; 0 stands for any.
async fn bind_first_free(ports: impl Iterator<Item = u16>) -> io::Result<BoundPort> {
    let mut last_error = io::ErrorKind::AddrInUse.into();
    for port in ports {
        match bind(port).await {
            Ok(bound) => return Ok(bound),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn bind(port: u16) -> io::Result<BoundPort> {
    let socket = UdpSocket::bind(("127.0.0.1", port)).await?;
    let address = socket.local_addr()?;
    let listener = TcpListener::bind(address).await?;
    Ok(BoundPort {
        socket,
        listener,
        address,
    })
}

#[cfg(test)]
mod tests;
