//! The wire format of messages between nodes.
//!
//! A message consists of a magic number, a little-endian CRC-32 of the remaining bytes, and an [`Envelope`] encoded by
//! `postcard`. `postcard` is positional: fields and variants of the types in it must keep their order. The golden files
//! under `tests/golden` hold one datagram of each message.
//!
//! Drivers call [`encode`] for messages that [`CoordinationNode`](crate::node::CoordinationNode) outputs, and
//! [`decode`] for received messages.

use crate::budget::BudgetMessage;
use crate::lease::{LeaseRequest, LeaseResponse};
use crate::outlier_probing::ProbingMessage;
use crate::rolling_restart::RestartMessage;
use crate::ProcessId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The first bytes of every message.
const MAGIC: [u8; 4] = *b"ppk1";
/// The length of the checksum, in bytes.
const CHECKSUM_BYTES: usize = 4;
/// The maximum size of a message without the magic number, in bytes. A message that is too large for a datagram is sent
/// over a connection.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The maximum size of a message that is sent as a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// The content of a message, by subsystem.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// To a lease server.
    LeaseRequest(LeaseRequest),
    /// From a lease server to a client.
    LeaseResponse(LeaseResponse),
    /// A message of the membership protocol, as encoded by its library.
    Gossip(Vec<u8>),
    /// Requests a node's statistics for a report.
    RequestFigures {
        /// The number of the report; returned in the response.
        report_number: u64,
    },
    /// The response to [`MessageBody::RequestFigures`].
    Figures {
        /// The report number of the request.
        report_number: u64,
        /// The node's statistics.
        figures: NodeFigures,
    },
    /// Distributes a restart order, or carries a query, answer or command about it.
    RollingRestart(RestartMessage),
    /// Carries a node's ejected replicas to the coordinator, or the coordinator's verdicts on them.
    OutlierProbing(ProbingMessage),
    /// A message about budgets.
    Budget(BudgetMessage),
}

/// The number of requests of one class, by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReplies {
    /// The class's name.
    pub class: String,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
}

/// The number of attempts of one class and tenant that were sent to another zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrossZoneAttempts {
    /// The class's name.
    pub class: String,
    /// The tenant's name; empty at sites without tenants.
    pub tenant: String,
    /// The number of attempts.
    pub count: u64,
}

/// A node's counters since its start and current values, for the fleet report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeFigures {
    /// Requests by class and outcome.
    pub replies: Vec<ClassReplies>,
    /// Attempts sent to another zone, by class and tenant.
    pub cross_zone_attempts: Vec<CrossZoneAttempts>,
    /// Attempts that were completely written to a replica.
    pub dispatches: u64,
    /// Requests accepted and not completed.
    pub requests_in_flight: u64,
    /// The node's wall clock, in microseconds since the Unix epoch.
    pub wall_clock: u64,
}

/// A message with its sender and recipient.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's name.
    pub fleet: String,
    /// The version of the lease server list that the sender uses.
    pub lease_servers_number: u32,
    /// The sending process.
    pub sender: ProcessId,
    /// The sender's address, as stated by the sender.
    pub sender_address: SocketAddr,
    /// The name of the receiving node.
    pub recipient: String,
    /// The content of the message.
    pub body: MessageBody,
}

/// The reason why received bytes are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The magic number, size, checksum or encoding is invalid.
    #[error("malformed message: invalid magic number, size, checksum or encoding")]
    Malformed,
    /// The message is from another fleet or for another node.
    #[error("message is from another fleet or for another node")]
    Misaddressed,
}

/// Encodes a message with its magic number and checksum.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    // Serialising to a vector can only fail if memory is exhausted.
    let payload = postcard::to_stdvec(envelope).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Decodes a message for this node of this fleet.
///
/// # Errors
/// [`DecodeError::Malformed`] if the bytes are not a complete, valid message; [`DecodeError::Misaddressed`] if the
/// message is from another fleet or for another node.
pub fn decode(bytes: &[u8], fleet: &str, node: &str) -> Result<Envelope, DecodeError> {
    let checked = bytes
        .strip_prefix(&MAGIC)
        .filter(|checked| checked.len() <= MAX_MESSAGE_BYTES)
        .ok_or(DecodeError::Malformed)?;
    let (checksum, payload) = checked
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or(DecodeError::Malformed)?;
    if crc32fast::hash(payload).to_le_bytes() != checksum {
        return Err(DecodeError::Malformed);
    }
    let envelope: Envelope = postcard::from_bytes(payload).map_err(|_| DecodeError::Malformed)?;
    if envelope.fleet == fleet && envelope.recipient == node {
        Ok(envelope)
    } else {
        Err(DecodeError::Misaddressed)
    }
}
