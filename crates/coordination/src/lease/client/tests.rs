//! Explores keepers and claims, as they run in the node, in every order of events within bounds: loss, repeats,
//! reordering, pauses, restarts of keepers with the right and an old disk, clocks at the ends of the drift.

#![expect(
    clippy::min_ident_chars,
    clippy::redundant_closure_for_method_calls,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::{Claim, Round, State as Own, Terms};
use crate::lease::{Done, Holder, Keeper, Record, Rules, Standing, ToKeeper, ToNode};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::Instant;

const KEEPERS: usize = 3;
const CLAIMS: usize = 2;
/// A slow and a fast clock, in units by tick: as far apart as the drift below allows, to the unit.
const SLOW: u64 = 1;
const FAST: u64 = 2;
const DRIFT: u32 = 333_333;
const LENGTH: u64 = 4;
/// States that a run of the tests looks at, with those met again.
const MOST: usize = 2_000_000;

/// What is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The margin for drift.
    Margin,
    /// The look at the lease before the act.
    Check,
    /// The keeper's write before its answer.
    Sync,
    /// The look at the epoch by what is acted upon.
    Fence,
    /// The counting from the question.
    Question,
    /// The doubt about a disk that may be an older one.
    Doubt,
}

/// How far to look.
#[derive(Clone, Debug)]
struct Fleet {
    without: Without,
    ticks: u64,
    /// Messages delivered twice.
    repeats: u8,
    restarts: u8,
    /// Restarts come with the disk as it was at the very start.
    old_disk: bool,
    trust: bool,
    /// Rounds by claim.
    rounds: u64,
    rates: ([u64; KEEPERS], [u64; CLAIMS]),
    /// The second claim has heard of one more epoch than the first.
    ahead: bool,
}

impl Fleet {
    fn new(without: Without) -> Fleet {
        Fleet {
            without,
            ticks: 4,
            repeats: 0,
            restarts: 0,
            old_disk: false,
            trust: true,
            rounds: 2,
            rates: ([FAST; KEEPERS], [SLOW; CLAIMS]),
            ahead: false,
        }
    }

    fn rules(&self, me: usize) -> Rules {
        let trust = self.trust || self.without == Without::Doubt;
        // Where nobody asks the others their places don't matter, and keepers alike are one.
        Rules {
            keepers: KEEPERS,
            me: if trust { 0 } else { me },
            longest: LENGTH,
            trust,
        }
    }

    fn terms(&self) -> Terms {
        let drift = if self.without == Without::Margin {
            0
        } else {
            DRIFT
        };
        Terms {
            keepers: KEEPERS,
            length: LENGTH,
            drift,
            patience: 2,
            pause: 1,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    Ask {
        from: usize,
        to: usize,
        what: ToKeeper,
    },
    Answer {
        from: usize,
        to: usize,
        what: ToNode,
    },
    Among {
        to: usize,
        what: ToKeeper,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u64,
    keepers: Vec<Keeper>,
    disks: Vec<Vec<Record>>,
    claims: Vec<Claim>,
    /// On their way. What is never delivered is lost.
    net: BTreeSet<Packet>,
    /// Looked at the lease under this epoch, and has not acted yet.
    ready: Vec<Option<u64>>,
    repeats: u8,
    restarts: u8,
    /// The highest epoch that acted, and whose it was.
    acted: (u64, usize),
    /// Something that must not be has been accepted.
    wrong: bool,
    held: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    Turn(usize),
    Check(usize),
    Act(usize),
    Deliver(Packet),
    Repeat(Packet),
    Restart(usize),
    Recall(usize),
}

impl Fleet {
    fn keeper_now(&self, world: &World, k: usize) -> u64 {
        world.tick * self.rates.0[k]
    }
    fn claim_now(&self, world: &World, c: usize) -> u64 {
        world.tick * self.rates.1[c]
    }

    fn deliver(&self, world: &mut World, packet: &Packet) {
        match packet {
            Packet::Ask { from, to, what } => self.to_keeper(world, *to, Some(*from), what),
            Packet::Among { to, what } => self.to_keeper(world, *to, None, what),
            Packet::Answer { from, to, what } => {
                let now = self.claim_now(world, *to);
                let claim = &mut world.claims[*to];
                if let (
                    Without::Question,
                    Own::Asking(round)
                    | Own::Held {
                        round: Some(round), ..
                    },
                ) = (self.without, &mut claim.state)
                {
                    round.asked = now;
                }
                let out = claim.heard(now, *from, what, 0);
                self.to_all(world, *to, out);
            }
        }
    }

    fn to_keeper(&self, world: &mut World, k: usize, claim: Option<usize>, what: &ToKeeper) {
        let now = self.keeper_now(world, k);
        let Done {
            write,
            answer,
            memory,
        } = world.keepers[k].handle(now, what.clone());
        if self.without != Without::Sync {
            world.disks[k].extend(write);
        }
        if let (Some(to), Some(what)) = (claim, answer) {
            world.net.insert(Packet::Answer { from: k, to, what });
        }
        if let Some((to, what)) = memory {
            world.net.insert(Packet::Among { to, what });
        }
    }

    fn to_all(&self, world: &mut World, from: usize, out: Vec<ToKeeper>) {
        for what in out {
            for to in 0..KEEPERS {
                world.net.insert(Packet::Ask {
                    from,
                    to,
                    what: what.clone(),
                });
            }
        }
    }

    /// Takes away what can have no effect any more, so that worlds that differ in nothing else are one.
    fn tidy(&self, world: &mut World) {
        let (claims, keepers) = (&world.claims, &world.keepers);
        world.net.retain(|packet| match packet {
            Packet::Answer { to, what, .. } => {
                let claim = &claims[*to];
                let current = match &claim.state {
                    Own::Asking(round)
                    | Own::Held {
                        round: Some(round), ..
                    } => round.number,
                    _ => 0,
                };
                match what {
                    ToNode::Granted { round, .. } => *round == current,
                    ToNode::Refused { round, epoch, .. } => {
                        *round == current || *epoch > claim.known.max(claim.epoch)
                    }
                }
            }
            Packet::Ask {
                to,
                what: ToKeeper::Release { epoch, .. },
                ..
            } => keepers[*to].rows(0).all(|row| row.epoch <= *epoch),
            Packet::Among {
                to,
                what: ToKeeper::Memory { start, .. },
            } => keepers[*to]
                .recall()
                .is_some_and(|r| matches!(r, ToKeeper::Recall { start: now, .. } if now == *start)),
            _ => true,
        });
        // What is only shown, and what only makes pauses longer.
        for claim in &mut world.claims {
            (claim.other, claim.clashes) = (None, 0);
            if claim.known <= claim.epoch {
                claim.known = 0;
            }
        }
    }

    /// Puts keepers in an order that depends on nothing but what they and their messages are.
    fn sort(&self, world: &mut World) {
        if !self.trust && self.without != Without::Doubt {
            return;
        }
        let round = |claim: &Claim| match &claim.state {
            Own::Asking(round)
            | Own::Held {
                round: Some(round), ..
            } => Some(round.clone()),
            _ => None,
        };
        let rounds: Vec<Option<Round>> = world.claims.iter().map(round).collect();
        let key = |k: usize| {
            let lane: Vec<(usize, Option<&ToKeeper>, Option<&ToNode>)> = world
                .net
                .iter()
                .filter_map(|packet| match packet {
                    Packet::Ask { from, to, what } if *to == k => Some((*from, Some(what), None)),
                    Packet::Answer { from, to, what } if *from == k => {
                        Some((*to, None, Some(what)))
                    }
                    _ => None,
                })
                .collect();
            let seen: Vec<(bool, bool)> = rounds
                .iter()
                .flatten()
                .map(|round| (round.granted.contains_key(&k), round.refused.contains(&k)))
                .collect();
            let mut hasher = std::hash::DefaultHasher::new();
            (&world.keepers[k], &world.disks[k], lane, seen).hash(&mut hasher);
            hasher.finish()
        };
        let mut order: Vec<usize> = (0..KEEPERS).collect();
        order.sort_by_cached_key(|k| key(*k));
        let place = |k: usize| order.iter().position(|o| *o == k).unwrap_or(k);
        world.keepers = order.iter().map(|k| world.keepers[*k].clone()).collect();
        world.disks = order.iter().map(|k| world.disks[*k].clone()).collect();
        world.net = std::mem::take(&mut world.net)
            .into_iter()
            .map(|packet| match packet {
                Packet::Ask { from, to, what } => Packet::Ask {
                    from,
                    to: place(to),
                    what,
                },
                Packet::Answer { from, to, what } => Packet::Answer {
                    from: place(from),
                    to,
                    what,
                },
                other => other,
            })
            .collect();
        for claim in &mut world.claims {
            if let Own::Asking(round)
            | Own::Held {
                round: Some(round), ..
            } = &mut claim.state
            {
                round.granted = round
                    .granted
                    .iter()
                    .map(|(k, granter)| (place(*k), granter.clone()))
                    .collect();
                round.refused = round.refused.iter().map(|k| place(*k)).collect();
            }
        }
    }

    fn may_act(&self, world: &World, c: usize) -> Option<u64> {
        world.claims[c].may_act(self.claim_now(world, c))
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let claim = |n: usize| {
            let me = Holder {
                node: format!("{n}"),
                incarnation: 0,
            };
            let mut claim = Claim::new("t", me, self.terms(), 0);
            claim.known = if self.ahead { n as u64 } else { 0 };
            claim
        };
        let disk = vec![Record::Whole(Vec::new())];
        // The fleet is in service: its keepers have been granting for long.
        let keeper = |k| {
            let rules = Rules {
                trust: true,
                ..self.rules(k)
            };
            Keeper::new(rules, 0, &disk, 0)
        };
        vec![World {
            tick: 0,
            keepers: (0..KEEPERS).map(keeper).collect(),
            disks: vec![disk.clone(); KEEPERS],
            claims: (0..CLAIMS).map(claim).collect(),
            net: BTreeSet::new(),
            ready: vec![None; CLAIMS],
            repeats: self.repeats,
            restarts: self.restarts,
            acted: (0, 0),
            wrong: false,
            held: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.tick < self.ticks {
            steps.push(Step::Tick);
        }
        for c in 0..CLAIMS {
            let claim = &world.claims[c];
            if claim.due().is_some_and(|at| at <= self.claim_now(world, c))
                && claim.rounds < self.rounds
            {
                steps.push(Step::Turn(c));
            }
            if world.ready[c].is_none() {
                if let Some(epoch) = self.may_act(world, c) {
                    if world.acted != (epoch, c) {
                        steps.push(Step::Check(c));
                    }
                }
            } else {
                steps.push(Step::Act(c));
            }
        }
        for packet in &world.net {
            steps.push(Step::Deliver(packet.clone()));
            if world.repeats > 0 {
                steps.push(Step::Repeat(packet.clone()));
            }
        }
        for k in 0..KEEPERS {
            if world.restarts > 0 {
                steps.push(Step::Restart(k));
            }
            if world.keepers[k].recall().is_some() {
                steps.push(Step::Recall(k));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick => world.tick += 1,
            Step::Turn(c) => {
                let out = world.claims[c].turn(self.claim_now(last, c), 0);
                self.to_all(&mut world, c, out);
            }
            Step::Check(c) => world.ready[c] = self.may_act(last, c),
            Step::Act(c) => {
                let epoch = world.ready[c].take()?;
                let (highest, who) = last.acted;
                // What is acted upon refuses what is older than what it has seen.
                if epoch >= highest || self.without == Without::Fence {
                    // Never an older epoch, and never one epoch of two nodes.
                    world.wrong |= epoch < highest || (epoch == highest && who != c);
                    world.acted = (epoch, c);
                }
            }
            Step::Deliver(packet) => {
                world.net.remove(&packet);
                self.deliver(&mut world, &packet);
            }
            Step::Repeat(packet) => {
                world.repeats -= 1;
                self.deliver(&mut world, &packet);
            }
            Step::Restart(k) => {
                world.restarts -= 1;
                if self.old_disk {
                    world.disks[k] = vec![Record::Whole(Vec::new())];
                }
                let start = u64::from(self.restarts - world.restarts);
                let now = self.keeper_now(last, k);
                world.keepers[k] = Keeper::new(self.rules(k), start, &world.disks[k], now);
            }
            Step::Recall(k) => {
                let ask = last.keepers[k].recall()?;
                for to in (0..KEEPERS).filter(|to| *to != k) {
                    world.net.insert(Packet::Among {
                        to,
                        what: ask.clone(),
                    });
                }
            }
        }
        // A pause between the look and the act is a `ready` that is kept; without the look, whoever once held acts.
        if self.without == Without::Check {
            for c in 0..CLAIMS {
                if let (None, Own::Held { .. }) = (world.ready[c], &world.claims[c].state) {
                    if world.acted.0 < world.claims[c].epoch {
                        world.ready[c] = Some(world.claims[c].epoch);
                    }
                }
            }
        }
        self.tidy(&mut world);
        self.sort(&mut world);
        world.held |= (0..CLAIMS).any(|c| self.may_act(&world, c).is_some());
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two holders", |fleet: &Fleet, world: &World| {
                let holds = |c: usize| match fleet.without {
                    Without::Check => matches!(world.claims[c].state, Own::Held { .. }),
                    _ => fleet.may_act(world, c).is_some(),
                };
                (0..CLAIMS).filter(|c| holds(*c)).count() < 2
            }),
            Property::always("epochs never fall", |_, world: &World| !world.wrong),
            Property::sometimes("somebody holds", |_, world: &World| world.held),
            Property::sometimes("both have acted in turn", |_, world: &World| {
                world.acted.0 > 1 && world.claims.iter().all(|c| c.rounds > 0)
            }),
            Property::sometimes(
                "a restarted keeper grants",
                |fleet: &Fleet, world: &World| {
                    fleet.restarts == 0
                        || (world.restarts == 0
                            && world
                                .keepers
                                .iter()
                                .all(|k| *k.standing() == Standing::Granting))
                },
            ),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.tick <= self.ticks
    }
}

/// Looks through all states; what was found against a property, or None.
fn explore(name: &str, fleet: Fleet, most: usize) -> Option<&'static str> {
    let began = Instant::now();
    let never = ["never two holders", "epochs never fall"];
    let found = HasDiscoveries::AnyOf(never.into_iter().collect());
    let checker = fleet
        .checker()
        .threads(4)
        .finish_when(found)
        .target_state_count(most)
        .spawn_dfs()
        .join();
    let wrong = never.into_iter().find(|n| checker.discovery(n).is_some());
    let whole = checker.is_done() && checker.state_count() < most;
    println!(
        "{name}: {} states, depth {}, {:.1} s, {}: {}",
        checker.unique_state_count(),
        checker.max_depth(),
        began.elapsed().as_secs_f64(),
        if whole {
            "all within bounds"
        } else {
            "the first of more"
        },
        wrong.unwrap_or("no fault"),
    );
    if let Some(wrong) = wrong {
        let path = checker
            .discovery(wrong)
            .map(|p| p.into_actions())
            .unwrap_or_default();
        path.iter().for_each(|step| println!("    {step:?}"));
    }
    let reached = |what: &'static str| checker.discovery(what).is_some();
    if whole && wrong.is_none() {
        assert!(
            reached("somebody holds") && reached("a restarted keeper grants"),
            "{name}"
        );
    }
    wrong
}

/// All that is explored in full, and each safeguard taken out. `cargo test` runs it within seconds; the longer list
/// is `explores_further`.
#[test]
fn no_two_holders_within_bounds() {
    let plain = || Fleet::new(Without::Nothing);
    let lists = [
        (
            "one round each, keepers fast",
            Fleet {
                rounds: 1,
                ticks: 3,
                ..plain()
            },
        ),
        (
            "keepers slow",
            Fleet {
                rounds: 1,
                ticks: 3,
                rates: ([SLOW; 3], [FAST; 2]),
                ..plain()
            },
        ),
        (
            "one epoch ahead",
            Fleet {
                rounds: 1,
                ticks: 3,
                ahead: true,
                ..plain()
            },
        ),
        (
            "two keepers restart",
            Fleet {
                rounds: 1,
                ticks: 0,
                restarts: 2,
                ..plain()
            },
        ),
        (
            "an old disk",
            Fleet {
                rounds: 1,
                ticks: 1,
                restarts: 1,
                old_disk: true,
                trust: false,
                ..plain()
            },
        ),
    ];
    for (name, fleet) in lists {
        assert_eq!(explore(name, fleet, MOST), None, "{name}");
    }
}

#[test]
fn each_safeguard_taken_out_is_found() {
    let without = |without| Fleet {
        rounds: 1,
        ticks: 2,
        ahead: true,
        ..Fleet::new(without)
    };
    let lists = [
        ("no margin for drift", without(Without::Margin)),
        (
            "no look at the lease before the act",
            without(Without::Check),
        ),
        (
            "grants not synced",
            Fleet {
                restarts: 2,
                ticks: 1,
                ahead: false,
                ..without(Without::Sync)
            },
        ),
        (
            "no look at the epoch by what is acted upon",
            without(Without::Fence),
        ),
        ("counted from the answer", without(Without::Question)),
        (
            "an old disk believed",
            Fleet {
                restarts: 1,
                ticks: 1,
                old_disk: true,
                ..without(Without::Doubt)
            },
        ),
    ];
    for (name, fleet) in lists {
        assert!(explore(name, fleet, MOST).is_some(), "{name}");
    }
}

/// Minutes on four cores: `cargo test --release -p poppykeel-coordination explores_further -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes; docs/leases.md has its figures"]
fn explores_further() {
    let plain = || Fleet::new(Without::Nothing);
    let mixed = ([FAST, SLOW, FAST], [FAST, SLOW]);
    let lists = [
        (
            "one round each, four ticks",
            Fleet {
                rounds: 1,
                ..plain()
            },
        ),
        (
            "mixed clocks",
            Fleet {
                rounds: 1,
                rates: mixed,
                ..plain()
            },
        ),
        (
            "one message repeated",
            Fleet {
                rounds: 1,
                ticks: 3,
                repeats: 1,
                ..plain()
            },
        ),
        (
            "two rounds each",
            Fleet {
                ticks: 3,
                ..plain()
            },
        ),
        (
            "two keepers restart",
            Fleet {
                rounds: 1,
                ticks: 3,
                restarts: 2,
                ahead: true,
                ..plain()
            },
        ),
        (
            "an old disk",
            Fleet {
                rounds: 1,
                restarts: 1,
                old_disk: true,
                trust: false,
                ahead: true,
                ..plain()
            },
        ),
    ];
    let found: Vec<_> = lists
        .into_iter()
        .map(|(name, fleet)| explore(name, fleet, 40_000_000))
        .collect();
    assert!(found.iter().all(Option::is_none));
}
