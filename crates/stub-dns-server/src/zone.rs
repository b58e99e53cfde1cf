//! The zone of a stub server and its correct answers.

use crate::error::RecordError;
use crate::script::{Script, ZoneRecord};
use hickory_proto::op::{Message, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, NS, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::str::FromStr;

/// The largest number of aliases that an answer follows.
const MAX_ALIASES: usize = 16;
/// The name of the zone in an SOA record is this many last labels of the queried name.
const ZONE_LABELS: usize = 2;
/// The format of the data of an SRV record.
const SRV_DATA: &str = "PRIORITY WEIGHT PORT TARGET";
/// The refresh, retry and expire intervals in SOA records, in seconds; resolvers don't use them.
const SOA_INTERVAL_S: i32 = 60;
const SOA_SERIAL: u32 = 1;

/// The records and the zone settings of a script.
#[derive(Debug, Default)]
pub(crate) struct Zone {
    records: BTreeMap<Name, Vec<Record>>,
    adds_addresses: bool,
    follows_aliases: bool,
    negative_ttl: Option<u32>,
}

impl Zone {
    /// The zone of a script, without its invalid records.
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

    /// Fills a message with the correct answer to a question.
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

    /// Adds the records that answer the question, and the aliases that lead to them.
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

    /// Makes the message a negative answer: NXDOMAIN if the name does not exist, and an SOA record if the zone has one.
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

    /// Adds the addresses of SRV targets to the additional section.
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

/// The end of the alias chain of a name.
struct AliasEnd {
    name: Name,
    /// Whether any name in the chain has records.
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
    /// Parses the data of the record.
    ///
    /// # Errors
    /// If the data does not have the format of the type, or the type is not supported.
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

/// Parses a domain name from a script.
pub(crate) fn parse_name(text: &str) -> Result<Name, RecordError> {
    let mut name = Name::from_str(text).map_err(|error| RecordError::Name {
        name: text.to_string(),
        reason: error.to_string(),
    })?;
    name.set_fqdn(true);
    Ok(name)
}

/// The SOA record of the zone whose name is the last two labels of a name.
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
