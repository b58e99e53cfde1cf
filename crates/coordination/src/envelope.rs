//! How messages travel between nodes: who speaks, in which fleet, and a checksum over all of it.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    reason = "not yet converted"
)]

use crate::lease::{ToKeeper, ToNode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MAGIC: [u8; 4] = *b"ppk1";
/// The longest message. What is longer than a datagram takes goes over a connection.
pub const MOST: usize = 256 * 1024;
/// The longest message in one datagram.
pub const DATAGRAM: usize = 1200;

/// What a message is about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// To a keeper.
    Keeper(ToKeeper),
    /// From a keeper.
    Node(ToNode),
    /// Of the account of who is there, as its library writes it.
    Gossip(Vec<u8>),
    /// Tell me your figures, for the report of this number.
    AskFigures(u64),
    /// The answer to that.
    Figures(u64, Figures),
    /// Of taking nodes out one after the other.
    Roll(crate::rolling_restart::Message),
    /// Of trials of ejected servers.
    Trials(crate::outlier_probing::Message),
    /// Of budgets.
    Budget(crate::budget::Message),
}

/// Requests served, refused and failed.
pub type Totals = [u64; 3];

/// A node's figures since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// By class.
    pub replies: Vec<(String, Totals)>,
    /// Attempts that went to another zone, by class and tenant.
    pub crossings: Vec<(String, String, u64)>,
    /// Attempts written whole to replicas.
    pub dispatches: u64,
    /// Requests taken and not ended.
    pub concurrent: u64,
    /// Its wall clock, in microseconds of Unix time.
    pub wall: u64,
}

/// A message with its address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's name.
    pub fleet: String,
    /// The number of the list of keepers.
    pub keepers: u32,
    /// Who speaks, and since which start.
    pub from: (String, u64),
    /// Where whoever speaks is reached, as it says.
    pub at: SocketAddr,
    /// To whom.
    pub to: String,
    /// What.
    pub body: Body,
}

/// Why bytes are no message for this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Not a message, or a damaged one.
    Garbled,
    /// Of another fleet, or for another node.
    Foreign,
}

/// The bytes of a message.
pub fn write(envelope: &Envelope) -> Vec<u8> {
    // Into a vector nothing but a lack of memory can fail.
    let body = postcard::to_stdvec(envelope).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads a message for this node of this fleet.
///
/// # Errors
/// Says why it is none.
pub fn read(bytes: &[u8], fleet: &str, me: &str) -> Result<Envelope, Dropped> {
    let body = bytes
        .strip_prefix(&MAGIC)
        .filter(|b| b.len() <= MOST)
        .ok_or(Dropped::Garbled)?;
    let (sum, body) = body.split_at_checked(4).ok_or(Dropped::Garbled)?;
    if crc32fast::hash(body).to_le_bytes() != sum {
        return Err(Dropped::Garbled);
    }
    let envelope: Envelope = postcard::from_bytes(body).map_err(|_| Dropped::Garbled)?;
    match envelope.fleet == fleet && envelope.to == me {
        true => Ok(envelope),
        false => Err(Dropped::Foreign),
    }
}
