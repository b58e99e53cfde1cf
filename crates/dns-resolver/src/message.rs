//! Encodes and decodes DNS messages (RFC 1035) with hickory-proto, for the few record types that are used here.

use crate::config::AddressFamily;
use crate::error::{DecodeError, NameError};
use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

/// The largest valid TTL in seconds. A TTL with the highest bit set counts as zero (RFC 2181, section 8).
const MAX_TTL_S: u32 = 0x7fff_ffff;

/// A question to a name server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Question {
    /// The SRV records of a service.
    Srv(String),
    /// The addresses of a target in one family.
    Address(String, AddressFamily),
}

impl Question {
    /// The queried name.
    pub fn name(&self) -> &str {
        match self {
            Question::Srv(name) | Question::Address(name, _) => name,
        }
    }

    /// The same question for another name, used to follow an alias.
    pub fn with_name(&self, name: String) -> Question {
        match self {
            Question::Srv(_) => Question::Srv(name),
            Question::Address(_, family) => Question::Address(name, *family),
        }
    }

    fn record_type(&self) -> RecordType {
        match self {
            Question::Srv(_) => RecordType::SRV,
            Question::Address(_, AddressFamily::V4) => RecordType::A,
            Question::Address(_, AddressFamily::V6) => RecordType::AAAA,
        }
    }

    /// Whether the record has the queried type.
    pub fn is_answered_by(&self, data: &RecordData) -> bool {
        match (self, data) {
            (Question::Srv(_), RecordData::Srv { .. }) => true,
            (Question::Address(_, AddressFamily::V4), RecordData::Address(address)) => {
                address.is_ipv4()
            }
            (Question::Address(_, AddressFamily::V6), RecordData::Address(address)) => {
                address.is_ipv6()
            }
            _ => false,
        }
    }
}

impl fmt::Display for Question {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.name(), self.record_type())
    }
}

/// The data of a record, by its type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordData {
    /// SRV: a server of a service (RFC 2782).
    Srv {
        /// Servers with a lower number are preferred.
        priority: u16,
        /// The server's relative share of the load among servers of the same priority.
        weight: u16,
        /// The port on which the server listens.
        port: u16,
        /// The server's name; empty if the service is explicitly unavailable (a target of ".").
        target: String,
    },
    /// A or AAAA: an address.
    Address(IpAddr),
    /// CNAME: the owner is an alias of this name.
    Alias(String),
    /// SOA: the TTL of negative answers in seconds (RFC 2308, section 4).
    NegativeTtl(u32),
    /// NS: another name server is responsible.
    NameServer,
}

/// A record of one of the types that are used here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DnsRecord {
    /// The name of the record, in lower case without the trailing dot.
    pub owner: String,
    /// The TTL in seconds.
    pub ttl: u32,
    /// The record's data.
    pub data: RecordData,
}

/// The parts of a decoded response that the resolver uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DnsResponse {
    /// The message id, which must equal that of the query.
    pub id: u16,
    /// The question in the response; `None` if it has none, several, or one of a type that is not used here.
    pub question: Option<Question>,
    /// Whether the message was truncated (the TC bit).
    pub is_truncated: bool,
    /// The response code (RFC 1035, section 4.1.1; RFC 6891, section 6.1.3).
    pub code: u16,
    /// The answer section.
    pub answers: Vec<DnsRecord>,
    /// The authority section.
    pub authorities: Vec<DnsRecord>,
    /// The additional section.
    pub additionals: Vec<DnsRecord>,
}

impl DnsResponse {
    /// Whether the response is a referral: it has neither answers nor a SOA record, but names other servers (RFC 2308,
    /// section 2.2). A stub resolver cannot use referrals, since it relies on servers that follow them.
    pub fn is_referral(&self) -> bool {
        let mut names_servers = false;
        let mut is_negative_answer = false;
        for record in &self.authorities {
            names_servers |= record.data == RecordData::NameServer;
            is_negative_answer |= matches!(record.data, RecordData::NegativeTtl(_));
        }
        self.code == response_code::NO_ERROR
            && self.answers.is_empty()
            && names_servers
            && !is_negative_answer
    }
}

/// The response codes that the resolver distinguishes.
pub(crate) mod response_code {
    pub(crate) const NO_ERROR: u16 = 0;
    /// The server could not interpret the query; it may not support EDNS.
    pub(crate) const FORMAT_ERROR: u16 = 1;
    /// The name does not exist.
    pub(crate) const NX_DOMAIN: u16 = 3;
    /// The server does not support the query; it may not support EDNS.
    pub(crate) const NOT_IMPLEMENTED: u16 = 4;
}

/// The canonical form for comparison and display: in lower case without the trailing dot.
fn to_canonical_text(name: &Name) -> String {
    let mut text = name.to_lowercase().to_ascii();
    if text.ends_with('.') {
        text.pop();
    }
    text
}

/// Parses a domain name from the configuration or a record.
pub(crate) fn parse_name(text: &str) -> Result<Name, NameError> {
    let mut name = Name::from_str(text).map_err(|error| NameError(error.to_string()))?;
    name.set_fqdn(true);
    Ok(name)
}

/// A name from the configuration in canonical form, as used for comparisons.
pub(crate) fn normalize_name(text: &str) -> String {
    match parse_name(text) {
        Ok(name) => to_canonical_text(&name),
        Err(_) => text.to_ascii_lowercase(),
    }
}

/// Encodes a query; returns no bytes if the queried name is not a domain name. `payload_bytes` is the payload size
/// advertised by EDNS (RFC 6891); `None` omits EDNS.
pub(crate) fn encode_query(id: u16, question: &Question, payload_bytes: Option<u16>) -> Vec<u8> {
    let Ok(name) = parse_name(question.name()) else {
        return Vec::new();
    };
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name, question.record_type()));
    if let Some(payload_bytes) = payload_bytes {
        let mut edns = Edns::new();
        edns.set_max_payload(payload_bytes).set_version(0);
        message.set_edns(edns);
    }
    message.to_vec().unwrap_or_default()
}

/// Decodes a response from untrusted bytes.
///
/// # Errors
/// If the bytes are not a DNS message, or are a query.
pub fn decode_response(bytes: &[u8]) -> Result<DnsResponse, DecodeError> {
    let message =
        Message::from_vec(bytes).map_err(|error| DecodeError::Malformed(error.to_string()))?;
    if message.metadata.message_type != MessageType::Response {
        return Err(DecodeError::NotAResponse);
    }
    Ok(DnsResponse {
        id: message.metadata.id,
        question: to_question(&message.queries),
        is_truncated: message.metadata.truncation,
        code: message.metadata.response_code.into(),
        answers: to_records(&message.answers),
        authorities: to_records(&message.authorities),
        additionals: to_records(&message.additionals),
    })
}

/// The question of a message; `None` unless there is exactly one and its type is used here.
fn to_question(queries: &[Query]) -> Option<Question> {
    let [query] = queries else {
        return None;
    };
    if query.query_class() != DNSClass::IN {
        return None;
    }
    let name = to_canonical_text(query.name());
    match query.query_type() {
        RecordType::SRV => Some(Question::Srv(name)),
        RecordType::A => Some(Question::Address(name, AddressFamily::V4)),
        RecordType::AAAA => Some(Question::Address(name, AddressFamily::V6)),
        _ => None,
    }
}

/// The records of a section whose types are used here.
fn to_records(records: &[Record]) -> Vec<DnsRecord> {
    records.iter().filter_map(to_record).collect()
}

fn to_record(record: &Record) -> Option<DnsRecord> {
    if record.dns_class != DNSClass::IN {
        return None;
    }
    let data = match &record.data {
        RData::SRV(srv) => RecordData::Srv {
            priority: srv.priority,
            weight: srv.weight,
            port: srv.port,
            target: to_canonical_text(&srv.target),
        },
        RData::A(address) => RecordData::Address(IpAddr::V4(address.0)),
        RData::AAAA(address) => RecordData::Address(IpAddr::V6(address.0)),
        RData::CNAME(alias) => RecordData::Alias(to_canonical_text(&alias.0)),
        RData::SOA(soa) => RecordData::NegativeTtl(soa.minimum),
        RData::NS(_) => RecordData::NameServer,
        _ => return None,
    };
    let ttl = if record.ttl > MAX_TTL_S {
        0
    } else {
        record.ttl
    };
    Some(DnsRecord {
        owner: to_canonical_text(&record.name),
        ttl,
        data,
    })
}
