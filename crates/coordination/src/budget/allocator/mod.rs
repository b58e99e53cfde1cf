//! Whoever divides, under one epoch of its lease.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::budget::{divide, Message, Rates, Row, Want, Whole, MOST_BUDGETS};
use crate::lease::Holder;
use crate::Micros;
use std::collections::BTreeMap;

/// Nodes that shares are kept account of.
const MOST_NODES: usize = 4096;
/// Shares given to one node and not yet shown; beyond these it gets none until one runs out.
const MOST_GIVEN: usize = 8;
/// A share stays as it is where what it should be differs by less than one part in so many.
const DAMPING: u64 = 10;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Given {
    share: u64,
    until: Micros,
    rates: Rates,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    given: Vec<Given>,
    wants: BTreeMap<String, Want>,
    heard: Micros,
}

impl Known {
    /// What it may be spending of a budget: the most of what was given and may still hold.
    fn counted(&self, budget: &str, now: Micros) -> u64 {
        let live = self.given.iter().filter(|g| now < g.until);
        live.map(|g| g.rates.get(budget).copied().unwrap_or(0))
            .max()
            .unwrap_or(0)
    }
}

/// Whoever divides, under one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
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
        Divider {
            epoch,
            shares: 0,
            length,
            drift,
            open_at,
            wholes,
            nodes: BTreeMap::new(),
        }
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
        let Message::Ask {
            who,
            epoch,
            number,
            have,
            rates,
            wants,
        } = message
        else {
            return None;
        };
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
        let shown = have
            .filter(|have| have.0 == self.epoch)
            .map_or(0, |have| have.1);
        known.given.retain(|g| now < g.until && g.share >= shown);
        if known.given.len() >= MOST_GIVEN {
            return None;
        }
        let mut share = Rates::new();
        for (budget, whole) in &self.wholes {
            let divided = self.divided(whole);
            let others = self.nodes.iter().filter(|(holder, _)| **holder != who);
            let others: u64 = others.map(|(_, known)| known.counted(budget, now)).sum();
            let free = divided.saturating_sub(others);
            let own = self.nodes[&who].counted(budget, now);
            let had = rates
                .get(budget)
                .copied()
                .filter(|_| have.is_some_and(|have| have.0 < self.epoch));
            let most = match (now < self.open_at, fresh) {
                (false, _) => free,
                // Of an earlier divider's shares only what a node has may go on.
                (true, true) => had.unwrap_or(0).min(free),
                (true, false) => own.min(free),
            };
            let wants: BTreeMap<&Holder, Want> = self
                .nodes
                .iter()
                .map(|(holder, known)| {
                    (holder, known.wants.get(budget).copied().unwrap_or_default())
                })
                .collect();
            let target = divide(divided, &wants).get(&who).copied().unwrap_or(0);
            let steady = own > 0 && target.abs_diff(own) < own / DAMPING;
            share.insert(budget.clone(), if steady { own } else { target }.min(most));
        }
        self.shares += 1;
        let until = now.saturating_add(self.length);
        let given = Given {
            share: self.shares,
            until,
            rates: share.clone(),
        };
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

    /// What is divided of a whole. Where more nodes speak than floors were planned for, theirs are taken out, too.
    fn divided(&self, whole: &Whole) -> u64 {
        let unplanned = (self.nodes.len() as u64).saturating_sub(u64::from(whole.most_nodes));
        whole
            .divided(self.drift)
            .saturating_sub(unplanned.saturating_mul(whole.floor))
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
            let (given, divided) = (nodes.iter().map(|n| n.1).sum(), self.divided(whole));
            let ends = self
                .nodes
                .values()
                .flat_map(|known| known.given.iter().map(|g| g.until));
            let last = ends.max().unwrap_or(now).saturating_sub(now);
            let lowered_in = if given > divided { last } else { 0 };
            Row {
                budget: budget.clone(),
                divided,
                given,
                lowered_in,
                nodes,
            }
        };
        self.wholes.iter().map(row).collect()
    }
}

#[cfg(test)]
mod tests;
