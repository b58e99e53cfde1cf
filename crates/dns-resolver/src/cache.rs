//! Answers stored for their times to live.
//!
//! Answers that have expired stay and are used while they can't be asked for again (RFC 8767). There is no limit on that,
//! because a failed look-up must never remove a server.

use crate::answer::{interpret, AnswerContent};
use crate::config::{AddressFamily, Micros, TtlBounds};
use crate::error::AliasError;
use crate::message::{DnsResponse, Question, RecordData};
use std::collections::{BTreeMap, BTreeSet};

/// A stored answer.
#[derive(Clone, Debug)]
pub(crate) struct CacheEntry {
    pub(crate) content: AnswerContent,
    pub(crate) expires_at: Micros,
}

/// The addresses of one target in an additional section.
struct AdditionalAddresses {
    records: Vec<RecordData>,
    /// The shortest time to live of the records, in seconds.
    ttl_s: u32,
}

/// The answers by their questions.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    entries: BTreeMap<Question, CacheEntry>,
}

impl Cache {
    /// The stored answer, fresh or stale.
    pub(crate) fn get(&self, question: &Question) -> Option<&CacheEntry> {
        self.entries.get(question)
    }

    /// The stored answer, if it has not expired.
    pub(crate) fn get_fresh(&self, question: &Question, now: Micros) -> Option<&CacheEntry> {
        self.get(question).filter(|entry| entry.expires_at > now)
    }

    /// Drops the answers to all but these questions.
    pub(crate) fn retain(&mut self, used: &[Question]) {
        if self.entries.len() > used.len() {
            let used: BTreeSet<&Question> = used.iter().collect();
            self.entries.retain(|question, _| used.contains(question));
        }
    }

    /// Stores the answer of a response.
    ///
    /// # Errors
    /// Where the response is no answer, since its aliases lead nowhere.
    pub(crate) fn insert(
        &mut self,
        now: Micros,
        question: &Question,
        response: &DnsResponse,
        bounds: &TtlBounds,
    ) -> Result<(), AliasError> {
        let answer = interpret(question, response)?;
        let time_to_live = match answer.content {
            AnswerContent::Empty(_) => bounds.of_negative_answer(answer.ttl_s),
            _ => bounds.of_records(answer.ttl_s),
        };
        if let (Question::Srv(_), AnswerContent::Records(records)) = (question, &answer.content) {
            self.insert_additionals(now, response, records, bounds);
        }
        let entry = CacheEntry {
            content: answer.content,
            expires_at: now.saturating_add(time_to_live),
        };
        self.entries.insert(question.clone(), entry);
        Ok(())
    }

    /// Stores addresses of the additional section where they are those of a target in this very response, and where no
    /// fresh answer is stored that was asked for (RFC 2181, section 5.4.1).
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
                expires_at: now.saturating_add(bounds.of_records(addresses.ttl_s)),
            };
            self.entries.insert(question, entry);
        }
    }
}

/// The addresses in the additional section, by the questions for them. There is a question for each family of each target.
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
            let none = AdditionalAddresses {
                records: Vec::new(),
                ttl_s: u32::MAX,
            };
            by_question.insert(Question::Address(target.clone(), family), none);
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
