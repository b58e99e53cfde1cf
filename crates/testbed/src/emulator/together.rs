//! Nodes that talk to each other: the fleet's own machines, one of each at every emulated node, on the emulated network.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::description::{BudgetDivision, CoordinationDescription as Described};
use super::measure::CoordinationSummary;
use super::world::{micros, Event, Simulation};
use crate::Micros;
use poppykeel::transport::coordination::budgets::{FleetBudgets, LEASE_TASK};
use poppykeel_coordination::budget::{BudgetLimit, BudgetParticipant, BudgetSettings};
use poppykeel_coordination::envelope::{self, Envelope, MessageBody};
use poppykeel_coordination::lease::LeaseLogRecord;
use poppykeel_coordination::node::{CoordinationNode, NodeOutput, NodeSettings};
use poppykeel_coordination::Incarnation;
use poppykeel_scheduler::{BudgetGrant, BudgetGrants, BudgetKind};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// A keeper's write is durable after this.
const DISK: Micros = 1_000;
/// It is looked who holds the task so often.
const LOOK: Micros = 5_000;
/// A share's budget here is the one of retries.
const RETRIES: &str = "retries";
/// Clocks are as wrong as this at most, as nodes are told; the emulator's are right.
const DRIFT: u32 = 1_000;

/// What happens to a node's part in the fleet.
#[derive(Debug)]
pub(super) enum Talk {
    Message(Box<Envelope>),
    Written(u64, Vec<LeaseLogRecord>),
    Turn,
    Divide,
}

struct Talker {
    node: Option<CoordinationNode>,
    party: Option<BudgetParticipant>,
    disk: Vec<LeaseLogRecord>,
    /// Tells its processes apart.
    start: u64,
    wakes: Option<Micros>,
    sent: (u64, u64),
}

/// The fleet's machines of all nodes.
pub(super) struct Together {
    described: Described,
    budgets: FleetBudgets,
    talkers: Vec<Talker>,
    starts: u64,
    overlaps: u64,
    /// Since when nobody holds the task, and the longest such time after the first holder.
    without: Option<Micros>,
    longest: Micros,
    looking: bool,
    /// The level of a bucket that repeats at servers fill, when, and the most it came to.
    repeats: (f64, Micros, f64),
}

fn name(node: usize) -> String {
    format!("n{node:05}")
}

fn number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

fn addr(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a80_0000 + node as u32), 7946))
}

impl Together {
    pub(super) fn new(described: &Described, nodes: usize) -> Together {
        let thousandths = |x: f64| (x * 1e3).round() as u64;
        let limit = BudgetLimit {
            rate: thousandths(described.retries),
            burst: thousandths(described.burst),
            guaranteed_rate: thousandths(described.floor),
            guaranteed_burst: thousandths(described.floor_burst),
            max_nodes: nodes as u32,
        };
        let limits = BTreeMap::from([(RETRIES.to_string(), limit)]);
        let settings = BudgetSettings {
            grant_duration: micros(described.share_s),
            drift_ppm: DRIFT,
            limits,
        };
        let talker = |_| Talker {
            node: None,
            party: None,
            disk: Vec::new(),
            start: 0,
            wakes: None,
            sent: (0, 0),
        };
        Together {
            described: described.clone(),
            budgets: FleetBudgets {
                settings,
                tenants: Vec::new(),
            },
            talkers: (0..nodes).map(talker).collect(),
            starts: 0,
            overlaps: 0,
            without: None,
            longest: 0,
            looking: false,
            repeats: (0.0, 0, 0.0),
        }
    }

    fn place(&self, me: usize) -> NodeSettings {
        let d = &self.described;
        let lease = micros(d.lease_s);
        NodeSettings {
            fleet: "lab".into(),
            name: name(me),
            address: addr(me),
            seeds: BTreeMap::new(),
            lease_servers: (0..d.keepers).map(|k| (name(k), addr(k))).collect(),
            lease_servers_number: 1,
            lease_duration: lease,
            drift_ppm: DRIFT,
            trusts_log: false,
            probe_interval: micros(d.probe_s).max(10_000),
            response_timeout: (lease / 10).max(1),
        }
    }

    fn shares(&self) -> bool {
        self.described.division == BudgetDivision::Shares
    }

    fn holders(&self, now: Micros) -> usize {
        let holds = |t: &&Talker| {
            t.node
                .as_ref()
                .is_some_and(|n| n.held_epoch(LEASE_TASK, now).is_some())
        };
        self.talkers.iter().filter(holds).count()
    }
}

impl Simulation<'_> {
    /// A node's process begins; it may have begun before.
    pub(super) fn join(&mut self, node: usize) {
        let Some(mut t) = self.together.take() else {
            return;
        };
        let now = self.queue.now();
        match t.described.division {
            BudgetDivision::Shares => {
                t.starts += 1;
                let (start, place) = (t.starts, t.place(node));
                let talker = &mut t.talkers[node];
                let mut own =
                    CoordinationNode::new(place, Incarnation(start), Some(&talker.disk), now);
                own.request_lease(LEASE_TASK, now);
                let party = BudgetParticipant::new(own.process_id(), t.budgets.settings.clone());
                (talker.node, talker.party, talker.start, talker.wakes) =
                    (Some(own), Some(party), start, None);
                // As processes do not start in one microsecond.
                let after = start * 7919 % 50_000;
                let at = now + after;
                self.queue.put(
                    at,
                    Event::Talk {
                        node: node as u32,
                        start,
                        talk: Talk::Turn,
                    },
                );
                self.queue.put(
                    at,
                    Event::Talk {
                        node: node as u32,
                        start,
                        talk: Talk::Divide,
                    },
                );
                if !std::mem::replace(&mut t.looking, true) {
                    self.queue.put(now + LOOK, Event::Look);
                }
            }
            BudgetDivision::Equal => {
                let (parts, d) = (t.talkers.len() as f64, &t.described);
                let (rate, burst) = (d.retries / parts, d.burst / parts);
                let budget = BudgetGrant {
                    rate,
                    burst,
                    guaranteed_rate: 0.0,
                    guaranteed_burst: 0.0,
                    expires_at: f64::INFINITY,
                };
                self.nodes[node].allow(&BudgetGrants::from([(BudgetKind::Retries, budget)]));
            }
            BudgetDivision::None => {}
        }
        self.together = Some(t);
    }

    /// A node's process ends; what was on the disk stays.
    pub(super) fn leave(&mut self, node: usize) {
        if let Some(talker) = self.together.as_mut().map(|t| &mut t.talkers[node]) {
            (talker.node, talker.party, talker.start) = (None, None, 0);
        }
    }

    pub(super) fn talk(&mut self, now: Micros, node: u32, start: u64, talk: Talk) {
        if now >= micros(self.run.load.seconds) {
            return;
        }
        let Some(mut t) = self.together.take() else {
            return;
        };
        let me = node as usize;
        // Messages go by name, to whatever process has it by then.
        let current = matches!(talk, Talk::Message(_)) || t.talkers[me].start == start;
        if current && t.talkers[me].node.is_some() {
            self.take_part(&mut t, now, me, talk);
        }
        self.together = Some(t);
    }

    fn take_part(&mut self, t: &mut Together, now: Micros, me: usize, talk: Talk) {
        let Talker {
            node: Some(node),
            party: Some(party),
            disk,
            ..
        } = &mut t.talkers[me]
        else {
            return;
        };
        let epoch = node.held_epoch(LEASE_TASK, now);
        let mut tell = None;
        let mut out = match talk {
            Talk::Turn => Vec::new(),
            Talk::Written(number, records) => {
                disk.extend(records);
                node.on_log_written(number)
            }
            Talk::Message(envelope) => {
                node.remember_sender(&envelope);
                let Envelope { sender, body, .. } = *envelope.clone();
                match body {
                    MessageBody::Budget(message) => {
                        tell = party
                            .handle_message(message, epoch, now)
                            .map(|back| (sender.node, back));
                        Vec::new()
                    }
                    _ => node.handle_envelope(*envelope, now),
                }
            }
            Talk::Divide => {
                let counted = t.budgets.cumulative_demand(&self.nodes[me].wanted());
                let ask = party.next_request(counted, epoch, now);
                let chief = epoch
                    .map(|_| name(me))
                    .or_else(|| node.other_holder(LEASE_TASK));
                tell = chief.map(|chief| (chief, ask));
                let (node, start) = (me as u32, t.talkers[me].start);
                let at = now + micros(t.described.share_s) / 4;
                self.queue.put(
                    at,
                    Event::Talk {
                        node,
                        start,
                        talk: Talk::Divide,
                    },
                );
                Vec::new()
            }
        };
        let Talker {
            node: Some(node),
            party: Some(party),
            wakes,
            start,
            ..
        } = &mut t.talkers[me]
        else {
            return;
        };
        out.extend(
            tell.map(|(to, message)| node.message_to(to, None, MessageBody::Budget(message))),
        );
        if node.next_deadline().is_some_and(|due| due <= now) {
            out.extend(node.on_timer(now));
        }
        self.nodes[me].allow(&t.budgets.grants(party, now, now));
        if let Some(due) = node
            .next_deadline()
            .filter(|due| wakes.is_none_or(|w| w <= now || *due < w))
        {
            *wakes = Some(due);
            self.queue.put(
                due,
                Event::Talk {
                    node: me as u32,
                    start: *start,
                    talk: Talk::Turn,
                },
            );
        }
        for out in out {
            match out {
                NodeOutput::WriteLog {
                    write: number,
                    records,
                } => {
                    let (node, start) = (me as u32, t.talkers[me].start);
                    let talk = Talk::Written(number, records);
                    self.queue
                        .put(now + DISK, Event::Talk { node, start, talk });
                }
                NodeOutput::Send { envelope, .. } => self.post(t, now, me, envelope),
            }
        }
    }

    fn post(&mut self, t: &mut Together, now: Micros, me: usize, envelope: Box<Envelope>) {
        let Some(to) = number(&envelope.recipient).filter(|to| *to < t.talkers.len()) else {
            return;
        };
        // The first half of a run is its start.
        if to != me && now >= micros(self.run.load.seconds) / 2 {
            let sent = &mut t.talkers[me].sent;
            *sent = (
                sent.0 + 1,
                sent.1 + envelope::encode(&envelope).len() as u64,
            );
        }
        let (from, zone) = (self.nodes[me].zone, self.nodes[to].zone);
        if !self.is_cut(from, zone) {
            let at = now + if to == me { 0 } else { self.way(from, zone) };
            let talk = Talk::Message(envelope);
            self.queue.put(
                at,
                Event::Talk {
                    node: to as u32,
                    start: 0,
                    talk,
                },
            );
        }
    }

    pub(super) fn look_at_holders(&mut self, now: Micros) {
        let end = micros(self.run.load.seconds);
        let Some(t) = self.together.as_mut().filter(|_| now < end) else {
            return;
        };
        let holders = t.holders(now);
        t.overlaps += u64::from(holders > 1);
        match (holders, t.without) {
            (0, Some(since)) => t.longest = t.longest.max(now - since),
            (0, None) => {}
            _ => t.without = Some(now),
        }
        self.queue.put(now + LOOK, Event::Look);
    }

    /// An attempt beyond its request's first has reached a server.
    pub(super) fn repeated(&mut self, now: Micros) {
        if let Some(t) = &mut self.together {
            let (level, at, most) = t.repeats;
            let level = (level - t.described.retries * (now - at) as f64 / 1e6).max(0.0) + 1.0;
            t.repeats = (level, now, most.max(level));
        }
    }

    /// What it all came to.
    pub(super) fn talked(&self) -> Option<CoordinationSummary> {
        let t = self.together.as_ref()?;
        let seconds = self.run.load.seconds / 2.0;
        let rates = |sent: &(u64, u64)| (sent.0 as f64 / seconds, sent.1 as f64 / seconds);
        let sum = t
            .talkers
            .iter()
            .fold((0, 0), |sum, x| (sum.0 + x.sent.0, sum.1 + x.sent.1));
        let node = rates(&sum);
        let count = t.talkers.len() as f64;
        let keepers = t
            .talkers
            .iter()
            .take(if t.shares() { t.described.keepers } else { 0 });
        Some(CoordinationSummary {
            node: (node.0 / count, node.1 / count),
            keeper: rates(&keepers.map(|x| x.sent).max().unwrap_or_default()),
            overlaps: t.overlaps,
            longest_without: t.longest as f64 / 1e6,
            worst_window: t.repeats.2 / t.described.burst.max(1.0),
        })
    }
}
