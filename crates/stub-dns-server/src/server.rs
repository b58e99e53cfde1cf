//! A question's bytes to replies: the zone's answer, and what the script makes of it.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::script::{name, soa, Lie, Rule, Script};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, CNAME, NS};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Size of answers over UDP where none is asked for (RFC 1035, section 4.2.1).
const SMALL: usize = 512;
/// Aliases followed.
const MOST_ALIASES: usize = 16;

/// How a question came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// As a datagram.
    Udp,
    /// On a connection.
    Tcp,
}

/// What happens to a connection after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// It goes on.
    Stay,
    /// It stays open and quiet.
    Silence,
}

/// One reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// After so long.
    pub after: Duration,
    /// The message; over TCP its length is put before it by whoever sends it, unless `cut` says otherwise.
    pub bytes: Vec<u8>,
    /// From another port than was asked.
    pub other_port: bool,
    /// Byte by byte.
    pub drip: bool,
    /// So much of it is sent, its length counted.
    pub cut: Option<usize>,
    /// And then.
    pub then: Then,
}

/// The stand-in without sockets.
#[derive(Debug)]
pub struct Server {
    script: Script,
    zone: BTreeMap<Name, Vec<Record>>,
    fits: BTreeMap<usize, usize>,
    /// Questions so far, as "NAME TYPE", with their number.
    pub asked: BTreeMap<String, u64>,
}

impl Server {
    /// A server that goes by this script.
    pub fn new(script: Script) -> Self {
        let (zone, fits, asked) = Default::default();
        let mut server = Server {
            script: Script::default(),
            zone,
            fits,
            asked,
        };
        server.set(script);
        server
    }

    /// From now on it goes by another one; rules count anew.
    pub fn set(&mut self, script: Script) {
        self.fits.clear();
        self.zone.clear();
        for record in &script.record {
            if let (Ok(owner), Ok(data)) = (name(&record.name), record.data()) {
                let set = self.zone.entry(owner.to_lowercase()).or_default();
                set.push(Record::from_rdata(owner, record.ttl, data));
            }
        }
        self.script = script;
    }

    /// What is replied to these bytes.
    pub fn answer(&mut self, bytes: &[u8], over: Over) -> Vec<Reply> {
        let Ok(question) = Message::from_vec(bytes) else {
            return Vec::new();
        };
        let Some(query) = question.queries.first().cloned() else {
            return Vec::new();
        };
        let text = query.name().to_lowercase().to_ascii();
        let kind = query.query_type();
        *self
            .asked
            .entry(format!("{} {kind}", text.trim_end_matches('.')))
            .or_default() += 1;
        let lies = self.lies(text.trim_end_matches('.'), &kind.to_string());
        let has = |lie: &Lie| lies.contains(lie);
        if has(&Lie::Silent) {
            return Vec::new();
        }
        let mut message = Message::new(question.metadata.id, MessageType::Response, OpCode::Query);
        message.metadata.recursion_available = true;
        message.add_query(query.clone());
        self.fill(&mut message, &query);
        for lie in &lies {
            distort(&mut message, lie, over);
        }
        let most = match over {
            Over::Udp => question
                .edns
                .as_ref()
                .map_or(SMALL, |e| usize::from(e.max_payload()))
                .max(SMALL),
            Over::Tcp => usize::from(u16::MAX),
        };
        let mut out = message.to_vec().unwrap_or_default();
        if out.len() > most || out.is_empty() {
            let mut small = Message::new(message.metadata.id, MessageType::Response, OpCode::Query);
            small.metadata.truncation = true;
            small.add_query(query);
            out = small.to_vec().unwrap_or_default();
        }
        if has(&Lie::Rubbish) {
            out.truncate(2);
            out.extend_from_slice(&[0xff; 9]);
        }
        let half = (has(&Lie::HalfTcp) && over == Over::Tcp).then_some(2 + out.len() / 2);
        let late = lies.iter().find_map(|l| {
            if let Lie::Late(ms) = l {
                Some(*ms)
            } else {
                None
            }
        });
        let reply = Reply {
            after: Duration::from_millis(late.unwrap_or(0)),
            bytes: out,
            other_port: has(&Lie::OtherPort),
            drip: has(&Lie::Drip),
            cut: half,
            then: if half.is_some() {
                Then::Silence
            } else {
                Then::Stay
            },
        };
        let times = if has(&Lie::Twice) { 2 } else { 1 };
        vec![reply; times]
    }

    fn lies(&mut self, text: &str, kind: &str) -> Vec<Lie> {
        let fits = |rule: &Rule| {
            let same = |own: &Option<String>, other: &str| {
                own.as_deref()
                    .is_none_or(|o| o.trim_end_matches('.').eq_ignore_ascii_case(other))
            };
            same(&rule.name, text) && same(&rule.kind, kind)
        };
        let mut lies = Vec::new();
        for (n, rule) in self.script.rule.iter().enumerate().filter(|(_, r)| fits(r)) {
            let count = self.fits.entry(n).or_default();
            if *count >= rule.from && rule.to.is_none_or(|to| *count < to) {
                lies.push(rule.lie.clone());
            }
            *count += 1;
        }
        lies
    }

    /// The zone's honest answer.
    fn fill(&self, message: &mut Message, query: &Query) {
        let mut owner = query.name().to_lowercase();
        let mut exists = false;
        for _ in 0..MOST_ALIASES {
            let records: Vec<Record> = self.records(&owner).collect();
            exists |= !records.is_empty();
            let kind = |r: &&Record| r.data.record_type() == query.query_type();
            if records.iter().any(|r| kind(&r)) {
                message.add_answers(records.into_iter().filter(|r| kind(&r)));
                break;
            }
            let alias = records
                .into_iter()
                .find(|r| r.data.record_type() == RecordType::CNAME);
            let Some(alias) = alias else { break };
            if let RData::CNAME(CNAME(to)) = &alias.data {
                owner = to.to_lowercase();
            }
            message.add_answer(alias);
            if !self.script.chase {
                break;
            }
        }
        let found = message
            .answers
            .iter()
            .any(|r| r.data.record_type() == query.query_type());
        if !found && (message.answers.is_empty() || self.script.chase) {
            if !exists {
                message.metadata.response_code = ResponseCode::NXDomain;
            }
            if let Some((zone, data)) = self.script.minimum.and_then(|m| soa(&owner, m)) {
                let ttl = self.script.minimum.unwrap_or(0);
                message.add_authority(Record::from_rdata(zone, ttl, data));
            }
        }
        if self.script.additional {
            let targets: Vec<Name> = message.answers.iter().filter_map(target).collect();
            for to in targets {
                let addrs = self.records(&to.to_lowercase());
                message.add_additionals(
                    addrs.filter(|r| {
                        matches!(r.data.record_type(), RecordType::A | RecordType::AAAA)
                    }),
                );
            }
        }
    }

    fn records(&self, owner: &Name) -> impl Iterator<Item = Record> + '_ {
        self.zone.get(owner).into_iter().flatten().cloned()
    }
}

fn target(record: &Record) -> Option<Name> {
    match &record.data {
        RData::SRV(srv) => Some(srv.target.clone()),
        _ => None,
    }
}

fn distort(message: &mut Message, lie: &Lie, over: Over) {
    let bare = |message: &mut Message| {
        message.answers.clear();
        message.authorities.clear();
        message.additionals.clear();
    };
    match lie {
        Lie::Truncate if over == Over::Udp => {
            message.metadata.truncation = true;
            bare(message);
        }
        Lie::TruncateTcp if over == Over::Tcp => {
            message.metadata.truncation = true;
            bare(message);
        }
        Lie::OtherQuestion => {
            if let (Some(query), Ok(other)) =
                (message.queries.first_mut(), name("other.example.test"))
            {
                query.set_name(other);
            }
        }
        Lie::WrongId => message.metadata.id = message.metadata.id.wrapping_add(1),
        Lie::Ttl(ttl) => {
            message
                .answers
                .iter_mut()
                .chain(&mut message.additionals)
                .for_each(|r| r.ttl = *ttl);
        }
        Lie::Empty => bare(message),
        Lie::NxDomain => {
            bare(message);
            message.metadata.response_code = ResponseCode::NXDomain;
        }
        Lie::Code(code) => {
            bare(message);
            message.metadata.response_code = ResponseCode::from(0, (*code & 15) as u8);
        }
        Lie::Loop => {
            bare(message);
            let (Some(own), Ok(other)) =
                (message.queries.first().cloned(), name("loop.example.test"))
            else {
                return;
            };
            let own = own.name().clone();
            let there = Record::from_rdata(own.clone(), 30, RData::CNAME(CNAME(other.clone())));
            let back = Record::from_rdata(other, 30, RData::CNAME(CNAME(own)));
            message.add_answers([there, back]);
        }
        Lie::Refer => {
            bare(message);
            if let Ok(zone) = name("test") {
                message.add_authority(Record::from_rdata(zone.clone(), 30, RData::NS(NS(zone))));
            }
        }
        Lie::Stuff => {
            if let Ok(other) = name("victim.example.test") {
                let data = RData::A(A(Ipv4Addr::new(127, 0, 0, 66)));
                message.add_additional(Record::from_rdata(other, 30, data));
            }
        }
        _ => {}
    }
}
