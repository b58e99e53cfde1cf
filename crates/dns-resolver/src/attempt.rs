//! One attempt at a name server, and the operations that the driver performs for it.

use crate::message::{encode_query, Question};
use std::net::SocketAddr;

/// The longest message over TCP in bytes, without the length prefix.
const MAX_MESSAGE_BYTES: usize = 65_535;
/// The size of the length prefix of a message over TCP.
const LENGTH_BYTES: usize = 2;

/// Identifies a socket of the driver: the UDP socket or the TCP connection of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// An operation that the driver must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transmit {
    /// Send a datagram from a new UDP socket.
    Udp {
        /// [`Transmit::Close`] names the new socket by this id.
        socket: SocketId,
        /// The destination address.
        server: SocketAddr,
        /// The encoded query.
        message: Vec<u8>,
    },
    /// Open a connection and send a message over it.
    Tcp {
        /// The id of the new connection.
        socket: SocketId,
        /// The destination address.
        server: SocketAddr,
        /// The encoded query with its length prefix.
        framed_message: Vec<u8>,
    },
    /// Close a socket or a connection.
    Close {
        /// The id of the socket or connection.
        socket: SocketId,
    },
}

/// One attempt at a name server, with its own socket and query id.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) socket: SocketId,
    pub(crate) server: SocketAddr,
    /// The id of the query.
    pub(crate) id: u16,
    /// Whether the query has EDNS.
    pub(crate) uses_edns: bool,
    /// The bytes received over TCP; `None` for an attempt over UDP.
    pub(crate) stream: Option<Vec<u8>>,
}

impl Attempt {
    pub(crate) fn is_tcp(&self) -> bool {
        self.stream.is_some()
    }

    /// Buffers bytes received over TCP; returns the message once it is complete.
    pub(crate) fn push_stream_bytes(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let stream = self.stream.as_mut()?;
        stream.extend_from_slice(bytes);
        stream.truncate(LENGTH_BYTES + MAX_MESSAGE_BYTES);
        let length = u16::from_be_bytes([*stream.first()?, *stream.get(1)?]);
        let end = LENGTH_BYTES + usize::from(length);
        if stream.len() < end {
            return None;
        }
        let message = stream[LENGTH_BYTES..end].to_vec();
        stream.clear();
        Some(message)
    }
}

/// Encodes a query with its length prefix, as sent over TCP.
pub(crate) fn encode_framed_query(id: u16, question: &Question, payload_bytes: u16) -> Vec<u8> {
    let message = encode_query(id, question, Some(payload_bytes));
    let mut framed = (message.len() as u16).to_be_bytes().to_vec();
    framed.extend_from_slice(&message);
    framed
}
