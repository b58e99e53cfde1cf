//! The script of a stub server: the records of a zone, and the rules that inject faults into replies.

use crate::error::ScriptError;
use serde::Deserialize;
use std::net::SocketAddr;

/// Priority and weight of the SRV records that [`Script::service`] creates.
const DEFAULT_PRIORITY_AND_WEIGHT: &str = "10 10";

/// The zone and the faults of a stub server, read from TOML.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Script")]
pub struct Script {
    /// In TOML, one `[[record]]` table each; empty if there is none.
    #[serde(default, rename = "record")]
    pub records: Vec<ZoneRecord>,
    /// The fault rules. All rules that match a question are applied, in order.
    #[serde(default, rename = "rule")]
    pub rules: Vec<FaultRule>,
    /// Whether answers to SRV questions include the addresses of the targets in the additional section.
    #[serde(default = "default_true", rename = "additional")]
    pub adds_addresses: bool,
    /// Whether an answer includes the complete chain of aliases and the records at its end. If not, it has only the
    /// first alias.
    #[serde(default = "default_true", rename = "chase")]
    pub follows_aliases: bool,
    /// The TTL of negative answers in the zone's SOA record, in seconds; `None` omits the SOA record.
    #[serde(rename = "minimum")]
    pub negative_ttl: Option<u32>,
}

fn default_true() -> bool {
    true
}

/// A `[[record]]` table of a script.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Record")]
pub struct ZoneRecord {
    /// The owner name of the record.
    pub name: String,
    /// The record type: SRV, A, AAAA, CNAME or NS.
    #[serde(rename = "type")]
    pub record_type: String,
    /// The TTL in seconds.
    pub ttl: u32,
    /// The data in zone file format: "priority weight port target", an address, or a name.
    pub data: String,
}

/// A fault and the questions to whose replies it applies.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Rule")]
pub struct FaultRule {
    /// The queried name; `None` matches all names.
    pub name: Option<String>,
    /// The queried record type; `None` matches all types.
    #[serde(rename = "type")]
    pub record_type: Option<String>,
    /// The first matching question to which the fault applies, counted from 0.
    #[serde(default)]
    pub from: usize,
    /// The first matching question to which the fault no longer applies; `None` for no end.
    pub to: Option<usize>,
    /// The fault in the replies.
    #[serde(rename = "lie")]
    pub fault: FaultyReply,
}

/// A fault in a reply. Scripts use the names in kebab-case unless an attribute renames them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", expecting = "enum Lie")]
pub enum FaultyReply {
    /// Over UDP the reply is truncated: the TC bit is set and all records are removed.
    Truncate,
    /// Over TCP the reply is truncated in the same way.
    TruncateTcp,
    /// The reply is delayed by this many milliseconds.
    #[serde(rename = "late")]
    Delay(u64),
    /// The reply is sent twice.
    #[serde(rename = "twice")]
    Duplicate,
    /// The reply has a different question than the query.
    OtherQuestion,
    /// The reply has a different id than the query.
    WrongId,
    /// The reply is sent from a different port.
    OtherPort,
    /// All answers and additional records have this TTL, in seconds.
    Ttl(u32),
    /// The reply has no records.
    Empty,
    /// The reply has the response code NXDOMAIN and no records.
    NxDomain,
    /// The reply has this response code, such as 2 for SERVFAIL, and no records.
    #[serde(rename = "code")]
    ResponseCode(u16),
    /// The queried name is an alias of another name, which is an alias of the queried name.
    #[serde(rename = "loop")]
    AliasLoop,
    /// Over TCP only the first half of the reply is sent, and the connection stays open.
    HalfTcp,
    /// Over TCP the reply is sent byte by byte.
    #[serde(rename = "drip")]
    ByteByByte,
    /// The bytes after the id are not a DNS message.
    #[serde(rename = "rubbish")]
    Garbage,
    /// The reply is a referral to other name servers.
    #[serde(rename = "refer")]
    Referral,
    /// The additional section has an unrelated address that was not queried.
    #[serde(rename = "stuff")]
    UnrelatedAddress,
    /// No reply is sent.
    #[serde(rename = "silent")]
    NoReply,
}

impl Script {
    /// Parses and validates a script.
    ///
    /// # Errors
    /// If the text is not valid; the error names the key and its line, or the record.
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

    /// A service with targets at these addresses, named `s0.example.test` and so on; `ttl` is the TTL of all records in
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

    /// Adds a rule that applies this fault to all replies.
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
    /// Whether a question has the name and the type of the rule.
    pub(crate) fn matches(&self, name: &str, record_type: &str) -> bool {
        let matches_filter = |filter: &Option<String>, value: &str| {
            filter
                .as_deref()
                .is_none_or(|filter| filter.trim_end_matches('.').eq_ignore_ascii_case(value))
        };
        matches_filter(&self.name, name) && matches_filter(&self.record_type, record_type)
    }

    /// Whether the fault applies to the matching question with this number, counted from 0.
    pub(crate) fn applies_to(&self, number: usize) -> bool {
        number >= self.from && self.to.is_none_or(|end| number < end)
    }
}
