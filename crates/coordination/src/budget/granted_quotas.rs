//! A node's own shares.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::{Message, Rates, Want, MOST_BUDGETS};
use crate::lease::{hold, Holder};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Questions that an answer may still come to.
const MOST_ASKED: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Current {
    id: (u64, u64),
    until: Micros,
    rates: Rates,
}

/// A node's own shares.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shares {
    me: Holder,
    drift: u32,
    /// The highest epoch heard of.
    epoch: u64,
    numbers: u64,
    /// Questions that may still be answered, with when they were asked.
    asked: VecDeque<(u64, Micros)>,
    current: Option<Current>,
}

impl Shares {
    /// None yet.
    pub fn new(me: Holder, drift: u32) -> Shares {
        Shares {
            me,
            drift,
            epoch: 0,
            numbers: 0,
            asked: VecDeque::new(),
            current: None,
        }
    }

    /// The next question.
    pub fn ask(&mut self, wants: BTreeMap<String, Want>, now: Micros) -> Message {
        self.numbers += 1;
        self.asked.push_back((self.numbers, now));
        if self.asked.len() > MOST_ASKED {
            self.asked.pop_front();
        }
        self.current.take_if(|current| now >= current.until);
        let (have, rates) = match &self.current {
            Some(current) => (Some(current.id), current.rates.clone()),
            None => (None, Rates::new()),
        };
        Message::Ask {
            who: self.me.clone(),
            epoch: self.epoch,
            number: self.numbers,
            have,
            rates,
            wants,
        }
    }

    /// Takes an answer; true where another question is due at once.
    pub fn told(&mut self, message: &Message, now: Micros) -> bool {
        match message {
            Message::Hello(epoch) => {
                let newer = *epoch > self.epoch;
                self.epoch = self.epoch.max(*epoch);
                newer
            }
            Message::Share { who, .. } if *who != self.me.incarnation => false,
            Message::Share {
                epoch,
                share,
                number,
                length,
                rates,
                ..
            } => {
                let asked = self.asked.iter().find(|a| a.0 == *number).map(|a| a.1);
                let newer = self
                    .current
                    .as_ref()
                    .is_none_or(|c| c.id < (*epoch, *share));
                let Some(asked) = asked.filter(|_| newer && *epoch >= self.epoch) else {
                    return false;
                };
                // Counted from the question, as a lease is.
                let until = asked.saturating_add(hold(*length, self.drift));
                if now < until {
                    self.epoch = *epoch;
                    let rates = rates
                        .iter()
                        .take(MOST_BUDGETS)
                        .map(|(b, r)| (b.clone(), *r))
                        .collect();
                    self.current = Some(Current {
                        id: (*epoch, *share),
                        until,
                        rates,
                    });
                }
                false
            }
            Message::Ask { .. } => false,
        }
    }

    /// What may be spent of a budget beyond the floor, and until when.
    pub fn share(&self, budget: &str, now: Micros) -> (u64, Micros) {
        let current = self.current.as_ref().filter(|current| now < current.until);
        current.map_or((0, now), |c| {
            (c.rates.get(budget).copied().unwrap_or(0), c.until)
        })
    }
}
