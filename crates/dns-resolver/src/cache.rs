//! Caches answers for their TTLs.
//!
//! Expired answers stay in the cache and are served as stale while they can't be refreshed (RFC 8767). There is no time
//! limit on stale answers, because a failed lookup must never remove an endpoint.

use crate::answer::{interpret, AnswerContent};
use crate::config::{AddressFamily, Micros, TtlBounds};
use crate::error::AliasError;
use crate::message::{DnsResponse, Question, RecordData};
use std::collections::{BTreeMap, BTreeSet};

/// A cached answer.
#[derive(Clone, Debug)]
pub(crate) struct CacheEntry {
    pub(crate) content: AnswerContent,
    pub(crate) expires_at: Micros,
}

/// The addresses of one target from an additional section.
struct AdditionalAddresses {
    records: Vec<RecordData>,
    /// The shortest TTL of the records, in seconds.
    ttl_s: u32,
}

/// The cached answers, by question.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    entries: BTreeMap<Question, CacheEntry>,
}

impl Cache {
    /// The cached answer, fresh or stale.
    pub(crate) fn get(&self, question: &Question) -> Option<&CacheEntry> {
        self.entries.get(question)
    }

    /// The cached answer, if it has not expired.
    pub(crate) fn get_fresh(&self, question: &Question, now: Micros) -> Option<&CacheEntry> {
        self.get(question).filter(|entry| entry.expires_at > now)
    }

    /// Drops all answers except those to the questions in `used`.
    pub(crate) fn retain(&mut self, used: &[Question]) {
        if self.entries.len() > used.len() {
            let used: BTreeSet<&Question> = used.iter().collect();
            self.entries.retain(|question, _| used.contains(question));
        }
    }

    /// Caches the answer of a response.
    ///
    /// # Errors
    /// If the aliases in the response form a loop or are too many.
    pub(crate) fn insert(
        &mut self,
        now: Micros,
        question: &Question,
        response: &DnsResponse,
        bounds: &TtlBounds,
    ) -> Result<(), AliasError> {
        let answer = interpret(question, response)?;
        let ttl = match answer.content {
            AnswerContent::Empty(_) => bounds.clamp_negative_ttl(answer.ttl_s),
            _ => bounds.clamp_record_ttl(answer.ttl_s),
        };
        if let (Question::Srv(_), AnswerContent::Records(records)) = (question, &answer.content) {
            self.insert_additionals(now, response, records, bounds);
        }
        let entry = CacheEntry {
            content: answer.content,
            expires_at: now.saturating_add(ttl),
        };
        self.entries.insert(question.clone(), entry);
        Ok(())
    }

    /// Caches addresses from the additional section. Accepts only addresses of targets in the same response, and only if
    /// no fresh answer is cached, because an answer to a direct query is more trustworthy (RFC 2181, section 5.4.1).
    fn insert_additionals(
        &mut self,
        now: Micros,
        response: &DnsResponse,
        records: &[RecordData],
        bounds: &TtlBounds,
    ) {
        for (question, addresses) in additional_addresses(response, records) {
            if addresses.records.is_empty() || self.get_fresh(&question, now).is_some() {
                continue;
            }
            let entry = CacheEntry {
                content: AnswerContent::Records(addresses.records),
                expires_at: now.saturating_add(bounds.clamp_record_ttl(addresses.ttl_s)),
            };
            self.entries.insert(question, entry);
        }
    }
}

/// The addresses in the additional section by the question that they answer. If there are any, the map has a question for
/// each family of each target, possibly without addresses.
fn additional_addresses(
    response: &DnsResponse,
    records: &[RecordData],
) -> BTreeMap<Question, AdditionalAddresses> {
    let mut by_question = BTreeMap::new();
    let is_address = |data: &RecordData| matches!(data, RecordData::Address(_));
    if !response
        .additionals
        .iter()
        .any(|record| is_address(&record.data))
    {
        return by_question;
    }
    for record in records {
        let RecordData::Srv { target, .. } = record else {
            continue;
        };
        for family in [AddressFamily::V4, AddressFamily::V6] {
            let no_addresses = AdditionalAddresses {
                records: Vec::new(),
                ttl_s: u32::MAX,
            };
            by_question.insert(Question::Address(target.clone(), family), no_addresses);
        }
    }
    for record in &response.additionals {
        let RecordData::Address(address) = record.data else {
            continue;
        };
        let family = if address.is_ipv4() {
            AddressFamily::V4
        } else {
            AddressFamily::V6
        };
        let question = Question::Address(record.owner.clone(), family);
        if let Some(addresses) = by_question.get_mut(&question) {
            addresses.records.push(record.data.clone());
            addresses.ttl_s = addresses.ttl_s.min(record.ttl);
        }
    }
    by_question
}
