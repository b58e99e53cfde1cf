//! One process's part in budgets: what it wants, the shares that it has, and dividing while it holds the lease.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::{Divider, Message, Row, Shares, Want, Whole};
use crate::lease::Holder;
use crate::Micros;
use std::collections::BTreeMap;

/// Questions in a share's time.
const QUESTIONS: u64 = 4;
/// What of an earlier want is still asked for, in percent. Room beyond what is wanted comes from what is left over:
/// asked for, it would be taken from those who lack.
const MEMORY: u64 = 50;
/// Worths are told in so many parts of one.
const WORTH: f64 = 100.0;

/// Budgets as operators set them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long shares last, in microseconds.
    pub share: Micros,
    /// How wrong any clock may run, in parts in a million.
    pub drift: u32,
    /// By name.
    pub wholes: BTreeMap<String, Whole>,
}

/// What has been wanted of a budget since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Thousandths of a unit, got or not.
    pub units: u64,
    /// What they were worth together.
    pub worth: f64,
}

/// The part.
#[derive(Clone, Debug)]
pub struct Party {
    settings: Settings,
    shares: Shares,
    divider: Option<Divider>,
    counted: BTreeMap<String, Count>,
    counted_at: Option<Micros>,
    wants: BTreeMap<String, Want>,
}

impl Party {
    /// A part that begins with no share.
    pub fn new(me: Holder, settings: Settings) -> Party {
        let shares = Shares::new(me, settings.drift);
        let (counted, wants) = Default::default();
        Party {
            settings,
            shares,
            divider: None,
            counted,
            counted_at: None,
            wants,
        }
    }

    /// The time between two questions, in microseconds.
    pub fn step(&self) -> Micros {
        self.settings.share / QUESTIONS
    }

    /// The budgets in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Other wholes from now on. What was given stays given until it runs out.
    pub fn set(&mut self, wholes: BTreeMap<String, Whole>) {
        if let Some(divider) = &mut self.divider {
            divider.set(wholes.clone());
        }
        self.settings.wholes = wholes;
    }

    /// What is wanted now: what was wanted since the last question, or half of what was before.
    fn count(&mut self, counted: BTreeMap<String, Count>, now: Micros) {
        let span = self
            .counted_at
            .map_or(self.step(), |at| now.saturating_sub(at))
            .max(1);
        let wants = self.settings.wholes.keys().map(|name| {
            let count = counted.get(name).copied().unwrap_or_default();
            let before = self.counted.get(name).copied().unwrap_or_default();
            let units = count.units.saturating_sub(before.units);
            let rate = u128::from(units) * 1_000_000 / u128::from(span);
            let last = self.wants.get(name).copied().unwrap_or(Want {
                rate: 0,
                worth: WORTH as u32,
            });
            let worth = (count.worth - before.worth) / units.max(1) as f64 * 1e3;
            let worth = if units > 0 {
                ((worth * WORTH) as u32).max(1)
            } else {
                last.worth
            };
            let rate = u64::try_from(rate)
                .unwrap_or(u64::MAX)
                .max(last.rate.saturating_mul(MEMORY) / 100);
            (name.clone(), Want { rate, worth })
        });
        self.wants = wants.collect();
        (self.counted, self.counted_at) = (counted, Some(now));
    }

    /// The next question, each [`Party::step`]; `epoch` is that under which this process may divide, if it may.
    pub fn ask(
        &mut self,
        counted: BTreeMap<String, Count>,
        epoch: Option<u64>,
        now: Micros,
    ) -> Message {
        self.take_charge(epoch, now);
        self.count(counted, now);
        self.shares.ask(self.wants.clone(), now)
    }

    /// Takes a message, and returns what goes back to whoever sent it.
    pub fn receive(
        &mut self,
        message: Message,
        epoch: Option<u64>,
        now: Micros,
    ) -> Option<Message> {
        if let Message::Ask { .. } = message {
            self.take_charge(epoch, now);
            // The look before the act: shares are given under the lease's epoch or not at all.
            return self
                .divider
                .as_mut()
                .and_then(|divider| divider.asked(message, now));
        }
        self.shares
            .told(&message, now)
            .then(|| self.shares.ask(self.wants.clone(), now))
    }

    fn take_charge(&mut self, epoch: Option<u64>, now: Micros) {
        if self.divider.as_ref().map(Divider::epoch) != epoch {
            let s = &self.settings;
            self.divider =
                epoch.map(|epoch| Divider::new(epoch, s.wholes.clone(), s.share, s.drift, now));
        }
    }

    /// What may be spent of a budget beyond the floor, in thousandths of a unit a second, what goes with it at once,
    /// and until when.
    pub fn share(&self, budget: &str, now: Micros) -> (u64, u64, Micros) {
        let (rate, until) = self.shares.share(budget, now);
        let whole = self.settings.wholes.get(budget);
        (
            rate,
            whole.map_or(0, |whole| whole.burst_of(rate, self.settings.drift)),
            until,
        )
    }

    /// What is wanted of a budget, as last asked for.
    pub fn want(&self, budget: &str) -> Want {
        self.wants.get(budget).copied().unwrap_or_default()
    }

    /// While this process divides: its epoch and each budget as it is divided.
    pub fn table(&self, now: Micros) -> Option<(u64, Vec<Row>)> {
        self.divider
            .as_ref()
            .map(|divider| (divider.epoch(), divider.table(now)))
    }
}
