//! One node's claim of one task.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::lease::hold;
use crate::lease::messages::{Holder, ToKeeper, ToNode};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// On what terms a task is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How many keepers there are.
    pub keepers: usize,
    /// The lease's length by the keepers' clocks, in microseconds.
    pub length: Micros,
    /// How wrong any clock of the fleet may run, in parts in a million.
    pub drift: u32,
    /// Answers are awaited so long, in microseconds; after that the round is given up.
    pub patience: Micros,
    /// The shortest pause before another round, in microseconds.
    pub pause: Micros,
}

/// The process of a keeper that granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Granter {
    start: u64,
    /// The newest start that it knows of each other keeper.
    starts: Vec<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u64,
    asked: Micros,
    granted: BTreeMap<usize, Granter>,
    refused: BTreeSet<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The next round begins then.
    Free(Micros),
    Asking(Round),
    Held {
        /// No act after this.
        until: Micros,
        /// The next round begins then.
        renew: Micros,
        round: Option<Round>,
    },
}

impl Round {
    /// Keepers whose grant does not count, since another one that granted knows a newer start of theirs, with that start:
    /// two processes of one name must not both be counted, one for each of two holders.
    fn superseded(&self) -> BTreeMap<usize, u64> {
        let known = self.granted.values().flat_map(|granter| &granter.starts);
        let newer = known.filter(|(keeper, start)| {
            self.granted
                .get(keeper)
                .is_some_and(|granter| granter.start < *start)
        });
        newer.copied().collect()
    }
}

/// A claim. It holds the task while [`Claim::may_act`] says so, and whoever acts asks that before every act.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    task: String,
    me: Holder,
    terms: Terms,
    /// Asked under last.
    epoch: u64,
    /// The highest epoch heard of. What is heard while a round runs is for the next one: the grants of this round
    /// are for the epoch that it asked under.
    known: u64,
    rounds: u64,
    wanted: bool,
    state: State,
    /// Refused without a winner so many times in a row.
    clashes: u32,
    /// Who has it, as last heard.
    other: Option<Holder>,
}

impl Claim {
    /// A claim that will be asked for from now on.
    pub fn new(task: &str, me: Holder, terms: Terms, now: Micros) -> Claim {
        let state = State::Free(now);
        Claim {
            task: task.into(),
            me,
            terms,
            epoch: 0,
            known: 0,
            rounds: 0,
            wanted: true,
            state,
            clashes: 0,
            other: None,
        }
    }

    /// Another list of keepers holds from now on. What runs is given up: its answers count for the old list.
    pub fn among(&mut self, keepers: usize, now: Micros) {
        self.terms.keepers = keepers;
        match &mut self.state {
            State::Asking(_) => self.state = State::Free(now),
            State::Held { round, renew, .. } => (*round, *renew) = (None, now),
            State::Free(_) => {}
        }
    }

    /// The task's name.
    pub fn task(&self) -> &str {
        &self.task
    }

    /// The epoch under which to act, if that is allowed at this moment.
    pub fn may_act(&self, now: Micros) -> Option<u64> {
        match self.state {
            State::Held { until, .. } if now < until => Some(self.epoch),
            _ => None,
        }
    }

    /// The time left to act, in microseconds.
    pub fn left(&self, now: Micros) -> Micros {
        match self.state {
            State::Held { until, .. } => until.saturating_sub(now),
            _ => 0,
        }
    }

    /// Who else has it, as last heard.
    pub fn other(&self) -> Option<&Holder> {
        self.other.as_ref()
    }

    /// When [`Claim::turn`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        match &self.state {
            State::Free(_) if !self.wanted => None,
            State::Free(at) => Some(*at),
            State::Asking(round) => Some(round.asked.saturating_add(self.terms.patience)),
            State::Held {
                until,
                round: Some(round),
                ..
            } => Some(round.asked.saturating_add(self.terms.patience).min(*until)),
            State::Held { until, renew, .. } => Some(*renew.min(until)),
        }
    }

    /// Does what is due. `jitter` is a fresh random number; what is returned goes to every keeper.
    pub fn turn(&mut self, now: Micros, jitter: u64) -> Vec<ToKeeper> {
        match &mut self.state {
            State::Free(at) if self.wanted && now >= *at => self.ask(now).into_iter().collect(),
            State::Asking(round) if now >= round.asked.saturating_add(self.terms.patience) => {
                self.give_up(now, jitter, 0)
            }
            State::Held { until, .. } if now >= *until => {
                self.state = State::Free(now);
                self.turn(now, jitter)
            }
            State::Held {
                round: Some(round), ..
            } if now >= round.asked.saturating_add(self.terms.patience) => {
                self.renew(now).into_iter().collect()
            }
            State::Held {
                renew, round: None, ..
            } if now >= *renew => self.renew(now).into_iter().collect(),
            _ => Vec::new(),
        }
    }

    /// Takes a keeper's answer.
    pub fn heard(
        &mut self,
        now: Micros,
        keeper: usize,
        answer: &ToNode,
        jitter: u64,
    ) -> Vec<ToKeeper> {
        if answer.who() != self.me.incarnation {
            // It answers another process of this name, or the one that was here before.
            return Vec::new();
        }
        let (number, granted) = match answer {
            ToNode::Granted { round, epoch, .. } => (*round, *epoch == self.epoch),
            ToNode::Refused { round, .. } => (*round, false),
        };
        if let ToNode::Refused { epoch, holder, .. } = answer {
            self.known = self.known.max(*epoch);
            self.other = holder
                .clone()
                .filter(|h| *h != self.me)
                .or(self.other.take());
        }
        let majority = self.terms.keepers / 2 + 1;
        let round = match &mut self.state {
            State::Asking(round)
            | State::Held {
                round: Some(round), ..
            } if round.number == number => round,
            _ => return Vec::new(),
        };
        if let (ToNode::Granted { start, starts, .. }, true) = (answer, granted) {
            let newer = round
                .granted
                .get(&keeper)
                .is_none_or(|known| known.start <= *start);
            let granter = Granter {
                start: *start,
                starts: starts.clone(),
            };
            newer.then(|| round.granted.insert(keeper, granter));
        } else {
            round.refused.insert(keeper);
        }
        let superseded = round.superseded();
        if round.granted.len() - superseded.len() >= majority {
            // Counted from the question: the keepers' time began later than that.
            let asked = round.asked;
            let until = asked.saturating_add(hold(self.terms.length, self.terms.drift));
            let renew = asked.saturating_add(self.terms.length / 3);
            if now < until {
                self.state = State::Held {
                    until,
                    renew,
                    round: None,
                };
                (self.clashes, self.other) = (0, None);
            }
            return Vec::new();
        }
        if round.refused.len() > self.terms.keepers - majority
            && matches!(self.state, State::Asking(_))
        {
            let left = match answer {
                ToNode::Refused { left, .. } => *left,
                ToNode::Granted { .. } => 0,
            };
            return self.give_up(now, jitter, left);
        }
        superseded
            .into_iter()
            .map(|(keeper, start)| ToKeeper::Superseded { keeper, start })
            .collect()
    }

    /// Acts no more and gives the task back.
    pub fn release(&mut self, now: Micros) -> Vec<ToKeeper> {
        self.wanted = false;
        let held = !matches!(self.state, State::Free(_));
        self.state = State::Free(now);
        held.then(|| self.given_back()).into_iter().collect()
    }

    /// Asks for it again after a release, or never mind.
    pub fn want(&mut self, now: Micros) {
        if !self.wanted {
            (self.wanted, self.state) = (true, State::Free(now));
        }
    }

    fn ask(&mut self, now: Micros) -> Option<ToKeeper> {
        // Never under an epoch asked under before: what that round left behind must not count for this one.
        self.epoch = self.known.max(self.epoch) + 1;
        let round = self.round(now);
        let ask = self.question(round.number);
        self.state = State::Asking(round);
        Some(ask)
    }

    fn renew(&mut self, now: Micros) -> Option<ToKeeper> {
        let next = self.round(now);
        let ask = self.question(next.number);
        if let State::Held { round, .. } = &mut self.state {
            *round = Some(next);
        }
        Some(ask)
    }

    fn round(&mut self, now: Micros) -> Round {
        self.rounds += 1;
        Round {
            number: self.rounds,
            asked: now,
            granted: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    fn question(&self, round: u64) -> ToKeeper {
        let (task, who, length) = (self.task.clone(), self.me.clone(), self.terms.length);
        ToKeeper::Ask {
            task,
            who,
            epoch: self.epoch,
            round,
            length,
        }
    }

    fn given_back(&self) -> ToKeeper {
        ToKeeper::Release {
            task: self.task.clone(),
            who: self.me.clone(),
            epoch: self.epoch,
        }
    }

    /// Frees what a lost round may have got. Whoever clashes waits longer each time; whoever is told that somebody
    /// has it waits until that may have run out.
    fn give_up(&mut self, now: Micros, jitter: u64, left: Micros) -> Vec<ToKeeper> {
        let back = self.given_back();
        self.clashes = (self.clashes + 1).min(5);
        let most = self.terms.pause
            << if left > self.terms.pause {
                2
            } else {
                self.clashes
            };
        let wait = left
            .min(self.terms.length)
            .saturating_add(self.terms.pause / 2 + jitter % most.max(1));
        self.state = State::Free(now.saturating_add(wait));
        vec![back]
    }
}
