//! The script of a stub server: a zone, and rules that say which replies are faulty.

use crate::error::ScriptError;
use serde::Deserialize;
use std::net::SocketAddr;

/// Priority and weight of the SRV records that [`Script::service`] makes.
const DEFAULT_PRIORITY_AND_WEIGHT: &str = "10 10";

/// What a stub server answers, as TOML.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Script")]
pub struct Script {
    /// The records of the zone.
    #[serde(default, rename = "record")]
    pub records: Vec<ZoneRecord>,
    /// The faults. All rules that match a question apply, in order.
    #[serde(default, rename = "rule")]
    pub rules: Vec<FaultRule>,
    /// Whether answers to SRV questions have the addresses of their targets in the additional section.
    #[serde(default = "default_true", rename = "additional")]
    pub adds_addresses: bool,
    /// Whether answers follow aliases to their end.
    #[serde(default = "default_true", rename = "chase")]
    pub follows_aliases: bool,
    /// The shortest time to live of negative answers in the zone's SOA, in seconds; without it there is no SOA.
    #[serde(rename = "minimum")]
    pub negative_ttl: Option<u32>,
}

fn default_true() -> bool {
    true
}

/// One record.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Record")]
pub struct ZoneRecord {
    /// The name that has the record.
    pub name: String,
    /// SRV, A, AAAA, CNAME or NS.
    #[serde(rename = "type")]
    pub record_type: String,
    /// The time to live, in seconds.
    pub ttl: u32,
    /// The data as zone files have it: "priority weight port target", an address, or a name.
    pub data: String,
}

/// When a reply is faulty, and how.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Rule")]
pub struct FaultRule {
    /// Only for questions of this name.
    pub name: Option<String>,
    /// Only for questions of this type.
    #[serde(rename = "type")]
    pub record_type: Option<String>,
    /// Only from the question of this number among those that match, counted from 0 ...
    #[serde(default)]
    pub from: usize,
    /// ... to the one before this.
    pub to: Option<usize>,
    /// The fault.
    #[serde(rename = "lie")]
    pub fault: FaultyReply,
}

/// What is wrong with a reply. Scripts have the names in kebab-case.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", expecting = "enum Lie")]
pub enum FaultyReply {
    /// Over UDP it has only the header, with the mark of truncation.
    Truncate,
    /// The same over TCP.
    TruncateTcp,
    /// It comes this many milliseconds late.
    #[serde(rename = "late")]
    Delay(u64),
    /// It comes twice.
    #[serde(rename = "twice")]
    Duplicate,
    /// It has another question than was asked.
    OtherQuestion,
    /// It has another id.
    WrongId,
    /// It comes from another port.
    OtherPort,
    /// Its records have this time to live, in seconds.
    Ttl(u32),
    /// It has no records.
    Empty,
    /// It says that there is no such name.
    NxDomain,
    /// It has this response code, such as 2 for SERVFAIL.
    #[serde(rename = "code")]
    ResponseCode(u16),
    /// It says that the name is an alias of itself, by way of another.
    #[serde(rename = "loop")]
    AliasLoop,
    /// Over TCP only the first half comes, and then nothing.
    HalfTcp,
    /// Over TCP it comes byte by byte.
    #[serde(rename = "drip")]
    ByteByByte,
    /// Its bytes are no message, but for the id.
    #[serde(rename = "rubbish")]
    Garbage,
    /// It names other servers to ask.
    #[serde(rename = "refer")]
    Referral,
    /// It has an address that nobody asked for.
    #[serde(rename = "stuff")]
    UnrelatedAddress,
    /// There is none.
    #[serde(rename = "silent")]
    NoReply,
}

impl Script {
    /// Reads and checks the text of a script.
    ///
    /// # Errors
    /// Names the key and its line, or the record.
    pub fn read(text: &str) -> Result<Script, ScriptError> {
        let script: Script = toml::from_str(text).map_err(Box::new)?;
        for record in &script.records {
            if let Err(source) = record.to_rdata() {
                let name = record.name.clone();
                return Err(ScriptError::Record { name, source });
            }
        }
        Ok(script)
    }

    /// A service with targets at these addresses, named `s0.example.test` and so on; each record has this time to live, in
    /// seconds.
    pub fn service(name: &str, ttl: u32, servers: &[SocketAddr]) -> Script {
        let mut script = Script {
            adds_addresses: true,
            follows_aliases: true,
            ..Script::default()
        };
        for (index, address) in servers.iter().enumerate() {
            let target = format!("s{index}.example.test");
            let port = address.port();
            script.records.push(ZoneRecord {
                name: name.into(),
                record_type: "SRV".into(),
                ttl,
                data: format!("{DEFAULT_PRIORITY_AND_WEIGHT} {port} {target}"),
            });
            let address_type = if address.is_ipv4() { "A" } else { "AAAA" };
            script.records.push(ZoneRecord {
                name: target,
                record_type: address_type.into(),
                ttl,
                data: address.ip().to_string(),
            });
        }
        script
    }

    /// The same script with a fault in all replies.
    pub fn with_fault(mut self, fault: FaultyReply) -> Script {
        self.rules.push(FaultRule {
            name: None,
            record_type: None,
            from: 0,
            to: None,
            fault,
        });
        self
    }
}

impl FaultRule {
    /// Whether a question matches the rule.
    pub(crate) fn matches(&self, name: &str, record_type: &str) -> bool {
        let is_same = |own: &Option<String>, other: &str| {
            own.as_deref()
                .is_none_or(|own| own.trim_end_matches('.').eq_ignore_ascii_case(other))
        };
        is_same(&self.name, name) && is_same(&self.record_type, record_type)
    }

    /// Whether the rule applies to the matching question of this number.
    pub(crate) fn applies_to(&self, number: usize) -> bool {
        number >= self.from && self.to.is_none_or(|end| number < end)
    }
}
