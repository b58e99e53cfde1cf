//! Turns the bytes of a query into replies: the zone's answer, with the faults of the script.

use crate::fault::apply_fault;
use crate::script::{FaultyReply, Script};
use crate::zone::Zone;
use hickory_proto::op::{Message, MessageType, OpCode, Query};
use std::collections::BTreeMap;
use std::time::Duration;

/// The size limit of replies over UDP without EDNS, in bytes (RFC 1035, section 4.2.1).
const DEFAULT_UDP_PAYLOAD_BYTES: usize = 512;
/// The size of the message id, which a garbage reply keeps, in bytes.
const ID_BYTES: usize = 2;
/// The bytes after the id in a garbage reply.
const GARBAGE: [u8; 9] = [0xff; 9];
/// The size of the length prefix of a message over TCP.
const LENGTH_BYTES: usize = 2;

/// The transport protocol of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// A datagram.
    Udp,
    /// A connection.
    Tcp,
}

/// What happens to a connection after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterReply {
    /// The server answers further queries on the connection.
    KeepServing,
    /// The connection stays open, but the server sends nothing more.
    StopResponding,
}

/// One reply, and how it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The delay from the query until the reply is sent.
    pub delay: Duration,
    /// The message; over TCP the sender adds the length prefix.
    pub bytes: Vec<u8>,
    /// Whether the reply is sent from a different port than the one queried.
    pub uses_other_port: bool,
    /// Whether the reply is sent byte by byte (TCP only).
    pub is_byte_by_byte: bool,
    /// How many bytes are sent, including the length prefix; `None` sends all. Only applied over TCP.
    pub max_bytes: Option<usize>,
    /// What happens to the connection after the reply.
    pub after: AfterReply,
}

/// A stub server without sockets.
#[derive(Debug)]
pub struct Responder {
    script: Script,
    zone: Zone,
    /// The number of questions that matched each rule, by the rule's index.
    match_counts: BTreeMap<usize, usize>,
    /// The number of questions received, by "NAME TYPE".
    question_counts: BTreeMap<String, u64>,
}

impl Responder {
    /// A responder that answers according to this script.
    pub fn new(script: Script) -> Self {
        Responder {
            zone: Zone::new(&script),
            script,
            match_counts: BTreeMap::new(),
            question_counts: BTreeMap::new(),
        }
    }

    /// Replaces the script; the rules count questions from 0 again.
    pub fn set_script(&mut self, script: Script) {
        self.match_counts.clear();
        self.zone = Zone::new(&script);
        self.script = script;
    }

    /// The number of questions received, by "NAME TYPE". A new script does not reset it.
    pub fn question_counts(&self) -> &BTreeMap<String, u64> {
        &self.question_counts
    }

    /// The replies to a query; empty if the bytes are not a query or a fault suppresses the reply.
    pub fn reply(&mut self, bytes: &[u8], transport: Transport) -> Vec<Reply> {
        let Ok(question) = Message::from_vec(bytes) else {
            return Vec::new();
        };
        let Some(query) = question.queries.first().cloned() else {
            return Vec::new();
        };
        let faults = self.count_question(&query);
        if faults.contains(&FaultyReply::NoReply) {
            return Vec::new();
        }
        let mut message = empty_response(question.metadata.id);
        message.metadata.recursion_available = true;
        message.add_query(query.clone());
        self.zone.answer(&mut message, &query);
        for fault in &faults {
            apply_fault(&mut message, fault, transport);
        }
        let max_bytes = max_message_bytes(&question, transport);
        let bytes = encode(&message, query, max_bytes);
        replies_with_faults(bytes, &faults, transport)
    }

    /// Counts a question and returns the faults that apply to its reply.
    fn count_question(&mut self, query: &Query) -> Vec<FaultyReply> {
        let name = query.name().to_lowercase().to_ascii();
        let name = name.trim_end_matches('.');
        let record_type = query.query_type().to_string();
        let question = format!("{name} {record_type}");
        *self.question_counts.entry(question).or_default() += 1;
        let mut faults = Vec::new();
        for (index, rule) in self.script.rules.iter().enumerate() {
            if !rule.matches(name, &record_type) {
                continue;
            }
            let count = self.match_counts.entry(index).or_default();
            if rule.applies_to(*count) {
                faults.push(rule.fault.clone());
            }
            *count += 1;
        }
        faults
    }
}

fn empty_response(id: u16) -> Message {
    Message::new(id, MessageType::Response, OpCode::Query)
}

/// The size limit of the reply to a query, in bytes.
fn max_message_bytes(question: &Message, transport: Transport) -> usize {
    match transport {
        Transport::Udp => question
            .edns
            .as_ref()
            .map_or(DEFAULT_UDP_PAYLOAD_BYTES, |edns| {
                usize::from(edns.max_payload())
            })
            .max(DEFAULT_UDP_PAYLOAD_BYTES),
        Transport::Tcp => usize::from(u16::MAX),
    }
}

/// Encodes a message. A message beyond the size limit is replaced with a truncated one without records.
fn encode(message: &Message, query: Query, max_bytes: usize) -> Vec<u8> {
    let bytes = message.to_vec().unwrap_or_default();
    if !bytes.is_empty() && bytes.len() <= max_bytes {
        return bytes;
    }
    let mut truncated = empty_response(message.metadata.id);
    truncated.metadata.truncation = true;
    truncated.add_query(query);
    truncated.to_vec().unwrap_or_default()
}

/// The replies that send a message, with the faults that affect the bytes or how they are sent.
fn replies_with_faults(
    mut bytes: Vec<u8>,
    faults: &[FaultyReply],
    transport: Transport,
) -> Vec<Reply> {
    let has = |fault: &FaultyReply| faults.contains(fault);
    if has(&FaultyReply::Garbage) {
        bytes.truncate(ID_BYTES);
        bytes.extend_from_slice(&GARBAGE);
    }
    let is_partial = has(&FaultyReply::HalfTcp) && transport == Transport::Tcp;
    let delay_ms = faults.iter().find_map(|fault| match fault {
        FaultyReply::Delay(delay_ms) => Some(*delay_ms),
        _ => None,
    });
    let reply = Reply {
        delay: Duration::from_millis(delay_ms.unwrap_or(0)),
        uses_other_port: has(&FaultyReply::OtherPort),
        is_byte_by_byte: has(&FaultyReply::ByteByByte),
        max_bytes: is_partial.then_some(LENGTH_BYTES + bytes.len() / 2),
        after: if is_partial {
            AfterReply::StopResponding
        } else {
            AfterReply::KeepServing
        },
        bytes,
    };
    let count = if has(&FaultyReply::Duplicate) { 2 } else { 1 };
    vec![reply; count]
}
