//! The script: a zone, and rules that say which answers are lies.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use hickory_proto::rr::rdata::{A, AAAA, CNAME, NS, SOA, SRV};
use hickory_proto::rr::{Name, RData};
use serde::Deserialize;
use std::str::FromStr;

/// What the stand-in is told, as TOML.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The records it knows.
    #[serde(default)]
    pub record: Vec<Record>,
    /// What it does wrong; all rules that fit a question apply, in order.
    #[serde(default)]
    pub rule: Vec<Rule>,
    /// Answers to SRV questions bring the addresses of their targets along.
    #[serde(default = "yes")]
    pub additional: bool,
    /// Answers follow aliases to their end.
    #[serde(default = "yes")]
    pub chase: bool,
    /// The least lifetime of negative answers in the zone's SOA, in seconds; none sends no SOA.
    pub minimum: Option<u32>,
}

fn yes() -> bool {
    true
}

/// One record.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Its owner.
    pub name: String,
    /// SRV, A, AAAA or CNAME.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its lifetime, in seconds.
    pub ttl: u32,
    /// As zone files have it: "priority weight port target", an address, or a name.
    pub data: String,
}

/// When a lie is told.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Only for questions of this name.
    pub name: Option<String>,
    /// Only for questions of this type.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// Only for the n-th question that fits, counted from 0, and those after it ...
    #[serde(default)]
    pub from: usize,
    /// ... but not for this one and those after it.
    pub to: Option<usize>,
    /// What is done.
    pub lie: Lie,
}

/// What a stand-in does wrong.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Lie {
    /// Over UDP, nothing but the head with the mark of truncation.
    Truncate,
    /// The same over TCP.
    TruncateTcp,
    /// Answer so many milliseconds late.
    Late(u64),
    /// Answer twice.
    Twice,
    /// Repeat another question than was asked.
    OtherQuestion,
    /// Answer with another id.
    WrongId,
    /// Answer from another port.
    OtherPort,
    /// Lifetimes of so many seconds.
    Ttl(u32),
    /// No records.
    Empty,
    /// No such name.
    NxDomain,
    /// This response code, such as 2 for SERVFAIL.
    Code(u16),
    /// The name is an alias of itself, over one more.
    Loop,
    /// Over TCP, half a message and then silence.
    HalfTcp,
    /// Over TCP, byte by byte.
    Drip,
    /// Bytes that are no message, but for the id.
    Rubbish,
    /// Refer to other servers.
    Refer,
    /// Addresses that nobody asked for.
    Stuff,
    /// Nothing at all.
    Silent,
}

impl Script {
    /// Reads a script; an error names the key and its line.
    pub fn read(text: &str) -> Result<Script, String> {
        let script: Script = toml::from_str(text).map_err(|e| e.to_string())?;
        for record in &script.record {
            record
                .data()
                .map_err(|e| format!("record of {}: {e}", record.name))?;
        }
        Ok(script)
    }

    /// A service with targets at these addresses, all named in one way, each record with this lifetime.
    pub fn service(name: &str, ttl: u32, servers: &[std::net::SocketAddr]) -> Script {
        let mut script = Script {
            additional: true,
            chase: true,
            ..Script::default()
        };
        for (n, addr) in servers.iter().enumerate() {
            let target = format!("s{n}.example.test");
            let data = format!("10 10 {} {target}", addr.port());
            script.record.push(Record {
                name: name.into(),
                kind: "SRV".into(),
                ttl,
                data,
            });
            let kind = if addr.is_ipv4() { "A" } else { "AAAA" };
            script.record.push(Record {
                name: target,
                kind: kind.into(),
                ttl,
                data: addr.ip().to_string(),
            });
        }
        script
    }

    /// The same with one more rule for all questions.
    pub fn lying(mut self, lie: Lie) -> Script {
        self.rule.push(Rule {
            name: None,
            kind: None,
            from: 0,
            to: None,
            lie,
        });
        self
    }
}

impl Record {
    pub(crate) fn data(&self) -> Result<RData, String> {
        let bad = |what: &str| format!("data: expected {what}, not '{}'", self.data);
        let mut parts = self.data.split_whitespace();
        let mut number = || parts.next().and_then(|p| p.parse::<u16>().ok());
        Ok(match self.kind.as_str() {
            "SRV" => {
                let numbers = (number(), number(), number());
                let (Some(priority), Some(weight), Some(port)) = numbers else {
                    return Err(bad("PRIORITY WEIGHT PORT TARGET"));
                };
                let target = parts
                    .next()
                    .ok_or_else(|| bad("PRIORITY WEIGHT PORT TARGET"))?;
                RData::SRV(SRV::new(priority, weight, port, name(target)?))
            }
            "A" => RData::A(A(self.data.parse().map_err(|_| bad("an IPv4 address"))?)),
            "AAAA" => RData::AAAA(AAAA(self.data.parse().map_err(|_| bad("an IPv6 address"))?)),
            "CNAME" => RData::CNAME(CNAME(name(&self.data)?)),
            "NS" => RData::NS(NS(name(&self.data)?)),
            kind => {
                return Err(format!(
                    "type: expected SRV, A, AAAA, CNAME or NS, not '{kind}'"
                ))
            }
        })
    }
}

pub(crate) fn name(text: &str) -> Result<Name, String> {
    let mut name =
        Name::from_str(text).map_err(|e| format!("expected a name, not '{text}' ({e})"))?;
    name.set_fqdn(true);
    Ok(name)
}

/// The SOA of the zone that is the last two labels of a name.
pub(crate) fn soa(of: &Name, minimum: u32) -> Option<(Name, RData)> {
    let zone = of.trim_to(2);
    let host = Name::from_str("ns.").ok()?;
    let data = RData::SOA(SOA::new(host.clone(), host, 1, 60, 60, 60, minimum));
    Some((zone, data))
}
