//! DNS messages (RFC 1035) to and from the few kinds of record that are used here. The coding itself is
//! hickory-proto's.

use crate::config::AddressFamily;
use crate::error::{DecodeError, NameError};
use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

/// A time to live with its highest bit set counts as zero (RFC 2181, section 8).
const MAX_TTL_S: u32 = 0x7fff_ffff;

/// A question to a name server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Question {
    /// The targets of a service.
    Srv(String),
    /// The addresses of a target.
    Address(String, AddressFamily),
}

impl Question {
    /// The name that is asked for.
    pub fn name(&self) -> &str {
        match self {
            Question::Srv(name) | Question::Address(name, _) => name,
        }
    }

    /// The same question for another name, as an alias needs it.
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

    /// Whether a record answers this kind of question.
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

/// The data of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordData {
    /// A server of a service (RFC 2782).
    Srv {
        /// Servers with a lower number come first.
        priority: u16,
        /// The server's part of the load among those of its priority.
        weight: u16,
        /// The port.
        port: u16,
        /// The server's name; empty where the service is decidedly not available (a target of ".").
        target: String,
    },
    /// An address, of an A or AAAA record.
    Address(IpAddr),
    /// The name is an alias of this one.
    Alias(String),
    /// The shortest time to live of negative answers, in seconds (RFC 2308, section 4).
    NegativeTtl(u32),
    /// Another name server must be asked.
    NameServer,
}

/// A record of a kind that is used here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DnsRecord {
    /// The name that has the record, in lower case without the last dot.
    pub owner: String,
    /// The time to live, in seconds.
    pub ttl: u32,
    /// The data.
    pub data: RecordData,
}

/// A response, as far as it is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DnsResponse {
    /// The id, to be compared with the question's.
    pub id: u16,
    /// The question that it answers; `None` where it repeats none or one of another kind.
    pub question: Option<Question>,
    /// Whether it is incomplete.
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
    /// Whether it has neither records nor says that there are none, but names other servers (RFC 2308, section 2.2). That
    /// is no answer for a stub resolver, which asks servers that do this themselves.
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

/// Response codes that are told apart.
pub(crate) mod response_code {
    /// The question is answered.
    pub(crate) const NO_ERROR: u16 = 0;
    /// The server can't read the question: it may not know EDNS.
    pub(crate) const FORMAT_ERROR: u16 = 1;
    /// There is no such name.
    pub(crate) const NX_DOMAIN: u16 = 3;
    /// The server does not do this: it may not know EDNS.
    pub(crate) const NOT_IMPLEMENTED: u16 = 4;
}

/// A name as it is compared and shown: in lower case, without the last dot.
fn normalized(name: &Name) -> String {
    let mut text = name.to_lowercase().to_ascii();
    if text.ends_with('.') {
        text.pop();
    }
    text
}

/// Parses a name of the configuration or of a record.
pub(crate) fn parse_name(text: &str) -> Result<Name, NameError> {
    let mut name = Name::from_str(text).map_err(|error| NameError(error.to_string()))?;
    name.set_fqdn(true);
    Ok(name)
}

/// A name of the configuration in the form in which names are compared.
pub(crate) fn normalize_name(text: &str) -> String {
    match parse_name(text) {
        Ok(name) => normalized(&name),
        Err(_) => text.to_ascii_lowercase(),
    }
}

/// The bytes of a query, empty where its name is no domain name. A payload is the size in bytes that EDNS offers (RFC 6891);
/// without one the query has no EDNS.
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

/// Decodes a response. The bytes may come from anybody.
///
/// # Errors
/// Where they are no DNS message, or a query.
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

/// The only question of a message, if it is of a kind that is used here.
fn to_question(queries: &[Query]) -> Option<Question> {
    let [query] = queries else {
        return None;
    };
    if query.query_class() != DNSClass::IN {
        return None;
    }
    let name = normalized(query.name());
    match query.query_type() {
        RecordType::SRV => Some(Question::Srv(name)),
        RecordType::A => Some(Question::Address(name, AddressFamily::V4)),
        RecordType::AAAA => Some(Question::Address(name, AddressFamily::V6)),
        _ => None,
    }
}

/// The records of a section that are of a kind used here.
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
            target: normalized(&srv.target),
        },
        RData::A(address) => RecordData::Address(IpAddr::V4(address.0)),
        RData::AAAA(address) => RecordData::Address(IpAddr::V6(address.0)),
        RData::CNAME(alias) => RecordData::Alias(normalized(&alias.0)),
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
        owner: normalized(&record.name),
        ttl,
        data,
    })
}
