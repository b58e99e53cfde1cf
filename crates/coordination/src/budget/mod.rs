//! Budgets of the whole fleet, divided among its nodes by time: what all may spend together never sums to more than
//! the whole. Whoever holds the lease divides; a share counts against the whole until its node has shown that it has
//! a newer one, or its time is over by the divider's clock. `docs/budgets.md` says what holds in exact words.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

mod allocator;
mod granted_quotas;
mod participant;
#[cfg(test)]
mod tests;

use crate::lease::{hold, Holder};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub use allocator::Divider;
pub use granted_quotas::Shares;
pub use participant::{Count, Party, Settings};

/// Budgets by name.
pub const MOST_BUDGETS: usize = 64;

/// One budget as operators set it; rates in thousandths of a unit a second, bursts in thousandths of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Whole {
    /// What the fleet may spend.
    pub rate: u64,
    /// What it may spend at once.
    pub burst: u64,
    /// What a node may spend that has no share.
    pub floor: u64,
    /// And at once.
    pub floor_burst: u64,
    /// The most nodes there may be: their floors are kept out of what is divided.
    pub most_nodes: u32,
}

impl Whole {
    /// What is divided: the whole less all floors. Clocks up to `drift` wrong fill buckets faster, so that is off, too.
    pub fn divided(&self, drift: u32) -> u64 {
        let floors = self.floor.saturating_mul(u64::from(self.most_nodes));
        hold(self.rate, drift).saturating_sub(floors)
    }

    /// The burst that goes with a part of the rate.
    pub fn burst_of(&self, rate: u64, drift: u32) -> u64 {
        let floors = self.floor_burst.saturating_mul(u64::from(self.most_nodes));
        let (burst, divided) = (self.burst.saturating_sub(floors), self.divided(drift));
        match divided {
            0 => 0,
            _ => (u128::from(burst) * u128::from(rate.min(divided)) / u128::from(divided)) as u64,
        }
    }

    /// What does not add up.
    ///
    /// # Errors
    /// Names the key at fault and what would be right.
    pub fn check(&self, drift: u32) -> Result<(), (&'static str, String)> {
        let nodes = u64::from(self.most_nodes);
        if self.floor.saturating_mul(nodes) > hold(self.rate, drift) {
            return Err((
                "floor",
                format!("expected floors of {nodes} nodes to come to at most the whole"),
            ));
        }
        if self.floor_burst.saturating_mul(nodes) > self.burst {
            return Err((
                "floor_burst",
                format!("expected floors of {nodes} nodes to come to at most the burst"),
            ));
        }
        Ok(())
    }
}

/// What a node wants of a budget, and what that is worth.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Want {
    /// In thousandths of a unit a second.
    pub rate: u64,
    /// The worth of a unit there against a unit elsewhere, above 0.
    pub worth: u32,
}

/// Rates by budget, in thousandths of a unit a second.
pub type Rates = BTreeMap<String, u64>;

/// What nodes and the divider say to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To the divider of this epoch.
    Ask {
        /// The node asking.
        who: Holder,
        /// As last heard; 0 where none was.
        epoch: u64,
        /// Comes back with the answer.
        number: u64,
        /// The share that this node has now, by epoch and number; none after a start or once it has run out.
        have: Option<(u64, u64)>,
        /// What that is.
        rates: Rates,
        /// What it wants.
        wants: BTreeMap<String, Want>,
    },
    /// Another epoch divides now: ask again, under it.
    Hello(u64),
    /// A share, in place of the one before.
    Share {
        /// Who asked, by its incarnation: messages go by name, and two processes of one name count alike.
        who: u64,
        /// The divider's epoch.
        epoch: u64,
        /// One higher with each share that it gives.
        share: u64,
        /// The question's number.
        number: u64,
        /// How long it lasts by the divider's clock, in microseconds.
        length: Micros,
        /// What may be spent.
        rates: Rates,
    },
}

/// Divides by worth-weighted max-min: nobody gets more than it wants while another lacks, what is scarce goes by worth,
/// and what is left over goes to all alike, so that whoever wants more tomorrow has some of it. Of that one part more is
/// left free: whoever comes next finds it.
pub fn divide<K: Ord + Clone>(whole: u64, wants: &BTreeMap<K, Want>) -> BTreeMap<K, u64> {
    let mut parts: BTreeMap<K, u64> = wants.keys().map(|k| (k.clone(), 0)).collect();
    let mut open: Vec<(&K, &Want)> = wants.iter().filter(|(_, w)| w.rate > 0).collect();
    // By what each wants for each unit of its worth: once the smallest fits, it is out of the way.
    open.sort_by_key(|(_, w)| (u128::from(w.rate) << 32) / u128::from(w.worth.max(1)));
    let mut left = whole;
    let mut weight: u128 = open.iter().map(|(_, w)| u128::from(w.worth.max(1))).sum();
    for (key, want) in open {
        let worth = u128::from(want.worth.max(1));
        let fair = (u128::from(left) * worth / weight.max(1)) as u64;
        let part = want.rate.min(fair);
        (left, weight) = (left - part, weight - worth);
        parts.insert(key.clone(), part);
    }
    let even = left / (parts.len() as u64 + 1);
    parts.values_mut().for_each(|part| *part += even);
    parts
}

/// A budget as it is divided, in thousandths of a unit a second.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Row {
    /// Its name.
    pub budget: String,
    /// What is divided: the whole less floors and drift.
    pub divided: u64,
    /// What may be in use of it; the rest is free.
    pub given: u64,
    /// Where that is more than is divided, since operators have lowered the whole: it is reached at the latest after
    /// so many microseconds.
    pub lowered_in: Micros,
    /// By node, its floor left out.
    pub nodes: Vec<(Holder, u64)>,
}
