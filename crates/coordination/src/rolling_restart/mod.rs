//! Taking the nodes of a fleet out one after the other. Whoever holds the lease asks every node of the order how it
//! stands, and tells one to leave only while fewer than the allowed number are out; a node of which nothing is heard
//! counts as out until it must have come back by itself.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Nodes of one order.
pub const MOST_NODES: usize = 4096;

/// What operators have ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// One higher than that of any order known where it was given.
    pub number: u64,
    /// The node at which it was given; with the number it names the order.
    pub by: String,
    /// The nodes, by name.
    pub nodes: Vec<String>,
    /// At most so many are out at once.
    pub out: u32,
    /// A node that has let its clients go stays out for so long, in microseconds.
    pub hold: Micros,
    /// A node that is out and hears from nobody in charge for so long comes back by itself, in microseconds.
    pub back: Micros,
}

impl Order {
    /// Which order this is.
    pub fn id(&self) -> (u64, &str) {
        (self.number, &self.by)
    }
}

/// How a node stands in an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Its turn has not come.
    Waiting,
    /// It has been told to leave, and not to return.
    Out,
    /// It has been out and is back.
    Done,
}

/// What nodes say to each other about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// This is ordered.
    Order(Order),
    /// From the one in charge, under its epoch, for the so-manyth time, about the order of this number and node.
    Ask(u64, u64, (u64, String)),
    /// The answer of a node that does not know that order.
    Want,
    /// The answer: to which epoch and time, how it stands, and whether it has let its clients go.
    Tell(u64, u64, Part, bool),
    /// From the one in charge: leave (true) or return.
    Act(u64, u64, bool),
    /// The order of this number and node is carried out.
    Over(u64, String),
}

/// A node's own part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Own {
    order: Option<Order>,
    out: bool,
    done: bool,
    over: bool,
    /// The highest epoch, and under it the highest time of asking, that was answered.
    seen: (u64, u64),
    heard: Micros,
}

impl Own {
    /// The newest order known here.
    pub fn order(&self) -> Option<&Order> {
        self.order.as_ref()
    }

    /// How this node stands in it.
    pub fn part(&self) -> Part {
        match (self.out, self.done) {
            (true, _) => Part::Out,
            (_, true) => Part::Done,
            _ => Part::Waiting,
        }
    }

    /// Learns of an order; a newer one takes the older one's place.
    pub fn learn(&mut self, order: Order) {
        let newer = self
            .order
            .as_ref()
            .is_none_or(|known| known.id() < order.id());
        if newer && order.nodes.len() <= MOST_NODES {
            (self.order, self.done, self.over) = (Some(order), false, false);
        }
    }

    /// The order is carried out, as the one in charge says.
    pub fn over(&mut self, number: u64, by: &str) {
        self.over |= self
            .order
            .as_ref()
            .is_some_and(|order| order.id() == (number, by));
    }

    /// The newest order known here, unless it is carried out.
    pub fn open(&self) -> Option<&Order> {
        self.order.as_ref().filter(|_| !self.over)
    }

    /// Answers the one in charge; nothing that it sent before this question is carried out any more.
    pub fn asked(
        &mut self,
        epoch: u64,
        time: u64,
        order: &(u64, String),
        idle: bool,
        now: Micros,
    ) -> Option<Message> {
        if (epoch, time) < self.seen {
            return None;
        }
        (self.seen, self.heard) = ((epoch, time), now);
        match &self.order {
            Some(known) if known.id() == (order.0, &order.1) => {
                Some(Message::Tell(epoch, time, self.part(), self.out && idle))
            }
            Some(newer) if newer.id() > (order.0, &order.1) => Some(Message::Order(newer.clone())),
            _ => Some(Message::Want),
        }
    }

    /// Told to leave or to return: whether to do it.
    pub fn act(&mut self, epoch: u64, time: u64, leave: bool) -> bool {
        if (epoch, time) != self.seen || self.out == leave {
            return false;
        }
        // The time to come back by itself runs from the answer before this: an act may be late.
        (self.out, self.done) = (leave, !leave);
        true
    }

    /// Whether to come back by itself now.
    pub fn turn(&mut self, now: Micros) -> bool {
        let back = self.order.as_ref().map_or(0, |order| order.back);
        let alone = self.out && now >= self.heard.saturating_add(back);
        if alone {
            (self.out, self.done) = (false, true);
        }
        alone
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    part: Part,
    idle: bool,
    /// Answered then; before any answer, when this charge began.
    at: Micros,
    /// The time of asking that was answered; 0 before any.
    time: u64,
    /// Since when it is out and idle.
    idle_since: Option<Micros>,
}

/// The one in charge of an order, under one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    epoch: u64,
    order: Order,
    /// Names that grant leases.
    keepers: Vec<String>,
    /// Parts in a million by which clocks may differ.
    drift: u32,
    time: u64,
    seen: BTreeMap<String, Seen>,
}

impl Charge {
    /// Takes charge.
    pub fn new(epoch: u64, order: Order, keepers: Vec<String>, drift: u32, now: Micros) -> Charge {
        let unheard = Seen {
            part: Part::Out,
            idle: false,
            at: now,
            time: 0,
            idle_since: None,
        };
        let seen = order
            .nodes
            .iter()
            .map(|name| (name.clone(), unheard.clone()))
            .collect();
        Charge {
            epoch,
            order,
            keepers,
            drift,
            time: 0,
            seen,
        }
    }

    /// Under which epoch, for which order.
    pub fn of(&self) -> (u64, &Order) {
        (self.epoch, &self.order)
    }

    /// The next question to every node of the order.
    pub fn ask(&mut self) -> Message {
        self.time += 1;
        Message::Ask(
            self.epoch,
            self.time,
            (self.order.number, self.order.by.clone()),
        )
    }

    /// Takes an answer.
    pub fn told(&mut self, from: &str, epoch: u64, time: u64, part: Part, idle: bool, now: Micros) {
        let Some(seen) = self
            .seen
            .get_mut(from)
            .filter(|s| epoch == self.epoch && time > s.time)
        else {
            return;
        };
        let since = seen.idle_since.filter(|_| part == Part::Out && idle);
        let idle_since = since.or((part == Part::Out && idle).then_some(now));
        *seen = Seen {
            part,
            idle,
            at: now,
            time,
            idle_since,
        };
    }

    /// How many are out, or may be.
    pub fn out(&self, now: Micros) -> usize {
        self.seen
            .values()
            .filter(|seen| self.counts(seen, now))
            .count()
    }

    /// Out, or nothing heard since the last question, and not yet back by itself for sure.
    fn counts(&self, seen: &Seen, now: Micros) -> bool {
        let back = self.order.back + self.order.back / 1_000_000 * 3 * u64::from(self.drift);
        let certain = seen.time == self.time && seen.part != Part::Out;
        !certain && now < seen.at.saturating_add(back)
    }

    /// How many have been out and are back, how many wait, and how many are not heard of.
    pub fn progress(&self, now: Micros) -> (usize, usize, usize) {
        let count = |part| {
            self.seen
                .values()
                .filter(|s| s.time > 0 && s.part == part)
                .count()
        };
        let gone = |s: &&Seen| s.time != self.time && !self.counts(s, now);
        (
            count(Part::Done),
            count(Part::Waiting),
            self.seen.values().filter(gone).count(),
        )
    }

    /// Whether no node waits or is out any more, as far as any is heard of.
    pub fn finished(&self, now: Micros) -> bool {
        let open = |s: &Seen| {
            if s.time == self.time {
                s.part != Part::Done
            } else {
                self.counts(s, now)
            }
        };
        self.time > 0 && !self.seen.values().any(open)
    }

    /// Whom to tell what. Call it once the answers to the last question have had time; each told node counts as out
    /// until it answers a later question.
    pub fn acts(&mut self, now: Micros) -> Vec<(String, Message)> {
        let mut acts = Vec::new();
        for (name, seen) in &mut self.seen {
            let rested = seen
                .idle_since
                .is_some_and(|since| now >= since.saturating_add(self.order.hold));
            if seen.time == self.time && seen.part == Part::Out && rested {
                acts.push((name.clone(), Message::Act(self.epoch, self.time, false)));
            }
        }
        let majority = self.keepers.len() / 2 + 1;
        while self.out(now) < self.order.out as usize {
            let serving = |s: &Seen| s.time == self.time && s.part != Part::Out;
            let keepers = self
                .keepers
                .iter()
                .filter(|k| self.seen.get(*k).is_some_and(serving))
                .count();
            let may = |name: &String| !self.keepers.contains(name) || keepers > majority;
            let waits = |s: &Seen| s.time == self.time && s.part == Part::Waiting;
            // Keepers last: the fewer changes among them, the better.
            let next = self.seen.iter().filter(|(name, s)| waits(s) && may(name));
            let Some(next) = next
                .map(|(name, _)| (self.keepers.contains(name), name.clone()))
                .min()
            else {
                break;
            };
            acts.push((next.1.clone(), Message::Act(self.epoch, self.time, true)));
            if let Some(seen) = self.seen.get_mut(&next.1) {
                // Whatever it answered to this question is from before.
                (seen.part, seen.at, seen.idle_since) = (Part::Out, now, None);
            }
        }
        acts
    }
}
