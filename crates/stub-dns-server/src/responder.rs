//! A query's bytes to replies: the zone's answer, changed by the faults of the script.

use crate::fault::apply_fault;
use crate::script::{FaultyReply, Script};
use crate::zone::Zone;
use hickory_proto::op::{Message, MessageType, OpCode, Query};
use std::collections::BTreeMap;
use std::time::Duration;

/// The size of replies over UDP where the query offers none, in bytes (RFC 1035, section 4.2.1).
const DEFAULT_UDP_PAYLOAD_BYTES: usize = 512;
/// The length of an id, which stays in a garbage reply, in bytes.
const ID_BYTES: usize = 2;
/// What follows the id in a garbage reply.
const GARBAGE: [u8; 9] = [0xff; 9];
/// The bytes of the length before a message over TCP.
const LENGTH_BYTES: usize = 2;

/// How a query came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// As a datagram.
    Udp,
    /// On a connection.
    Tcp,
}

/// What happens to a connection after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterReply {
    /// Further queries are answered.
    KeepServing,
    /// It stays open, and nothing more is sent.
    StayQuiet,
}

/// One reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// How late it is sent.
    pub delay: Duration,
    /// The message; over TCP the sender puts its length before it.
    pub bytes: Vec<u8>,
    /// Whether it is sent from another port than was asked.
    pub uses_other_port: bool,
    /// Whether it is sent byte by byte.
    pub is_byte_by_byte: bool,
    /// Only this many bytes are sent, the length before the message counted; without it all are.
    pub max_bytes: Option<usize>,
    /// What happens to a connection afterwards.
    pub after: AfterReply,
}

/// A stub server without sockets.
#[derive(Debug)]
pub struct Responder {
    script: Script,
    zone: Zone,
    /// How many questions have matched each rule, by the rule's index.
    match_counts: BTreeMap<usize, usize>,
    /// How many questions there were, by "NAME TYPE".
    question_counts: BTreeMap<String, u64>,
}

impl Responder {
    /// A responder that answers by this script.
    pub fn new(script: Script) -> Self {
        Responder {
            zone: Zone::new(&script),
            script,
            match_counts: BTreeMap::new(),
            question_counts: BTreeMap::new(),
        }
    }

    /// Answers by another script from now on; the rules count from 0 again.
    pub fn set_script(&mut self, script: Script) {
        self.match_counts.clear();
        self.zone = Zone::new(&script);
        self.script = script;
    }

    /// How many questions there were, by "NAME TYPE".
    pub fn question_counts(&self) -> &BTreeMap<String, u64> {
        &self.question_counts
    }

    /// The replies to these bytes.
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

    /// Counts a question; returns the faults in the reply to it.
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

/// The longest message that may answer a query, in bytes.
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

/// The bytes of a message; of a truncated one without records where it is too long.
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

/// The replies with a message, with the faults in how they are sent.
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
    let is_cut = has(&FaultyReply::HalfTcp) && transport == Transport::Tcp;
    let delay_ms = faults.iter().find_map(|fault| match fault {
        FaultyReply::Delay(delay_ms) => Some(*delay_ms),
        _ => None,
    });
    let reply = Reply {
        delay: Duration::from_millis(delay_ms.unwrap_or(0)),
        uses_other_port: has(&FaultyReply::OtherPort),
        is_byte_by_byte: has(&FaultyReply::ByteByByte),
        max_bytes: is_cut.then_some(LENGTH_BYTES + bytes.len() / 2),
        after: if is_cut {
            AfterReply::StayQuiet
        } else {
            AfterReply::KeepServing
        },
        bytes,
    };
    let count = if has(&FaultyReply::Duplicate) { 2 } else { 1 };
    vec![reply; count]
}
