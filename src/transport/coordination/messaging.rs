//! Sends messages to other nodes and dispatches received ones.
//!
//! A message is sent as one datagram if it fits, otherwise over its own TCP connection. This module does not retry:
//! undelivered messages are lost, and the state machines send their requests again.

use super::CoordinationDriver;
use super::TransportCounters;
use poppykeel_coordination::envelope::{self, DecodeError, Envelope, MessageBody};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Maximum number of open connections for sending or receiving long messages.
const MAX_CONNECTIONS: usize = 64;
/// A long message must be sent or received within this time.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept call.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The read limit exceeds the longest valid message by this much, so that longer messages are recognised.
const READ_SLACK_BYTES: u64 = 16;

impl CoordinationDriver {
    /// Decodes and dispatches a message. Malformed and misaddressed messages are counted and dropped.
    pub(super) fn handle_datagram(self: &Rc<Self>, bytes: &[u8]) {
        let settings = &self.settings.node;
        match envelope::decode(bytes, &settings.fleet, &settings.name) {
            Ok(envelope) => self.dispatch(envelope),
            Err(DecodeError::Malformed) => self.count(|counters| counters.malformed += 1),
            Err(DecodeError::Misaddressed) => self.count(|counters| counters.misaddressed += 1),
        }
    }

    fn dispatch(self: &Rc<Self>, envelope: Envelope) {
        self.node.borrow_mut().remember_sender(&envelope);
        let sender = envelope.sender.node.clone();
        match envelope.body {
            MessageBody::RequestFigures { report_number } => {
                self.send_figures(sender, report_number);
            }
            MessageBody::Figures {
                report_number,
                figures,
            } => self.report.add_figures(&sender, report_number, figures),
            MessageBody::RollingRestart(message) => self.handle_restart_message(sender, message),
            MessageBody::OutlierProbing(message) => self.handle_probing_message(message),
            MessageBody::Budget(message) => self.handle_budget_message(sender, message),
            MessageBody::LeaseRequest(_)
            | MessageBody::LeaseResponse(_)
            | MessageBody::Gossip(_) => {
                let now = self.clock.now();
                let outputs = self.node.borrow_mut().handle_envelope(envelope, now);
                self.execute_outputs(outputs);
            }
        }
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut TransportCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    pub(super) fn send_to(self: &Rc<Self>, recipient: String, body: MessageBody) {
        self.send_to_address(recipient, None, body);
    }

    /// Sends a message to a node. `address_hint` is used if no other address is known for its name.
    pub(super) fn send_to_address(
        self: &Rc<Self>,
        recipient: String,
        address_hint: Option<SocketAddr>,
        body: MessageBody,
    ) {
        let output = self
            .node
            .borrow_mut()
            .message_to(recipient, address_hint, body);
        self.execute_outputs(vec![output]);
    }

    /// Sends a message. A message to this node itself is dispatched without the network.
    pub(super) fn send(self: &Rc<Self>, envelope: Envelope, address_hint: Option<SocketAddr>) {
        if envelope.recipient == self.settings.node.name {
            let driver = self.clone();
            spawn_local(async move { driver.dispatch(envelope) });
            return;
        }
        let Some(address) = self.address_of(&envelope.recipient).or(address_hint) else {
            return self.count(|counters| counters.unreachable += 1);
        };
        let bytes = envelope::encode(&envelope);
        self.count(|counters| counters.sent_bytes += bytes.len() as u64);
        if bytes.len() > envelope::MAX_DATAGRAM_BYTES {
            self.send_over_connection(bytes, address);
        } else if self.socket.try_send_to(&bytes, address).is_err() {
            // The datagram is lost, as any datagram may be.
            self.count(|counters| counters.unreachable += 1);
        }
    }

    fn address_of(&self, node: &str) -> Option<SocketAddr> {
        let configured = self.settings.address_overrides.get(node).copied();
        configured.or_else(|| self.node.borrow().address_of(node))
    }

    /// Sends a long message over its own connection. A separate task owns the socket and ends within [`CONNECTION_TIMEOUT`].
    fn send_over_connection(self: &Rc<Self>, bytes: Vec<u8>, address: SocketAddr) {
        if self.open_connections.get() >= MAX_CONNECTIONS {
            return self.count(|counters| counters.unreachable += 1);
        }
        self.open_connections.set(self.open_connections.get() + 1);
        let driver = self.clone();
        spawn_local(async move {
            let sent = tokio::time::timeout(CONNECTION_TIMEOUT, write_message(&bytes, address));
            if !matches!(sent.await, Ok(Ok(()))) {
                driver.count(|counters| counters.unreachable += 1);
            }
            driver.close_connection();
        });
    }

    /// Accepts connections with one long message each, until the process ends. Connections beyond the limit are closed
    /// unread.
    pub(super) async fn accept_long_messages(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if self.open_connections.get() >= MAX_CONNECTIONS {
                continue;
            }
            self.open_connections.set(self.open_connections.get() + 1);
            spawn_local(self.clone().receive_over_connection(stream));
        }
    }

    /// Reads one message until the end of the connection. If the connection does not end in time, it is closed and its bytes
    /// are dropped.
    async fn receive_over_connection(self: Rc<Self>, stream: TcpStream) {
        let mut bytes = Vec::new();
        let mut stream = stream.take(envelope::MAX_MESSAGE_BYTES as u64 + READ_SLACK_BYTES);
        let read = tokio::time::timeout(CONNECTION_TIMEOUT, stream.read_to_end(&mut bytes));
        if let Ok(Ok(_)) = read.await {
            self.handle_datagram(&bytes);
        }
        self.close_connection();
    }

    fn close_connection(&self) {
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

async fn write_message(bytes: &[u8], address: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    stream.shutdown().await
}
