//! Addresses for the nodes of a fleet, which listen on one port for both UDP and TCP.

use std::net::{SocketAddr, TcpListener, UdpSocket};

/// An address whose port is free for both UDP and TCP.
pub fn free_address() -> SocketAddr {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
