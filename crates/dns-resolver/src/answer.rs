//! What a response says: records, an alias, or that there is nothing (RFC 2308).

use crate::error::AliasError;
use crate::lookup::EmptyReason;
use crate::message::{response_code, DnsRecord, DnsResponse, Question, RecordData};

/// How many aliases are followed from one name to another.
pub(crate) const MAX_ALIASES: usize = 8;

/// The content of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerContent {
    /// Records of the kind that was asked for.
    Records(Vec<RecordData>),
    /// The name is an alias of this one, which must be asked for.
    Alias(String),
    /// There are no such records.
    Empty(EmptyReason),
}

/// An answer to a question.
#[derive(Debug)]
pub(crate) struct InterpretedAnswer {
    pub(crate) content: AnswerContent,
    /// The shortest time to live of the records on the way to the content, in seconds.
    pub(crate) ttl_s: u32,
}

/// The aliases that a response has from the name that was asked for.
struct AliasChain {
    /// The names that were followed.
    followed: Vec<String>,
    /// The name at the end.
    name: String,
    ttl_s: u32,
}

impl AliasChain {
    /// Goes on to the name of which the present one is an alias.
    fn follow(&mut self, target: &str, ttl_s: u32, question: &Question) -> Result<(), AliasError> {
        let alias = std::mem::replace(&mut self.name, target.to_string());
        self.followed.push(alias);
        self.ttl_s = self.ttl_s.min(ttl_s);
        if self.followed.contains(&self.name) {
            return Err(AliasError::Loop {
                name: self.name.clone(),
            });
        }
        if self.followed.len() > MAX_ALIASES {
            return Err(AliasError::TooMany {
                name: question.name().to_string(),
            });
        }
        Ok(())
    }
}

/// Interprets a response, with the aliases in it followed.
///
/// # Errors
/// Where the aliases lead nowhere.
pub(crate) fn interpret(
    question: &Question,
    response: &DnsResponse,
) -> Result<InterpretedAnswer, AliasError> {
    let mut chain = AliasChain {
        followed: Vec::new(),
        name: question.name().to_string(),
        ttl_s: u32::MAX,
    };
    loop {
        let own_records = response
            .answers
            .iter()
            .filter(|record| record.owner == chain.name);
        let wanted: Vec<&DnsRecord> = own_records
            .clone()
            .filter(|record| question.is_answered_by(&record.data))
            .collect();
        if !wanted.is_empty() {
            return Ok(with_records(&wanted, chain.ttl_s));
        }
        let alias = own_records.clone().find_map(|record| match &record.data {
            RecordData::Alias(target) => Some((target, record.ttl)),
            _ => None,
        });
        let Some((target, ttl_s)) = alias else {
            return Ok(without_records(response, chain));
        };
        chain.follow(target, ttl_s, question)?;
    }
}

fn with_records(records: &[&DnsRecord], chain_ttl_s: u32) -> InterpretedAnswer {
    let ttl_s = records.iter().map(|record| record.ttl).min();
    let data = records.iter().map(|record| record.data.clone());
    InterpretedAnswer {
        content: AnswerContent::Records(data.collect()),
        ttl_s: ttl_s.unwrap_or(u32::MAX).min(chain_ttl_s),
    }
}

/// The answer where a response has no wanted record of the name at the end of the aliases.
fn without_records(response: &DnsResponse, chain: AliasChain) -> InterpretedAnswer {
    let negative_ttl_s = negative_ttl(response, &chain.name);
    let empty = |reason| InterpretedAnswer {
        content: AnswerContent::Empty(reason),
        ttl_s: chain.ttl_s.min(negative_ttl_s.unwrap_or(0)),
    };
    if response.code == response_code::NX_DOMAIN {
        return empty(EmptyReason::NoSuchName);
    }
    if chain.followed.is_empty() || negative_ttl_s.is_some() {
        return empty(EmptyReason::NoSuchRecords);
    }
    InterpretedAnswer {
        content: AnswerContent::Alias(chain.name),
        ttl_s: chain.ttl_s,
    }
}

/// The time to live of a negative answer for a name, in seconds, where the response says it.
fn negative_ttl(response: &DnsResponse, name: &str) -> Option<u32> {
    response
        .authorities
        .iter()
        .find_map(|record| match record.data {
            RecordData::NegativeTtl(ttl_s) if is_in_zone(name, &record.owner) => {
                Some(ttl_s.min(record.ttl))
            }
            _ => None,
        })
}

/// Whether a name is a zone's own or below it.
fn is_in_zone(name: &str, zone: &str) -> bool {
    if zone.is_empty() || name == zone {
        return true;
    }
    name.strip_suffix(zone)
        .is_some_and(|prefix| prefix.ends_with('.'))
}
