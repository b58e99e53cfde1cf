//! Binds the sockets on which a node listens.

use super::error::ServeError;
use crate::program::config::NodeConfig;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// The key of the client address in the node configuration.
const CLIENT_KEY: &str = "listen";
/// The key of the admin address in the node configuration.
const ADMIN_KEY: &str = "admin";
/// The number of connections that the kernel queues until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// A listening socket with its local address, which has the port that the kernel chose for port 0.
pub(super) struct BoundListener {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

/// The sockets on which a node listens.
pub(super) struct Listeners {
    pub client: BoundListener,
    /// The listener for admin requests; `None` if they are disabled.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Listens at the configured addresses.
    ///
    /// # Errors
    /// If a socket can't be bound.
    pub(super) fn bind(config: &NodeConfig) -> Result<Listeners, ServeError> {
        let client = listen(CLIENT_KEY, config.listen)?;
        let admin = match config.admin {
            Some(address) => Some(listen(ADMIN_KEY, address)?),
            None => None,
        };
        Ok(Listeners {
            client: to_bound_listener(CLIENT_KEY, client)?,
            admin,
        })
    }
}

/// Adds the local address to the listener for admin requests.
///
/// # Errors
/// If the local address can't be determined.
pub(super) fn admin_with_address(listener: TcpListener) -> Result<BoundListener, ServeError> {
    to_bound_listener(ADMIN_KEY, listener)
}

fn to_bound_listener(
    key: &'static str,
    listener: TcpListener,
) -> Result<BoundListener, ServeError> {
    match listener.local_addr() {
        Ok(address) => Ok(BoundListener { listener, address }),
        Err(source) => Err(ServeError::LocalAddress { key, source }),
    }
}

/// Listens at an address. `SO_REUSEPORT` lets a new version of the node start while the old process still serves.
fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, ServeError> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let listener = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    });
    listener.map_err(|source| ServeError::Listen {
        key,
        address,
        source,
    })
}
