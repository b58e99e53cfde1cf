//! One process's part in its fleet: who else is there, its claims, and its keeper if it is one.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::envelope::{Body, Envelope};
use crate::gossip::{Member, Members, MOST_MEMBERS};
use crate::lease::{Claim, Done, Holder, Keeper, Record, Row, Rules, Standing, Terms, ToNode};
use crate::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Answers that wait for a write. Whoever asks beyond this asks again.
const MOST_WAITING: usize = 16_384;

/// What a process is told of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This node's name.
    pub me: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Nodes to ask first who is there, by name.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// The keepers by name; their order is that of their names.
    pub keepers: BTreeMap<String, SocketAddr>,
    /// The number of this list of keepers.
    pub keepers_number: u32,
    /// The length of leases, in microseconds.
    pub lease: Micros,
    /// How wrong any clock may run, in parts in a million.
    pub drift: u32,
    /// Whether a keeper believes its disk.
    pub trust_disk: bool,
    /// The time between two probes of other nodes, in microseconds.
    pub probe: Micros,
    /// Answers of keepers are awaited so long, in microseconds.
    pub patience: Micros,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send this, to this address unless another is known for the name.
    Send(Box<Envelope>, Option<SocketAddr>),
    /// Write this down and say so with [`Node::written`] and this number, once it is durable.
    Write(u64, Vec<Record>),
}

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Messages taken.
    pub taken: u64,
    /// Messages of another list of keepers, dropped.
    pub other_keepers: u64,
    /// Grants of this keeper, renewals too.
    pub granted: u64,
    /// Refusals of this keeper.
    pub refused: u64,
}

/// What operators are shown.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// This node.
    pub me: Member,
    /// The others that are there.
    pub others: Vec<Member>,
    /// Each claim: the task, the epoch if it is held here, the time left in microseconds, who else has it.
    pub claims: Vec<(String, Option<u64>, Micros, Option<Holder>)>,
    /// As a keeper: how far it has come, and its table.
    pub keeper: Option<(Standing, Vec<Row>)>,
    /// Whether its disk has failed.
    pub broken: bool,
}

struct Kept {
    keeper: Keeper,
    /// The number of the last write, and of the last that is durable.
    writes: (u64, u64),
    /// Answers, each behind the write of this number.
    waiting: VecDeque<(u64, Envelope)>,
    broken: bool,
    /// When the other keepers are asked again.
    ask_at: Micros,
}

impl Kept {
    fn new(settings: &Settings, incarnation: u64, disk: &[Record], now: Micros) -> Option<Kept> {
        let me = settings
            .keepers
            .keys()
            .position(|name| *name == settings.me)?;
        let (keepers, longest) = (settings.keepers.len(), settings.lease);
        let rules = Rules {
            keepers,
            me,
            longest,
            trust: settings.trust_disk,
        };
        let keeper = Keeper::new(rules, incarnation, disk, now);
        Some(Kept {
            keeper,
            writes: (0, 0),
            waiting: VecDeque::new(),
            broken: false,
            ask_at: now,
        })
    }
}

/// The part.
pub struct Node {
    settings: Settings,
    members: Members,
    claims: BTreeMap<String, Claim>,
    kept: Option<Kept>,
    /// Where nodes that spoke to this one are reached, as they said: a keeper that has just started answers nodes that
    /// it knows from nowhere else.
    spoke: BTreeMap<String, SocketAddr>,
    rng: StdRng,
    /// When seeds are asked again.
    announce_at: Micros,
    counts: Counts,
    left: bool,
}

impl Node {
    /// A part that begins now. `incarnation` is a fresh random number; `disk` is what a keeper's disk holds.
    pub fn new(
        settings: Settings,
        incarnation: u64,
        disk: Option<Vec<Record>>,
        now: Micros,
    ) -> Node {
        let me = Member {
            name: settings.me.clone(),
            addr: settings.addr,
            incarnation,
            generation: 0,
        };
        let kept = disk.and_then(|disk| Kept::new(&settings, incarnation, &disk, now));
        let members = Members::new(me, settings.probe, incarnation);
        let (rng, counts) = (StdRng::seed_from_u64(incarnation), Counts::default());
        Node {
            settings,
            members,
            claims: BTreeMap::new(),
            kept,
            spoke: BTreeMap::new(),
            rng,
            announce_at: now,
            counts,
            left: false,
        }
    }

    /// The number of the list of keepers in force.
    pub fn keepers_number(&self) -> u32 {
        self.settings.keepers_number
    }

    /// The list of keepers in force.
    pub fn keepers(&self) -> BTreeMap<String, SocketAddr> {
        self.settings.keepers.clone()
    }

    /// Whether this node is a keeper now.
    pub fn keeps(&self) -> bool {
        self.kept.is_some()
    }

    /// Another list of keepers holds from now on, under a higher number. `disk` is what this node's disk holds if it
    /// becomes a keeper by it.
    pub fn set_keepers(
        &mut self,
        keepers: BTreeMap<String, SocketAddr>,
        number: u32,
        disk: Option<Vec<Record>>,
        now: Micros,
    ) {
        (self.settings.keepers, self.settings.keepers_number) = (keepers, number);
        let (count, incarnation) = (self.settings.keepers.len(), self.members.me().incarnation);
        let place = self
            .settings
            .keepers
            .keys()
            .position(|name| *name == self.settings.me);
        match (place, &mut self.kept) {
            (Some(place), Some(kept)) => kept.keeper.among(place, count),
            (Some(_), None) => {
                self.kept = disk.and_then(|disk| Kept::new(&self.settings, incarnation, &disk, now))
            }
            (None, _) => self.kept = None,
        }
        self.claims
            .values_mut()
            .for_each(|claim| claim.among(count, now));
    }

    /// This process as a holder.
    pub fn me(&self) -> Holder {
        let me = self.members.me();
        Holder {
            node: me.name.clone(),
            incarnation: me.incarnation,
        }
    }

    /// The others that are there, as far as is known.
    pub fn others(&self) -> Vec<Member> {
        self.members.others().cloned().collect()
    }

    /// Asks for a task from now on.
    pub fn want(&mut self, task: &str, now: Micros) {
        if let Some(claim) = self.claims.get_mut(task) {
            return claim.want(now);
        }
        let terms = Terms {
            keepers: self.settings.keepers.len(),
            length: self.settings.lease,
            drift: self.settings.drift,
            patience: self.settings.patience,
            pause: (self.settings.patience / 4).max(1),
        };
        self.claims
            .insert(task.into(), Claim::new(task, self.me(), terms, now));
    }

    /// Gives a task back, or no longer asks for it.
    pub fn release(&mut self, task: &str, now: Micros) -> Vec<Out> {
        let back = self
            .claims
            .get_mut(task)
            .map(|claim| claim.release(now))
            .unwrap_or_default();
        back.into_iter()
            .flat_map(|message| self.ask_keepers(message))
            .collect()
    }

    /// The epoch under which this process may act at this moment. Ask this before every act.
    pub fn may_act(&self, task: &str, now: Micros) -> Option<u64> {
        self.claims.get(task)?.may_act(now)
    }

    /// The tasks held at this moment, each with its epoch.
    pub fn holds(&self, now: Micros) -> Vec<(String, u64)> {
        let held = |claim: &Claim| Some((claim.task().to_string(), claim.may_act(now)?));
        self.claims.values().filter_map(held).collect()
    }

    /// Which other node holds a task, as last heard.
    pub fn status_of(&self, task: &str) -> Option<String> {
        self.claims
            .get(task)?
            .other()
            .map(|holder| holder.node.clone())
    }

    /// Gives all tasks back and leaves the fleet in order.
    pub fn leave(&mut self, now: Micros) -> Vec<Out> {
        let tasks: Vec<String> = self.claims.keys().cloned().collect();
        let mut out: Vec<Out> = tasks
            .iter()
            .flat_map(|task| self.release(task, now))
            .collect();
        self.left = true;
        let gossip = self.members.leave(now);
        out.extend(self.gossip(gossip));
        out
    }

    /// When [`Node::turn`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        let claims = self.claims.values().filter_map(Claim::due);
        let kept = self.kept.iter().flat_map(|kept| {
            let ask = kept.keeper.recall().map(|_| kept.ask_at);
            kept.keeper.due().into_iter().chain(ask)
        });
        let announce = (!self.left).then_some(self.announce_at);
        claims
            .chain(kept)
            .chain(self.members.due())
            .chain(announce)
            .min()
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Micros) -> Vec<Out> {
        let gossip = self.members.turn(now);
        let mut out = self.gossip(gossip);
        if now >= self.announce_at && !self.left {
            // Alone, a node asks often; in company, once in a while, so that two parts of a fleet find each other.
            let wait = if self.members.others().next().is_some() {
                20
            } else {
                1
            };
            self.announce_at = now
                + self.settings.probe * wait
                + self.rng.random_range(0..self.settings.probe.max(1));
            let seeds = self.settings.seeds.iter().chain(&self.settings.keepers);
            let seeds: Vec<Member> = seeds
                .filter(|(name, _)| **name != self.settings.me)
                .map(|(name, addr)| Member {
                    name: name.clone(),
                    addr: *addr,
                    incarnation: 0,
                    generation: 0,
                })
                .collect();
            if !seeds.is_empty() {
                let seed = seeds[self.rng.random_range(0..seeds.len())].clone();
                let gossip = self.members.announce(seed, now);
                out.extend(self.gossip(gossip));
            }
        }
        let jitter = self.rng.random::<u32>().into();
        let asks: Vec<_> = self
            .claims
            .values_mut()
            .flat_map(|claim| claim.turn(now, jitter))
            .collect();
        for ask in asks {
            out.extend(self.ask_keepers(ask));
        }
        if let Some(kept) = &mut self.kept {
            let whole = kept.keeper.advance(now);
            let ask = kept.keeper.recall().filter(|_| now >= kept.ask_at);
            kept.ask_at = if ask.is_some() {
                now + self.settings.patience
            } else {
                kept.ask_at
            };
            if let Some(record) = whole {
                kept.writes.0 += 1;
                out.push(Out::Write(kept.writes.0, vec![record]));
            }
            if let Some(message) = ask {
                out.extend(self.ask_keepers(message));
            }
        }
        out
    }

    /// Keeps in mind where whoever spoke is reached.
    pub fn spoke(&mut self, envelope: &Envelope) {
        if self.spoke.len() < MOST_MEMBERS || self.spoke.contains_key(&envelope.from.0) {
            self.spoke.insert(envelope.from.0.clone(), envelope.at);
        }
    }

    /// Takes a message that the envelope said is for this node.
    pub fn receive(&mut self, envelope: Envelope, now: Micros) -> Vec<Out> {
        self.spoke(&envelope);
        self.counts.taken += 1;
        if envelope.keepers != self.settings.keepers_number
            && !matches!(envelope.body, Body::Gossip(_))
        {
            self.counts.other_keepers += 1;
            return Vec::new();
        }
        match envelope.body {
            Body::Gossip(bytes) => {
                let gossip = self.members.heard(&bytes, now);
                self.gossip(gossip)
            }
            Body::Keeper(message) => {
                let Some(kept) = self.kept.as_mut().filter(|kept| !kept.broken) else {
                    return Vec::new();
                };
                let Done {
                    write,
                    answer,
                    memory,
                } = kept.keeper.handle(now, message);
                match &answer {
                    Some(ToNode::Granted { .. }) => self.counts.granted += 1,
                    Some(ToNode::Refused { .. }) => self.counts.refused += 1,
                    None => {}
                }
                let mut out = Vec::new();
                if !write.is_empty() {
                    kept.writes.0 += 1;
                    out.push(Out::Write(kept.writes.0, write));
                }
                let to = memory
                    .as_ref()
                    .and_then(|(keeper, _)| self.settings.keepers.keys().nth(*keeper));
                let memory = to
                    .cloned()
                    .zip(memory.map(|(_, message)| Body::Keeper(message)));
                let answer = answer.map(|answer| (envelope.from.0, Body::Node(answer)));
                for (to, body) in answer.into_iter().chain(memory) {
                    out.extend(self.behind_writes(to, body));
                }
                out
            }
            // What tasks say to each other is their drivers'.
            Body::AskFigures(_)
            | Body::Figures(..)
            | Body::Roll(_)
            | Body::Trials(_)
            | Body::Budget(_) => Vec::new(),
            Body::Node(answer) => {
                let keeper = self
                    .settings
                    .keepers
                    .keys()
                    .position(|name| *name == envelope.from.0);
                let task = match &answer {
                    ToNode::Granted { task, .. } | ToNode::Refused { task, .. } => task,
                };
                let (Some(keeper), Some(claim)) = (keeper, self.claims.get_mut(task)) else {
                    return Vec::new();
                };
                let jitter = self.rng.random::<u32>().into();
                let back = claim.heard(now, keeper, &answer, jitter);
                back.into_iter()
                    .flat_map(|message| self.ask_keepers(message))
                    .collect()
            }
        }
    }

    /// The write of this number, and all before it, are durable.
    pub fn written(&mut self, number: u64) -> Vec<Out> {
        let Some(kept) = &mut self.kept else {
            return Vec::new();
        };
        kept.writes.1 = kept.writes.1.max(number);
        let ready = kept
            .waiting
            .iter()
            .take_while(|(behind, _)| *behind <= kept.writes.1)
            .count();
        let ready: Vec<Out> = kept
            .waiting
            .drain(..ready)
            .map(|(_, envelope)| Out::Send(Box::new(envelope), None))
            .collect();
        self.counts.sent += ready.len() as u64;
        ready
    }

    /// A write has failed: this keeper says nothing more.
    pub fn broke(&mut self) {
        if let Some(kept) = &mut self.kept {
            kept.broken = true;
            kept.waiting.clear();
        }
    }

    /// What has been counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What operators are shown.
    pub fn status(&self, now: Micros) -> Status {
        let claim = |c: &Claim| {
            (
                c.task().into(),
                c.may_act(now),
                c.left(now),
                c.other().cloned(),
            )
        };
        let keeper = self
            .kept
            .as_ref()
            .map(|k| (k.keeper.standing().clone(), k.keeper.rows(now).collect()));
        Status {
            me: self.members.me().clone(),
            others: self.others(),
            claims: self.claims.values().map(claim).collect(),
            keeper,
            broken: self.kept.as_ref().is_some_and(|k| k.broken),
        }
    }

    fn envelope(&self, to: String, body: Body) -> Envelope {
        let (fleet, keepers) = (self.settings.fleet.clone(), self.settings.keepers_number);
        let me = self.members.me();
        Envelope {
            fleet,
            keepers,
            from: (me.name.clone(), me.incarnation),
            at: me.addr,
            to,
            body,
        }
    }

    /// A message of a task's own to a node.
    pub fn post(&mut self, to: String, at: Option<SocketAddr>, body: Body) -> Out {
        self.send(to, at, body)
    }

    fn send(&mut self, to: String, at: Option<SocketAddr>, body: Body) -> Out {
        self.counts.sent += 1;
        Out::Send(Box::new(self.envelope(to, body)), at)
    }

    fn behind_writes(&mut self, to: String, body: Body) -> Option<Out> {
        let envelope = self.envelope(to, body);
        let kept = self.kept.as_mut()?;
        if kept.writes.1 >= kept.writes.0 {
            self.counts.sent += 1;
            return Some(Out::Send(Box::new(envelope), None));
        }
        if kept.waiting.len() < MOST_WAITING {
            kept.waiting.push_back((kept.writes.0, envelope));
        }
        None
    }

    fn ask_keepers(&mut self, message: crate::lease::ToKeeper) -> Vec<Out> {
        let recall = matches!(message, crate::lease::ToKeeper::Recall { .. });
        let (all, me) = (self.settings.keepers.keys(), &self.settings.me);
        let to: Vec<String> = all.filter(|name| !recall || *name != me).cloned().collect();
        to.into_iter()
            .map(|name| self.send(name, None, Body::Keeper(message.clone())))
            .collect()
    }

    fn gossip(&mut self, messages: Vec<(Member, bytes::Bytes)>) -> Vec<Out> {
        let send = |(to, bytes): (Member, bytes::Bytes)| {
            self.send(to.name, Some(to.addr), Body::Gossip(bytes.to_vec()))
        };
        messages.into_iter().map(send).collect()
    }

    /// Where a node is reached: as the list of keepers or seeds says, else as it says itself: as a member, or with its last message.
    pub fn addr(&self, name: &str) -> Option<SocketAddr> {
        let s = &self.settings;
        let known = s.keepers.get(name).or(s.seeds.get(name)).copied();
        let member = || {
            self.members
                .others()
                .find(|m| m.name == name)
                .map(|m| m.addr)
        };
        known
            .or_else(member)
            .or_else(|| self.spoke.get(name).copied())
    }
}
