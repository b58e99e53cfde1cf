//! DNS messages (RFC 1035) to and from the few kinds of record that are used here. The coding itself is
//! hickory-proto's.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use crate::config::Family;
use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, RecordType};
use std::net::IpAddr;
use std::str::FromStr;

/// A lifetime with its highest bit set counts as zero (RFC 2181, section 8).
const MOST_TTL: u32 = 0x7fff_ffff;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Question {
    /// The targets of a service.
    Srv(String),
    /// The addresses of a target.
    Addr(String, Family),
}

impl Question {
    /// The name asked for.
    pub fn name(&self) -> &str {
        match self {
            Question::Srv(name) | Question::Addr(name, _) => name,
        }
    }

    /// The same question for another name, as an alias has it.
    pub fn of(&self, name: String) -> Question {
        match self {
            Question::Srv(_) => Question::Srv(name),
            Question::Addr(_, family) => Question::Addr(name, *family),
        }
    }

    fn kind(&self) -> RecordType {
        match self {
            Question::Srv(_) => RecordType::SRV,
            Question::Addr(_, Family::V4) => RecordType::A,
            Question::Addr(_, Family::V6) => RecordType::AAAA,
        }
    }

    /// Whether a record answers this kind of question.
    pub fn wants(&self, data: &Data) -> bool {
        matches!(
            (self, data),
            (Question::Srv(_), Data::Srv { .. })
                | (Question::Addr(_, Family::V4), Data::Addr(IpAddr::V4(_)))
                | (Question::Addr(_, Family::V6), Data::Addr(IpAddr::V6(_)))
        )
    }
}

impl std::fmt::Display for Question {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.name(), self.kind())
    }
}

/// What a record holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Data {
    /// RFC 2782.
    Srv {
        /// Lower ones first.
        priority: u16,
        /// Among equal priorities, how much.
        weight: u16,
        /// The port.
        port: u16,
        /// The name of the server; empty where the service is decidedly not there (a target of ".").
        target: String,
    },
    /// A or AAAA.
    Addr(IpAddr),
    /// This name is another's alias.
    Alias(String),
    /// The least lifetime of negative answers, in seconds (RFC 2308, section 4).
    Minimum(u32),
    /// Others are to be asked (a record of a name server).
    Others,
}

/// A record of a kind that is used here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whose it is, in lower case without the last dot.
    pub owner: String,
    /// Its lifetime, in seconds.
    pub ttl: u32,
    /// What it holds.
    pub data: Data,
}

/// An answer as far as it is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The id, to be compared with the question's.
    pub id: u16,
    /// The question that it says it answers; `None` where it repeats none or one of another kind.
    pub question: Option<Question>,
    /// Not all of it is here.
    pub truncated: bool,
    /// The response code (RFC 1035, section 4.1.1; RFC 6891, section 6.1.3).
    pub code: u16,
    /// The answer section.
    pub answers: Vec<Record>,
    /// The authority section.
    pub authorities: Vec<Record>,
    /// The additional section.
    pub additionals: Vec<Record>,
}

impl Answer {
    /// Neither records nor a word that there are none, but others to be asked (RFC 2308, section 2.2): no answer
    /// for a stub, which asks servers that do that themselves.
    pub fn refers(&self) -> bool {
        let has = |data: &Data| self.authorities.iter().any(|r| r.data == *data);
        let denied = self
            .authorities
            .iter()
            .any(|r| matches!(r.data, Data::Minimum(_)));
        self.code == code::NO_ERROR && self.answers.is_empty() && !denied && has(&Data::Others)
    }
}

/// Response codes that are told apart.
pub mod code {
    /// All is well.
    pub const NO_ERROR: u16 = 0;
    /// The server can't read the question: it may not know EDNS.
    pub const FORM_ERR: u16 = 1;
    /// There is no such name.
    pub const NX_DOMAIN: u16 = 3;
    /// The server does not do this: it may not know EDNS.
    pub const NOT_IMP: u16 = 4;
}

/// Bytes that are no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable(pub String);

/// A name as it is compared and shown: lower case, without the last dot.
fn plain(name: &Name) -> String {
    let mut text = name.to_lowercase().to_ascii();
    if text.ends_with('.') {
        text.pop();
    }
    text
}

/// Reads a name of the configuration or of a record.
pub(crate) fn name(text: &str) -> Result<Name, String> {
    let mut name = Name::from_str(text).map_err(|e| e.to_string())?;
    name.set_fqdn(true);
    Ok(name)
}

/// A name of the configuration in the form in which names are compared.
pub(crate) fn normal(text: &str) -> String {
    name(text).map_or_else(|_| text.to_ascii_lowercase(), |n| plain(&n))
}

/// The bytes of a question. `payload` is the size that is announced by EDNS (RFC 6891); none sends none.
pub(crate) fn write(id: u16, question: &Question, payload: Option<u16>) -> Vec<u8> {
    let Ok(name) = name(question.name()) else {
        return Vec::new();
    };
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name, question.kind()));
    if let Some(payload) = payload {
        let mut edns = Edns::new();
        edns.set_max_payload(payload).set_version(0);
        message.set_edns(edns);
    }
    message.to_vec().unwrap_or_default()
}

/// Reads an answer; bytes from anywhere come here.
pub fn read(bytes: &[u8]) -> Result<Answer, Unreadable> {
    let message = Message::from_vec(bytes).map_err(|e| Unreadable(e.to_string()))?;
    if message.metadata.message_type != MessageType::Response {
        return Err(Unreadable("a question where an answer was expected".into()));
    }
    let question = match &message.queries[..] {
        [query] if query.query_class() == DNSClass::IN => {
            let name = plain(query.name());
            match query.query_type() {
                RecordType::SRV => Some(Question::Srv(name)),
                RecordType::A => Some(Question::Addr(name, Family::V4)),
                RecordType::AAAA => Some(Question::Addr(name, Family::V6)),
                _ => None,
            }
        }
        _ => None,
    };
    let section =
        |records: &[hickory_proto::rr::Record]| records.iter().filter_map(record).collect();
    Ok(Answer {
        id: message.metadata.id,
        question,
        truncated: message.metadata.truncation,
        code: code_of(message.metadata.response_code),
        answers: section(&message.answers),
        authorities: section(&message.authorities),
        additionals: section(&message.additionals),
    })
}

fn code_of(code: ResponseCode) -> u16 {
    code.into()
}

fn record(record: &hickory_proto::rr::Record) -> Option<Record> {
    if record.dns_class != DNSClass::IN {
        return None;
    }
    let data = match &record.data {
        RData::SRV(srv) => Data::Srv {
            priority: srv.priority,
            weight: srv.weight,
            port: srv.port,
            target: plain(&srv.target),
        },
        RData::A(a) => Data::Addr(IpAddr::V4(a.0)),
        RData::AAAA(a) => Data::Addr(IpAddr::V6(a.0)),
        RData::CNAME(alias) => Data::Alias(plain(&alias.0)),
        RData::SOA(soa) => Data::Minimum(soa.minimum),
        RData::NS(_) => Data::Others,
        _ => return None,
    };
    let ttl = if record.ttl > MOST_TTL { 0 } else { record.ttl };
    Some(Record {
        owner: plain(&record.name),
        ttl,
        data,
    })
}
