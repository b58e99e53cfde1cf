//! One attempt at a name server, and what the driver does for it.

use crate::message::{encode_query, Question};
use std::net::SocketAddr;

/// The longest message over TCP in bytes, without the length before it.
const MAX_MESSAGE_BYTES: usize = 65_535;
/// The bytes of the length before a message over TCP.
const LENGTH_BYTES: usize = 2;

/// One socket of the driver: a UDP socket of one attempt, or a TCP connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transmit {
    /// Send a datagram from a new UDP socket.
    Udp {
        /// The new socket.
        socket: SocketId,
        /// Where it is sent.
        server: SocketAddr,
        /// The message.
        message: Vec<u8>,
    },
    /// Connect, and send a message over the connection.
    Tcp {
        /// The new connection.
        socket: SocketId,
        /// Where to connect.
        server: SocketAddr,
        /// The message with its length before it.
        framed_message: Vec<u8>,
    },
    /// Close a socket or a connection.
    Close {
        /// Which one.
        socket: SocketId,
    },
}

/// One attempt at a name server, with a socket and an id of its own.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) socket: SocketId,
    pub(crate) server: SocketAddr,
    /// The id of the query.
    pub(crate) id: u16,
    /// Whether the query has EDNS.
    pub(crate) uses_edns: bool,
    /// The bytes that have come over TCP; `None` for an attempt over UDP.
    pub(crate) stream: Option<Vec<u8>>,
}

impl Attempt {
    /// Whether the attempt is over TCP.
    pub(crate) fn is_tcp(&self) -> bool {
        self.stream.is_some()
    }

    /// Takes bytes that have come over TCP; returns the message once it is whole.
    pub(crate) fn take_stream_bytes(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
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

/// A query with its length before it, as TCP carries it.
pub(crate) fn framed_query(id: u16, question: &Question, payload_bytes: u16) -> Vec<u8> {
    let message = encode_query(id, question, Some(payload_bytes));
    let mut framed = (message.len() as u16).to_be_bytes().to_vec();
    framed.extend_from_slice(&message);
    framed
}
