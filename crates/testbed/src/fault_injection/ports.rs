//! Allocation of loopback ports that are free for both UDP and TCP.

use crate::sockets::restart_ports::{next_restart_port, RESTART_PORT_COUNT};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// The maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_ATTEMPTS: usize = 50;

/// A port that stays bound until this value is dropped.
pub(super) struct BoundPort {
    pub(super) socket: UdpSocket,
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
}

pub(super) async fn bind_any_port() -> io::Result<BoundPort> {
    bind_first_free((0..MAX_ATTEMPTS).map(|_| 0)).await
}

/// Binds a port outside the ephemeral range, so that no outgoing connection takes it while its process is down. Each
/// port is allocated once per program: a fleet releases its ports just before its nodes start, and another fleet must
/// not bind them in between.
pub(super) async fn bind_restart_port() -> io::Result<BoundPort> {
    bind_first_free((0..RESTART_PORT_COUNT).map(|_| next_restart_port())).await
}

/// Binds the first of these ports that is free; 0 lets the system choose a port.
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
