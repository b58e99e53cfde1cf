//! The wire format of messages between nodes: who speaks, in which fleet, and a checksum over all of it.
//!
//! A message is the magic number, the CRC-32 of the rest (little-endian), and an [`Envelope`] as `postcard` writes it.
//! `postcard` is positional: no field and no variant of a type in here may change its place. The golden files under
//! `tests/golden` keep one datagram of each message.
//!
//! Drivers call [`encode`] for what [`CoordinationNode`](crate::node::CoordinationNode) wants sent, and [`decode`] for
//! what comes in.

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
/// The longest message, in bytes. One that is too long for a datagram goes over a connection.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The longest message in one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// What a message is about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// To a lease server.
    LeaseRequest(LeaseRequest),
    /// From a lease server to a client.
    LeaseResponse(LeaseResponse),
    /// Of the membership protocol, as its library writes it.
    Gossip(Vec<u8>),
    /// Asks for a node's figures, for the report of this number.
    RequestFigures {
        /// Comes back with the answer.
        report_number: u64,
    },
    /// The answer to [`MessageBody::RequestFigures`].
    Figures {
        /// The number of the report that asked.
        report_number: u64,
        /// The figures.
        figures: NodeFigures,
    },
    /// Of a rolling restart.
    RollingRestart(RestartMessage),
    /// Of probing ejected replicas.
    OutlierProbing(ProbingMessage),
    /// Of the fleet's budgets.
    Budget(BudgetMessage),
}

/// How many requests of one class were served, refused and failed.
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

/// How many attempts of one class and tenant went to another zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrossZoneAttempts {
    /// The class's name.
    pub class: String,
    /// The tenant's name; empty at sites without tenants.
    pub tenant: String,
    /// How many attempts.
    pub count: u64,
}

/// A node's figures since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeFigures {
    /// Replies by class.
    pub replies: Vec<ClassReplies>,
    /// Attempts that went to another zone, by class and tenant.
    pub cross_zone_attempts: Vec<CrossZoneAttempts>,
    /// Attempts written whole to replicas.
    pub dispatches: u64,
    /// Requests taken and not ended.
    pub requests_in_flight: u64,
    /// The node's wall clock, in microseconds of Unix time.
    pub wall_clock: u64,
}

/// A message with its sender and recipient.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's name.
    pub fleet: String,
    /// The number of the list of lease servers that the sender goes by.
    pub lease_servers_number: u32,
    /// The process that sends.
    pub sender: ProcessId,
    /// Where the sender is reached, as it says.
    pub sender_address: SocketAddr,
    /// The name of the node that it goes to.
    pub recipient: String,
    /// What it is about.
    pub body: MessageBody,
}

/// Why bytes are not a message for this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// They are no message, or a damaged one.
    #[error("not a message, or a damaged one")]
    Malformed,
    /// The message is of another fleet, or for another node.
    #[error("a message of another fleet or for another node")]
    Misaddressed,
}

/// The bytes of a message.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    // Writing to a vector fails for lack of memory alone.
    let payload = postcard::to_stdvec(envelope).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Reads a message for this node of this fleet.
///
/// # Errors
/// [`DecodeError::Malformed`] where the bytes are no whole and sound message, [`DecodeError::Misaddressed`] where the
/// message is of another fleet or for another node.
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
