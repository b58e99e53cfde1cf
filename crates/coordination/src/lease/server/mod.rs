//! One keeper's part of the table of grants.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::lease::messages::{Entry, Holder, Record, ToKeeper, ToNode};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A start is a generation above a random part of so many bits, so that starts have an order: the newest is the highest.
const RANDOM_BITS: u32 = 40;

/// A start above another one, with the random part of a third.
fn above(start: u64, random: u64) -> u64 {
    let generation = (start >> RANDOM_BITS)
        .saturating_add(1)
        .min(u64::MAX >> RANDOM_BITS);
    generation << RANDOM_BITS | random & ((1 << RANDOM_BITS) - 1)
}

/// Tasks that a keeper remembers. Tasks are few and named by the program, so this bounds what a bug can do.
pub const MOST_TASKS: usize = 1024;

/// What keepers of one fleet must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// How many keepers there are.
    pub keepers: usize,
    /// This one's place among them.
    pub me: usize,
    /// The longest lease, in microseconds.
    pub longest: Micros,
    /// Whether its own disk is believed to be as it left it. If not, what it granted before is asked of the others,
    /// since a disk that was put back to an older state looks whole.
    pub trust: bool,
}

/// How far a keeper has come since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It asks the others for what it may have forgotten, and grants nothing.
    Recalling {
        /// Those that answered from memory.
        heard: BTreeSet<usize>,
        /// Those that answered that they have none, with their starts.
        blank: BTreeMap<usize, u64>,
    },
    /// What it granted before its start may still be held until this time of its clock.
    Waiting(Micros),
    /// It grants.
    Granting,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    epoch: u64,
    holder: Option<Holder>,
    length: Micros,
    /// By this keeper's clock.
    until: Micros,
}

/// A row of the table as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The task's name.
    pub task: String,
    /// The highest epoch.
    pub epoch: u64,
    /// Who has it by this keeper.
    pub holder: Option<Holder>,
    /// For how much longer, in microseconds.
    pub left: Micros,
}

/// What a keeper does about a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// Must be durable before anything else is carried out.
    pub write: Vec<Record>,
    /// To the node that asked.
    pub answer: Option<ToNode>,
    /// To the keeper that asked.
    pub memory: Option<(usize, ToKeeper)>,
}

fn raise(starts: &mut BTreeMap<usize, u64>, keeper: usize, start: u64) {
    let known = starts.entry(keeper).or_insert(start);
    *known = start.max(*known);
}

/// A keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    rules: Rules,
    /// Tells this start from earlier ones.
    start: u64,
    blank: bool,
    /// Where all keepers began with no memory: the others then, by place and start.
    founders: BTreeSet<(usize, u64)>,
    /// Another keeper found all blank, this start among them.
    founded: bool,
    /// The newest start known of each other keeper, by place. A second process under a keeper's name is told by it.
    starts: BTreeMap<usize, u64>,
    table: BTreeMap<String, Grant>,
    standing: Standing,
}

impl Keeper {
    /// A keeper that starts now with what its disk holds. `start` must differ from that of earlier starts.
    pub fn new(rules: Rules, start: u64, kept: &[Record], now: Micros) -> Keeper {
        let whole = kept.iter().find_map(|record| match record {
            Record::Whole(founders) => Some(founders),
            Record::Entry(_) | Record::Start(..) => None,
        });
        let blank = whole.is_none();
        let founders = whole.into_iter().flatten().copied().collect();
        let mut table: BTreeMap<String, Grant> = BTreeMap::new();
        let entries = kept.iter().filter_map(|record| match record {
            Record::Entry(entry) => Some(entry.clone()),
            Record::Whole(_) | Record::Start(..) => None,
        });
        for Entry {
            task,
            epoch,
            holder,
            length,
        } in entries
        {
            // How much of it has run out nobody knows: all of it may be ahead.
            let until = holder.as_ref().map_or(now, |_| now.saturating_add(length));
            let grant = Grant {
                epoch,
                holder,
                length,
                until,
            };
            if table.get(&task).is_none_or(|known| known.epoch <= epoch) {
                table.insert(task, grant);
            }
        }
        let standing = match rules.trust && !blank {
            true => Standing::Granting,
            false => Standing::Recalling {
                heard: BTreeSet::new(),
                blank: BTreeMap::new(),
            },
        };
        let known = kept.iter().filter_map(|record| match record {
            Record::Start(keeper, start) => Some((*keeper, *start)),
            Record::Entry(_) | Record::Whole(_) => None,
        });
        let mut starts = BTreeMap::new();
        known.for_each(|(keeper, start)| raise(&mut starts, keeper, start));
        let own = starts.remove(&rules.me).filter(|own| *own >= start);
        let start = own.map_or(start, |own| above(own, start));
        Keeper {
            rules,
            start,
            blank,
            founders,
            founded: false,
            table,
            starts,
            standing,
        }
    }

    /// Another list of keepers holds from now on; this one goes on with what it knows.
    pub fn among(&mut self, me: usize, keepers: usize) {
        (self.rules.me, self.rules.keepers) = (me, keepers);
        // Places have changed: who was heard must be heard again.
        if let Standing::Recalling { heard, blank } = &mut self.standing {
            (*heard, *blank) = Default::default();
        }
        self.founders.clear();
        self.starts.clear();
        self.founded = false;
    }

    /// How far it has come.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// When [`Keeper::advance`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        match self.standing {
            Standing::Waiting(until) => Some(until),
            _ => None,
        }
    }

    /// Looks whether it has heard enough, and whether its wait is over; what is returned must be durable before
    /// anything else is carried out.
    pub fn advance(&mut self, now: Micros) -> Option<Record> {
        let mut whole = None;
        if let Standing::Recalling { heard, blank } = &self.standing {
            let others = self.rules.keepers - 1;
            let majority = self.rules.keepers / 2 + 1;
            // Every majority that this keeper was part of has a member among any such number of others. All blank is
            // a fleet's first start.
            let first = self.blank && heard.is_empty() && blank.len() == others;
            if first {
                self.founders = blank
                    .iter()
                    .map(|(keeper, start)| (*keeper, *start))
                    .collect();
            }
            // All that answered know this start by now, and no newer one.
            let founded =
                self.founded && self.blank && heard.len() + blank.len() >= majority.min(others);
            if heard.len() >= majority.min(others) || first || founded {
                whole = self.counts_from_here(now);
            }
        }
        if matches!(self.standing, Standing::Waiting(until) if now >= until) {
            self.standing = Standing::Granting;
        }
        whole
    }

    /// Its memory counts; what it granted before its start may still be held.
    ///
    /// The wait runs from here and not from its start: where it takes another keeper's place, that one may have
    /// granted until those that answered went over to the new list.
    fn counts_from_here(&mut self, now: Micros) -> Option<Record> {
        // Leases may have been longer before operators changed them.
        let granted = self.table.values().map(|g| g.length).max().unwrap_or(0);
        self.standing = Standing::Waiting(now.saturating_add(self.rules.longest.max(granted)));
        let founders = self.founders.iter().copied().collect();
        std::mem::take(&mut self.blank).then_some(Record::Whole(founders))
    }

    /// What to ask the other keepers, again and again until it grants.
    pub fn recall(&self) -> Option<ToKeeper> {
        let Standing::Recalling { .. } = self.standing else {
            return None;
        };
        Some(ToKeeper::Recall {
            keeper: self.rules.me,
            start: self.start,
        })
    }

    /// Takes a message.
    pub fn handle(&mut self, now: Micros, message: ToKeeper) -> Done {
        let whole = self.advance(now);
        let mut done = self.take(now, message);
        done.write.splice(0..0, whole);
        done
    }

    fn take(&mut self, now: Micros, message: ToKeeper) -> Done {
        match message {
            ToKeeper::Ask {
                task,
                who,
                epoch,
                round,
                length,
            } => self.ask(now, task, who, epoch, round, length),
            ToKeeper::Release { task, who, epoch } => {
                if let Some(grant) = self.table.get_mut(&task) {
                    // A release that comes late must not free what was granted since. It need not be durable: a
                    // keeper that forgets it takes the task as granted for a while longer.
                    if grant.epoch == epoch && grant.holder.as_ref() == Some(&who) {
                        (grant.holder, grant.until) = (None, now);
                    }
                }
                Done::default()
            }
            ToKeeper::Recall { keeper, .. }
                if keeper == self.rules.me || keeper >= self.rules.keepers =>
            {
                Done::default()
            }
            ToKeeper::Recall { keeper, start } => {
                let write: Vec<Record> = self.learn_start(keeper, start).into_iter().collect();
                let newest = self.starts.get(&keeper).copied().unwrap_or(start);
                let starts = self.known_starts();
                let epochs = self
                    .table
                    .iter()
                    .map(|(task, g)| (task.clone(), g.epoch))
                    .collect();
                let together = self.founders.contains(&(keeper, start));
                let (me, own, blank) = (self.rules.me, self.start, self.blank);
                let memory = ToKeeper::Memory {
                    keeper: me,
                    start,
                    own,
                    blank,
                    together,
                    epochs,
                    newest,
                    starts,
                };
                Done {
                    write,
                    memory: Some((keeper, memory)),
                    ..Done::default()
                }
            }
            ToKeeper::Superseded { keeper, start } => {
                if keeper == self.rules.me
                    && start > self.start
                    && self.standing == Standing::Granting
                {
                    self.begin_anew(start);
                }
                Done::default()
            }
            ToKeeper::Memory {
                keeper,
                start,
                own,
                blank,
                together,
                epochs,
                newest,
                starts,
            } => {
                if start != self.start || keeper == self.rules.me || keeper >= self.rules.keepers {
                    return Done::default();
                }
                if !matches!(self.standing, Standing::Recalling { .. }) {
                    return Done::default();
                }
                if newest > self.start {
                    // Another process had this name, or has it: this one is to be the newest before it counts.
                    self.begin_anew(newest);
                    return Done::default();
                }
                let me = self.rules.me;
                let told = starts
                    .into_iter()
                    .filter(|(of, _)| *of != me)
                    .chain([(keeper, own)]);
                let mut write: Vec<Record> = Vec::new();
                for (of, start) in told
                    .filter(|(of, _)| *of < self.rules.keepers)
                    .collect::<Vec<_>>()
                {
                    write.extend(self.learn_start(of, start));
                }
                let Standing::Recalling {
                    heard,
                    blank: blanks,
                } = &mut self.standing
                else {
                    return Done::default();
                };
                if blank {
                    blanks.insert(keeper, own);
                } else {
                    heard.insert(keeper);
                    blanks.remove(&keeper);
                }
                let learned = epochs
                    .into_iter()
                    .filter_map(|(task, epoch)| self.learn(task, epoch));
                write.extend(learned.map(Record::Entry).collect::<Vec<_>>());
                // Another keeper found all blank, this very start among them, before this one did.
                self.founded |= together;
                write.extend(self.advance(now));
                if !matches!(self.standing, Standing::Recalling { .. }) {
                    write.push(Record::Start(self.rules.me, self.start));
                }
                Done {
                    write,
                    ..Done::default()
                }
            }
        }
    }

    /// Goes on as a start above this one, and counts again once enough of the others know it.
    fn begin_anew(&mut self, newest: u64) {
        self.start = above(newest, self.start);
        self.founded = false;
        self.standing = Standing::Recalling {
            heard: BTreeSet::new(),
            blank: BTreeMap::new(),
        };
    }

    /// Takes a start of another keeper in, if it is the newest known of that one.
    fn learn_start(&mut self, keeper: usize, start: u64) -> Option<Record> {
        let newer = self.starts.get(&keeper).is_none_or(|known| *known < start);
        newer.then(|| self.starts.insert(keeper, start));
        newer.then_some(Record::Start(keeper, start))
    }

    fn known_starts(&self) -> Vec<(usize, u64)> {
        self.starts
            .iter()
            .map(|(keeper, start)| (*keeper, *start))
            .collect()
    }

    fn learn(&mut self, task: String, epoch: u64) -> Option<Entry> {
        let known = self.table.get(&task).map_or(0, |g| g.epoch);
        if epoch <= known || (known == 0 && self.table.len() >= MOST_TASKS) {
            return None;
        }
        self.table.insert(
            task.clone(),
            Grant {
                epoch,
                holder: None,
                length: 0,
                until: 0,
            },
        );
        Some(Entry {
            task,
            epoch,
            holder: None,
            length: 0,
        })
    }

    fn ask(
        &mut self,
        now: Micros,
        task: String,
        who: Holder,
        epoch: u64,
        round: u64,
        length: Micros,
    ) -> Done {
        if self.standing != Standing::Granting {
            return Done::default();
        }
        let known = self.table.get(&task);
        let refused = |known: Option<&Grant>| ToNode::Refused {
            task: task.clone(),
            who: who.incarnation,
            round,
            epoch: known.map_or(0, |g| g.epoch),
            holder: known.and_then(|g| g.holder.clone()),
            left: known.map_or(0, |g| g.until.saturating_sub(now)),
        };
        let own = known.is_some_and(|g| g.holder.as_ref() == Some(&who));
        let free = known.is_none_or(|g| own || now >= g.until);
        let again = own && known.is_some_and(|g| g.epoch == epoch);
        let higher = epoch > known.map_or(0, |g| g.epoch);
        let bounded = known.is_some() || self.table.len() < MOST_TASKS;
        if !(free && bounded && (again || higher)) || length == 0 || length > self.rules.longest {
            return Done {
                answer: Some(refused(known)),
                ..Done::default()
            };
        }
        // Going on with a grant changes nothing that a restart would need: it takes all of `length` as ahead.
        let lasting = again && known.is_some_and(|g| g.length >= length);
        let until = now.saturating_add(length);
        let until = if again {
            until.max(known.map_or(0, |g| g.until))
        } else {
            until
        };
        let entry = Entry {
            task: task.clone(),
            epoch,
            holder: Some(who.clone()),
            length,
        };
        let asked = who.incarnation;
        self.table.insert(
            task.clone(),
            Grant {
                epoch,
                holder: Some(who),
                length,
                until,
            },
        );
        let write = if lasting {
            Vec::new()
        } else {
            vec![Record::Entry(entry)]
        };
        let (start, starts) = (self.start, self.known_starts());
        let granted = ToNode::Granted {
            task,
            who: asked,
            round,
            epoch,
            start,
            starts,
        };
        Done {
            write,
            answer: Some(granted),
            memory: None,
        }
    }

    /// The table.
    pub fn rows(&self, now: Micros) -> impl Iterator<Item = Row> + '_ {
        self.table.iter().map(move |(task, g)| {
            let left = g.until.saturating_sub(now);
            let holder = g.holder.clone().filter(|_| left > 0);
            Row {
                task: task.clone(),
                epoch: g.epoch,
                holder,
                left,
            }
        })
    }
}
