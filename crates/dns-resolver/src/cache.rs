//! Answers kept for their lifetimes, and what an answer comes to: records, an alias, or nothing.
//!
//! RFC 2308 for negative answers, RFC 8767 for stale ones: what has expired is kept and used while it cannot be
//! asked anew. There is no limit on that, because a failed look-up must never take a server away.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::config::{Family, Lifetimes, Micros};
use crate::message::{code, Answer, Data, Question};
use std::collections::{BTreeMap, BTreeSet};

/// Aliases followed from one name to another.
pub(crate) const MOST_ALIASES: usize = 8;

impl Lifetimes {
    /// A lifetime in seconds, within the bounds, in microseconds.
    fn of(&self, ttl: u32) -> Micros {
        (u64::from(ttl) * 1_000_000).clamp(self.floor, self.ceiling)
    }

    fn of_nothing(&self, ttl: u32) -> Micros {
        self.of(ttl).min(self.negative.max(self.floor))
    }
}

/// What an answer comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Meaning {
    /// These records.
    Records(Vec<Data>),
    /// The name is another's alias, which must be asked for.
    Alias(String),
    /// There is none, or no such name at all.
    Nothing(&'static str),
}

#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub(crate) meaning: Meaning,
    /// Fresh until then.
    pub(crate) until: Micros,
}

#[derive(Debug, Default)]
pub(crate) struct Cache {
    kept: BTreeMap<Question, Kept>,
}

impl Cache {
    /// What is kept, fresh or stale.
    pub(crate) fn get(&self, question: &Question) -> Option<&Kept> {
        self.kept.get(question)
    }

    pub(crate) fn fresh(&self, question: &Question, now: Micros) -> Option<&Kept> {
        self.get(question).filter(|k| k.until > now)
    }

    /// Drops everything that is not among these questions.
    pub(crate) fn retain(&mut self, used: &[Question]) {
        if self.kept.len() > used.len() {
            let used: BTreeSet<&Question> = used.iter().collect();
            self.kept.retain(|q, _| used.contains(q));
        }
    }

    /// Takes an answer; an error says why it is none.
    pub(crate) fn take(
        &mut self,
        now: Micros,
        question: &Question,
        answer: &Answer,
        lifetimes: &Lifetimes,
    ) -> Result<(), String> {
        let (meaning, ttl) = meaning(question, answer)?;
        let span = match meaning {
            Meaning::Nothing(_) => lifetimes.of_nothing(ttl),
            _ => lifetimes.of(ttl),
        };
        if let (Question::Srv(_), Meaning::Records(records)) = (question, &meaning) {
            self.additional(now, answer, records, lifetimes);
        }
        self.kept.insert(
            question.clone(),
            Kept {
                meaning,
                until: now.saturating_add(span),
            },
        );
        Ok(())
    }

    /// Addresses in the additional section are taken where they are those of a target in this very answer, and
    /// where nothing fresh is known that was asked for (RFC 2181, section 5.4.1).
    fn additional(
        &mut self,
        now: Micros,
        answer: &Answer,
        records: &[Data],
        lifetimes: &Lifetimes,
    ) {
        if !answer
            .additionals
            .iter()
            .any(|r| matches!(r.data, Data::Addr(_)))
        {
            return;
        }
        let mut sets: BTreeMap<Question, (Vec<Data>, u32)> = BTreeMap::new();
        for target in records {
            let Data::Srv { target, .. } = target else {
                continue;
            };
            for family in [Family::V4, Family::V6] {
                sets.insert(
                    Question::Addr(target.clone(), family),
                    (Vec::new(), u32::MAX),
                );
            }
        }
        for record in &answer.additionals {
            let Data::Addr(addr) = record.data else {
                continue;
            };
            let family = if addr.is_ipv4() {
                Family::V4
            } else {
                Family::V6
            };
            if let Some(set) = sets.get_mut(&Question::Addr(record.owner.clone(), family)) {
                set.0.push(record.data.clone());
                set.1 = set.1.min(record.ttl);
            }
        }
        for (question, (records, ttl)) in sets {
            if !records.is_empty() && self.fresh(&question, now).is_none() {
                let until = now.saturating_add(lifetimes.of(ttl));
                self.kept.insert(
                    question,
                    Kept {
                        meaning: Meaning::Records(records),
                        until,
                    },
                );
            }
        }
    }
}

/// Follows the aliases inside one answer; the lifetime is the least of the chain, in seconds.
fn meaning(question: &Question, answer: &Answer) -> Result<(Meaning, u32), String> {
    let (mut name, mut ttl, mut seen) = (question.name().to_string(), u32::MAX, Vec::new());
    loop {
        let own = answer.answers.iter().filter(|r| r.owner == name);
        let wanted: Vec<_> = own.clone().filter(|r| question.wants(&r.data)).collect();
        if !wanted.is_empty() {
            let ttl = wanted.iter().map(|r| r.ttl).fold(ttl, u32::min);
            return Ok((
                Meaning::Records(wanted.into_iter().map(|r| r.data.clone()).collect()),
                ttl,
            ));
        }
        let alias = own.clone().find_map(|r| match &r.data {
            Data::Alias(to) => Some((to.clone(), r.ttl)),
            _ => None,
        });
        let Some((to, alias_ttl)) = alias else { break };
        seen.push(std::mem::replace(&mut name, to));
        ttl = ttl.min(alias_ttl);
        if seen.contains(&name) {
            return Err(format!("{name}: its aliases go round in a circle"));
        }
        if seen.len() > MOST_ALIASES {
            return Err(format!(
                "{}: more than {MOST_ALIASES} aliases",
                question.name()
            ));
        }
    }
    let minimum = answer.authorities.iter().find_map(|r| match r.data {
        Data::Minimum(minimum) if inside(&name, &r.owner) => Some(minimum.min(r.ttl)),
        _ => None,
    });
    if answer.code == code::NX_DOMAIN {
        return Ok((
            Meaning::Nothing("there is no such name"),
            ttl.min(minimum.unwrap_or(0)),
        ));
    }
    if !seen.is_empty() && minimum.is_none() {
        return Ok((Meaning::Alias(name), ttl));
    }
    Ok((
        Meaning::Nothing("the name has no such records"),
        ttl.min(minimum.unwrap_or(0)),
    ))
}

/// Whether a name is a zone's own or below it.
fn inside(name: &str, zone: &str) -> bool {
    zone.is_empty()
        || name == zone
        || name
            .strip_suffix(zone)
            .is_some_and(|rest| rest.ends_with('.'))
}
