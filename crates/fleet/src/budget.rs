//! Budgets of the whole fleet, divided among its nodes by time: what all may spend together never sums to more than
//! the whole. Whoever holds the lease divides; a share counts against the whole until its node has shown that it has
//! a newer one, or its time is over by the divider's clock. `docs/budgets.md` says what holds in exact words.

use crate::lease::{hold, Holder};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Budgets by name.
pub const MOST_BUDGETS: usize = 64;
/// Nodes that shares are kept account of.
const MOST_NODES: usize = 4096;
/// Shares given to one node and not yet shown; beyond these it gets none until one runs out.
const MOST_GIVEN: usize = 8;
/// Questions that an answer may still come to.
const MOST_ASKED: usize = 16;
/// A share stays as it is where what it should be differs by less than one part in so many.
const DAMPING: u64 = 10;

/// One budget as operators set it; rates in thousandths of a unit a second, bursts in thousandths of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
            return Err(("floor", format!("expected floors of {nodes} nodes to come to at most the whole")));
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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// In thousandths of a unit a second.
    pub rate: u64,
    /// The worth of a unit there against a unit elsewhere, above 0.
    pub worth: u32,
}

/// Rates by budget, in thousandths of a unit a second.
pub type Rates = BTreeMap<String, u64>;

/// What nodes and the divider say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its name.
    pub budget: String,
    /// What is divided: the whole less floors and drift.
    pub divided: u64,
    /// What may be in use of it; the rest is free.
    pub given: u64,
    /// By node, its floor left out.
    pub nodes: Vec<(Holder, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Given {
    share: u64,
    until: Micros,
    rates: Rates,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Known {
    given: Vec<Given>,
    wants: BTreeMap<String, Want>,
    heard: Micros,
}

impl Known {
    /// What it may be spending of a budget: the most of what was given and may still hold.
    fn counted(&self, budget: &str, now: Micros) -> u64 {
        let live = self.given.iter().filter(|g| now < g.until);
        live.map(|g| g.rates.get(budget).copied().unwrap_or(0)).max().unwrap_or(0)
    }
}

/// Whoever divides, under one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divider {
    epoch: u64,
    shares: u64,
    length: Micros,
    drift: u32,
    /// Until then shares of dividers before this one may be spent that it does not know of.
    open_at: Micros,
    wholes: BTreeMap<String, Whole>,
    nodes: BTreeMap<Holder, Known>,
}

impl Divider {
    /// Begins to divide: shares last `length` microseconds.
    pub fn new(
        epoch: u64,
        wholes: BTreeMap<String, Whole>,
        length: Micros,
        drift: u32,
        now: Micros,
    ) -> Divider {
        let open_at = now.saturating_add(length);
        Divider { epoch, shares: 0, length, drift, open_at, wholes, nodes: BTreeMap::new() }
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Other wholes from now on. What was given stays given until it runs out.
    pub fn set(&mut self, wholes: BTreeMap<String, Whole>) {
        self.wholes = wholes;
    }

    /// Answers a question.
    pub fn asked(&mut self, message: Message, now: Micros) -> Option<Message> {
        let Message::Ask { who, epoch, number, have, rates, wants } = message else { return None };
        if epoch != self.epoch {
            // What a node says to have counts only if it says so to this epoch: then no divider before this one
            // can have given it to somebody else.
            return (epoch < self.epoch).then_some(Message::Hello(self.epoch));
        }
        self.forget(now);
        if self.nodes.len() >= MOST_NODES && !self.nodes.contains_key(&who) {
            return None;
        }
        let fresh = !self.nodes.contains_key(&who);
        let known = self.nodes.entry(who.clone()).or_default();
        (known.heard, known.wants) = (now, wants.into_iter().take(MOST_BUDGETS).collect());
        let shown = have.filter(|have| have.0 == self.epoch).map_or(0, |have| have.1);
        known.given.retain(|g| now < g.until && g.share >= shown);
        if known.given.len() >= MOST_GIVEN {
            return None;
        }
        let mut share = Rates::new();
        for (budget, whole) in &self.wholes {
            let divided = whole.divided(self.drift);
            let others = self.nodes.iter().filter(|(holder, _)| **holder != who);
            let others: u64 = others.map(|(_, known)| known.counted(budget, now)).sum();
            let free = divided.saturating_sub(others);
            let own = self.nodes[&who].counted(budget, now);
            let had = rates.get(budget).copied().filter(|_| have.is_some_and(|have| have.0 < self.epoch));
            let most = match (now < self.open_at, fresh) {
                (false, _) => free,
                // Of an earlier divider's shares only what a node has may go on.
                (true, true) => had.unwrap_or(0).min(free),
                (true, false) => own.min(free),
            };
            let wants: BTreeMap<&Holder, Want> = self
                .nodes
                .iter()
                .map(|(holder, known)| (holder, known.wants.get(budget).copied().unwrap_or_default()))
                .collect();
            let target = divide(divided, &wants).get(&who).copied().unwrap_or(0);
            let steady = own > 0 && target.abs_diff(own) < own / DAMPING;
            share.insert(budget.clone(), if steady { own } else { target }.min(most));
        }
        self.shares += 1;
        let until = now.saturating_add(self.length);
        let given = Given { share: self.shares, until, rates: share.clone() };
        if let Some(known) = self.nodes.get_mut(&who) {
            known.given.push(given);
        }
        Some(Message::Share {
            who: who.incarnation,
            epoch: self.epoch,
            share: self.shares,
            number,
            length: self.length,
            rates: share,
        })
    }

    fn forget(&mut self, now: Micros) {
        let length = self.length;
        self.nodes.retain(|_, known| {
            known.given.retain(|g| now < g.until);
            !known.given.is_empty() || now < known.heard.saturating_add(length)
        });
    }

    /// Each budget as it is divided now.
    pub fn table(&self, now: Micros) -> Vec<Row> {
        let row = |(budget, whole): (&String, &Whole)| {
            let nodes: Vec<(Holder, u64)> = self
                .nodes
                .iter()
                .map(|(holder, known)| (holder.clone(), known.counted(budget, now)))
                .collect();
            let given = nodes.iter().map(|n| n.1).sum();
            Row { budget: budget.clone(), divided: whole.divided(self.drift), given, nodes }
        };
        self.wholes.iter().map(row).collect()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Current {
    id: (u64, u64),
    until: Micros,
    rates: Rates,
}

/// A node's own shares.
#[derive(Clone, Debug, PartialEq, Eq)]
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
        Shares { me, drift, epoch: 0, numbers: 0, asked: VecDeque::new(), current: None }
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
        Message::Ask { who: self.me.clone(), epoch: self.epoch, number: self.numbers, have, rates, wants }
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
            Message::Share { epoch, share, number, length, rates, .. } => {
                let asked = self.asked.iter().find(|a| a.0 == *number).map(|a| a.1);
                let newer = self.current.as_ref().is_none_or(|c| c.id < (*epoch, *share));
                let Some(asked) = asked.filter(|_| newer && *epoch >= self.epoch) else { return false };
                // Counted from the question, as a lease is.
                let until = asked.saturating_add(hold(*length, self.drift));
                if now < until {
                    self.epoch = *epoch;
                    let rates = rates.iter().take(MOST_BUDGETS).map(|(b, r)| (b.clone(), *r)).collect();
                    self.current = Some(Current { id: (*epoch, *share), until, rates });
                }
                false
            }
            Message::Ask { .. } => false,
        }
    }

    /// What may be spent of a budget beyond the floor, and until when.
    pub fn share(&self, budget: &str, now: Micros) -> (u64, Micros) {
        let current = self.current.as_ref().filter(|current| now < current.until);
        current.map_or((0, now), |c| (c.rates.get(budget).copied().unwrap_or(0), c.until))
    }
}
