//! The zone of a stub server, and the correct answers from it.

use crate::error::RecordError;
use crate::script::{Script, ZoneRecord};
use hickory_proto::op::{Message, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, NS, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::str::FromStr;

/// How many aliases are followed.
const MAX_ALIASES: usize = 16;
/// How many labels the name of the zone has.
const ZONE_LABELS: usize = 2;
const SRV_DATA: &str = "PRIORITY WEIGHT PORT TARGET";
/// Refresh, retry and expiry of the zone's SOA, in seconds; no resolver reads them.
const SOA_INTERVAL_S: i32 = 60;
const SOA_SERIAL: u32 = 1;

/// The records of a script.
#[derive(Debug, Default)]
pub(crate) struct Zone {
    records: BTreeMap<Name, Vec<Record>>,
    adds_addresses: bool,
    follows_aliases: bool,
    negative_ttl: Option<u32>,
}

impl Zone {
    /// The zone of a script. Records that can't be understood are left out.
    pub(crate) fn new(script: &Script) -> Zone {
        let mut records: BTreeMap<Name, Vec<Record>> = BTreeMap::new();
        for record in &script.records {
            if let (Ok(owner), Ok(data)) = (parse_name(&record.name), record.to_rdata()) {
                let own_records = records.entry(owner.to_lowercase()).or_default();
                own_records.push(Record::from_rdata(owner, record.ttl, data));
            }
        }
        Zone {
            records,
            adds_addresses: script.adds_addresses,
            follows_aliases: script.follows_aliases,
            negative_ttl: script.negative_ttl,
        }
    }

    /// Adds the correct answer to a question to a message.
    pub(crate) fn answer(&self, message: &mut Message, query: &Query) {
        let end = self.add_answers(message, query);
        let has_answer = message
            .answers
            .iter()
            .any(|record| record.data.record_type() == query.query_type());
        if !has_answer && (message.answers.is_empty() || self.follows_aliases) {
            self.add_negative_answer(message, &end);
        }
        if self.adds_addresses {
            self.add_addresses(message);
        }
    }

    /// Adds the records that answer the question, and the aliases on the way to them.
    fn add_answers(&self, message: &mut Message, query: &Query) -> AliasEnd {
        let mut end = AliasEnd {
            name: query.name().to_lowercase(),
            exists: false,
        };
        for _ in 0..MAX_ALIASES {
            let records: Vec<Record> = self.records(&end.name).collect();
            end.exists |= !records.is_empty();
            let is_wanted = |record: &Record| record.data.record_type() == query.query_type();
            if records.iter().any(is_wanted) {
                message.add_answers(records.into_iter().filter(is_wanted));
                break;
            }
            let alias = records
                .into_iter()
                .find(|record| record.data.record_type() == RecordType::CNAME);
            let Some(alias) = alias else {
                break;
            };
            if let RData::CNAME(CNAME(target)) = &alias.data {
                end.name = target.to_lowercase();
            }
            message.add_answer(alias);
            if !self.follows_aliases {
                break;
            }
        }
        end
    }

    /// Says that the name does not exist or has no such records.
    fn add_negative_answer(&self, message: &mut Message, end: &AliasEnd) {
        if !end.exists {
            message.metadata.response_code = ResponseCode::NXDomain;
        }
        if let Some(ttl) = self.negative_ttl {
            if let Some(soa) = soa_record(&end.name, ttl) {
                message.add_authority(soa);
            }
        }
    }

    /// Adds the addresses of the targets to the additional section.
    fn add_addresses(&self, message: &mut Message) {
        let targets: Vec<Name> = message.answers.iter().filter_map(srv_target).collect();
        for target in targets {
            let records = self.records(&target.to_lowercase());
            message.add_additionals(records.filter(is_address));
        }
    }

    fn records(&self, owner: &Name) -> impl Iterator<Item = Record> + '_ {
        self.records.get(owner).into_iter().flatten().cloned()
    }
}

/// Where the aliases of a name lead.
struct AliasEnd {
    name: Name,
    /// Whether any name on the way has records.
    exists: bool,
}

fn srv_target(record: &Record) -> Option<Name> {
    match &record.data {
        RData::SRV(srv) => Some(srv.target.clone()),
        _ => None,
    }
}

fn is_address(record: &Record) -> bool {
    matches!(record.data.record_type(), RecordType::A | RecordType::AAAA)
}

impl ZoneRecord {
    /// The data of the record.
    ///
    /// # Errors
    /// Where the data does not fit the type, or the type is unknown.
    pub(crate) fn to_rdata(&self) -> Result<RData, RecordError> {
        let invalid = |expected| RecordError::Data {
            expected,
            data: self.data.clone(),
        };
        match self.record_type.as_str() {
            "SRV" => self.to_srv(),
            "A" => {
                let address = self.data.parse().map_err(|_| invalid("an IPv4 address"))?;
                Ok(RData::A(A(address)))
            }
            "AAAA" => {
                let address = self.data.parse().map_err(|_| invalid("an IPv6 address"))?;
                Ok(RData::AAAA(AAAA(address)))
            }
            "CNAME" => Ok(RData::CNAME(CNAME(parse_name(&self.data)?))),
            "NS" => Ok(RData::NS(NS(parse_name(&self.data)?))),
            other => Err(RecordError::Type(other.to_string())),
        }
    }

    fn to_srv(&self) -> Result<RData, RecordError> {
        let invalid = || RecordError::Data {
            expected: SRV_DATA,
            data: self.data.clone(),
        };
        let mut fields = self.data.split_whitespace();
        let mut next_number = || {
            let number = fields.next().and_then(|field| field.parse::<u16>().ok());
            number.ok_or_else(invalid)
        };
        let priority = next_number()?;
        let weight = next_number()?;
        let port = next_number()?;
        let target = parse_name(fields.next().ok_or_else(invalid)?)?;
        Ok(RData::SRV(SRV::new(priority, weight, port, target)))
    }
}

/// Parses a name of the script.
pub(crate) fn parse_name(text: &str) -> Result<Name, RecordError> {
    let mut name = Name::from_str(text).map_err(|error| RecordError::Name {
        name: text.to_string(),
        reason: error.to_string(),
    })?;
    name.set_fqdn(true);
    Ok(name)
}

/// The SOA of the zone that is the last two labels of a name.
fn soa_record(name: &Name, negative_ttl: u32) -> Option<Record> {
    let zone = name.trim_to(ZONE_LABELS);
    let host = Name::from_str("ns.").ok()?;
    let soa = SOA::new(
        host.clone(),
        host,
        SOA_SERIAL,
        SOA_INTERVAL_S,
        SOA_INTERVAL_S,
        SOA_INTERVAL_S,
        negative_ttl,
    );
    Some(Record::from_rdata(zone, negative_ttl, RData::SOA(soa)))
}
