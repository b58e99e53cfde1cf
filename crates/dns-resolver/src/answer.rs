//! Interprets a response: records, an alias, or a negative answer (RFC 2308).

use crate::error::AliasError;
use crate::lookup::EmptyReason;
use crate::message::{response_code, DnsRecord, DnsResponse, Question, RecordData};

/// Limit on the length of a chain of aliases.
pub(crate) const MAX_ALIASES: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerContent {
    /// Records of the queried type.
    Records(Vec<RecordData>),
    /// The queried name is an alias of this name, which must be queried next.
    Alias(String),
    /// There are no records of the queried type.
    Empty(EmptyReason),
}

/// The interpreted answer to a question.
#[derive(Debug)]
pub(crate) struct InterpretedAnswer {
    pub(crate) content: AnswerContent,
    /// The shortest TTL of the content and of the aliases that lead to it, in seconds.
    pub(crate) ttl_s: u32,
}

/// The chain of aliases in a response, starting at the queried name.
struct AliasChain {
    /// The aliases already followed.
    followed: Vec<String>,
    /// The current end of the chain.
    name: String,
    /// The shortest TTL of the aliases, in seconds.
    ttl_s: u32,
}

impl AliasChain {
    /// Extends the chain by the name of which its current end is an alias.
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

/// Interprets a response, following the aliases in it.
///
/// # Errors
/// If the aliases form a loop or are too many.
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
        let matching: Vec<&DnsRecord> = own_records
            .clone()
            .filter(|record| question.is_answered_by(&record.data))
            .collect();
        if !matching.is_empty() {
            return Ok(positive_answer(&matching, chain.ttl_s));
        }
        let alias = own_records.clone().find_map(|record| match &record.data {
            RecordData::Alias(target) => Some((target, record.ttl)),
            _ => None,
        });
        let Some((target, ttl_s)) = alias else {
            return Ok(alias_or_negative_answer(response, chain));
        };
        chain.follow(target, ttl_s, question)?;
    }
}

fn positive_answer(records: &[&DnsRecord], chain_ttl_s: u32) -> InterpretedAnswer {
    let ttl_s = records.iter().map(|record| record.ttl).min();
    let data = records.iter().map(|record| record.data.clone());
    InterpretedAnswer {
        content: AnswerContent::Records(data.collect()),
        ttl_s: ttl_s.unwrap_or(u32::MAX).min(chain_ttl_s),
    }
}

/// The answer if a response has no record of the queried type for the name at the end of the alias chain.
fn alias_or_negative_answer(response: &DnsResponse, chain: AliasChain) -> InterpretedAnswer {
    let negative_ttl_s = negative_ttl(response, &chain.name);
    let empty_answer = |reason| InterpretedAnswer {
        content: AnswerContent::Empty(reason),
        ttl_s: chain.ttl_s.min(negative_ttl_s.unwrap_or(0)),
    };
    if response.code == response_code::NX_DOMAIN {
        return empty_answer(EmptyReason::NoSuchName);
    }
    if chain.followed.is_empty() || negative_ttl_s.is_some() {
        return empty_answer(EmptyReason::NoSuchRecords);
    }
    InterpretedAnswer {
        content: AnswerContent::Alias(chain.name),
        ttl_s: chain.ttl_s,
    }
}

/// The TTL of a negative answer for a name in seconds (RFC 2308, section 5); `None` without a matching SOA record.
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

/// Whether a name is the zone's own name or a subdomain of it.
fn is_in_zone(name: &str, zone: &str) -> bool {
    if zone.is_empty() || name == zone {
        return true;
    }
    name.strip_suffix(zone)
        .is_some_and(|prefix| prefix.ends_with('.'))
}
