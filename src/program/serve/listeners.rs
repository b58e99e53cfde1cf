//! The sockets on which a node listens.

use super::error::ServeError;
use crate::program::config::NodeConfig;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// The configuration's key of the address where clients connect.
const CLIENT_KEY: &str = "listen";
/// The configuration's key of the address where operators call.
const ADMIN_KEY: &str = "admin";
/// Connections that the kernel holds until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// A socket that listens, with its address.
pub(super) struct BoundListener {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

/// The sockets on which a node listens.
pub(super) struct Listeners {
    /// For clients.
    pub client: BoundListener,
    /// For operators, where they can call.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Listens where the configuration says.
    ///
    /// # Errors
    /// Where the system doesn't allow it.
    pub(super) fn bind(config: &NodeConfig) -> Result<Listeners, ServeError> {
        let client = listen(CLIENT_KEY, config.listen)?;
        let admin = match config.admin {
            Some(address) => Some(listen(ADMIN_KEY, address)?),
            None => None,
        };
        Ok(Listeners {
            client: with_address(CLIENT_KEY, client)?,
            admin,
        })
    }
}

/// The operators' listener with its address.
///
/// # Errors
/// Where the system doesn't tell the address.
pub(super) fn admin_with_address(listener: TcpListener) -> Result<BoundListener, ServeError> {
    with_address(ADMIN_KEY, listener)
}

fn with_address(key: &'static str, listener: TcpListener) -> Result<BoundListener, ServeError> {
    match listener.local_addr() {
        Ok(address) => Ok(BoundListener { listener, address }),
        Err(source) => Err(ServeError::LocalAddress { key, source }),
    }
}

/// Listens at an address, also beside another process of this node: a new version starts while the old one still serves.
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
