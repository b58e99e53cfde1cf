//! Explores the divider and the nodes' shares, as they run in the node, in every order of events within bounds: messages
//! lost, late, repeated, out of order and astray, nodes that start again, a divider that follows another one, clocks at
//! both ends of the drift.

#![expect(clippy::too_many_lines, reason = "not yet converted")]

use super::{Divider, Message, Shares, Want, Whole};
use crate::lease::{hold, Holder};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const NODES: usize = 2;
/// A slow and a fast clock, in units by tick: as far apart as the drift allows, to the unit.
const SLOW: u64 = 1;
const FAST: u64 = 2;
const DRIFT: u32 = 333_333;
const LENGTH: u64 = 4;
const BUDGET: &str = "b";
/// Of 24 with the drift's margin 12 are left, and 10 without the floors of both nodes.
const WHOLE: Whole = Whole {
    rate: 24,
    burst: 0,
    floor: 1,
    floor_burst: 0,
    most_nodes: NODES as u32,
};
/// States that a run of the tests looks at, with those met again.
const MOST: usize = 1_500_000;

/// What is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A new divider's wait for the shares of the one before.
    Wait,
    /// The count of a share until its node has shown a newer one.
    Shown,
    /// The margin for drift in a share's length.
    Drift,
    /// The look at whom a share is for.
    Name,
    /// The count of shares given to a node that has started again.
    Restart,
}

#[derive(Clone, Debug)]
struct Fleet {
    without: Without,
    ticks: u64,
    asks: u8,
    repeats: u8,
    restarts: u8,
    follows: u8,
    /// Of the divider, and of the nodes.
    rates: (u64, u64),
}

impl Fleet {
    fn new(without: Without) -> Fleet {
        Fleet {
            without,
            ticks: 4,
            asks: 3,
            repeats: 0,
            restarts: 0,
            follows: 0,
            rates: (FAST, SLOW),
        }
    }
    fn drift(&self) -> u32 {
        if self.without == Without::Drift {
            0
        } else {
            DRIFT
        }
    }
    fn divider(&self, epoch: u64, now: u64) -> Divider {
        let began = if self.without == Without::Wait {
            now.saturating_sub(LENGTH)
        } else {
            now
        };
        Divider::new(
            epoch,
            [(BUDGET.to_string(), WHOLE)].into(),
            LENGTH,
            DRIFT,
            began,
        )
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    Ask(usize, Message),
    /// To whatever process has the node's name when it comes.
    Answer(usize, Message),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u64,
    divider: Divider,
    epoch: u64,
    nodes: Vec<(u64, Shares)>,
    net: BTreeSet<Packet>,
    asks: Vec<u8>,
    repeats: u8,
    restarts: u8,
    follows: u8,
    /// All of it has been in use.
    used: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    Ask(usize),
    Deliver(Packet),
    Repeat(Packet),
    Restart(usize),
    Follow,
}

fn holder(node: usize, incarnation: u64) -> Holder {
    Holder {
        node: format!("{node}"),
        incarnation,
    }
}

fn want() -> BTreeMap<String, Want> {
    [(BUDGET.to_string(), Want { rate: 20, worth: 1 })].into()
}

impl Fleet {
    fn node_now(&self, world: &World) -> u64 {
        world.tick * self.rates.1
    }

    fn spend(&self, world: &World) -> u64 {
        let now = self.node_now(world);
        world
            .nodes
            .iter()
            .map(|(_, shares)| shares.share(BUDGET, now).0)
            .sum()
    }

    fn deliver(&self, world: &mut World, packet: Packet) {
        match packet {
            Packet::Ask(node, message) => {
                let message = match (self.without, message) {
                    (
                        Without::Shown,
                        Message::Ask {
                            who,
                            epoch,
                            number,
                            rates,
                            wants,
                            ..
                        },
                    ) => {
                        let have = Some((epoch, u64::MAX));
                        Message::Ask {
                            who,
                            epoch,
                            number,
                            have,
                            rates,
                            wants,
                        }
                    }
                    // One name is one node, whatever process speaks.
                    (
                        Without::Restart,
                        Message::Ask {
                            who,
                            epoch,
                            number,
                            rates,
                            wants,
                            ..
                        },
                    ) => {
                        let (who, have) = (
                            Holder {
                                incarnation: 0,
                                ..who
                            },
                            Some((epoch, u64::MAX)),
                        );
                        Message::Ask {
                            who,
                            epoch,
                            number,
                            have,
                            rates,
                            wants,
                        }
                    }
                    (_, message) => message,
                };
                let now = world.tick * self.rates.0;
                if let Some(answer) = world.divider.asked(message, now) {
                    world.net.insert(Packet::Answer(node, answer));
                }
            }
            Packet::Answer(node, message) => {
                let now = self.node_now(world);
                let (incarnation, shares) = &mut world.nodes[node];
                let message = match (self.without, message) {
                    (
                        Without::Name | Without::Restart,
                        Message::Share {
                            epoch,
                            share,
                            number,
                            length,
                            rates,
                            ..
                        },
                    ) => Message::Share {
                        who: *incarnation,
                        epoch,
                        share,
                        number,
                        length,
                        rates,
                    },
                    (_, message) => message,
                };
                if shares.told(&message, now) {
                    let ask = shares.ask(want(), now);
                    world.net.insert(Packet::Ask(node, ask));
                }
            }
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        // The fleet is in service: this divider has waited.
        let divider = Divider::new(1, [(BUDGET.to_string(), WHOLE)].into(), LENGTH, DRIFT, 0);
        let divider = divider.open();
        let node = |n| {
            let mut shares = Shares::new(holder(n, 0), self.drift());
            shares.told(&Message::Hello(1), 0);
            (0, shares)
        };
        vec![World {
            tick: 0,
            divider,
            epoch: 1,
            nodes: (0..NODES).map(node).collect(),
            net: BTreeSet::new(),
            asks: vec![self.asks; NODES],
            repeats: self.repeats,
            restarts: self.restarts,
            follows: self.follows,
            used: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.tick < self.ticks {
            steps.push(Step::Tick);
        }
        // Whoever asks first has it all, and is lowered once the other one asks.
        steps.extend(
            (0..NODES)
                .filter(|node| world.asks[*node] > 0)
                .map(Step::Ask),
        );
        for packet in &world.net {
            steps.push(Step::Deliver(packet.clone()));
            if world.repeats > 0 {
                steps.push(Step::Repeat(packet.clone()));
            }
        }
        if world.restarts > 0 {
            steps.extend((0..NODES).map(Step::Restart));
        }
        if world.follows > 0 {
            steps.push(Step::Follow);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick => world.tick += 1,
            Step::Ask(node) => {
                world.asks[node] -= 1;
                let ask = world.nodes[node].1.ask(want(), self.node_now(last));
                world.net.insert(Packet::Ask(node, ask));
            }
            Step::Deliver(packet) => {
                world.net.remove(&packet);
                self.deliver(&mut world, packet);
            }
            Step::Repeat(packet) => {
                world.repeats -= 1;
                self.deliver(&mut world, packet);
            }
            Step::Restart(node) => {
                world.restarts -= 1;
                world.asks[node] = self.asks;
                let incarnation = world.nodes[node].0 + 1;
                let mut shares = Shares::new(holder(node, incarnation), self.drift());
                shares.told(&Message::Hello(world.epoch), 0);
                world.nodes[node] = (incarnation, shares);
            }
            Step::Follow => {
                world.follows -= 1;
                world.epoch += 1;
                world.divider = self.divider(world.epoch, world.tick * self.rates.0);
            }
        }
        world.used |= self.spend(&world) == WHOLE.divided(DRIFT);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "never more than the whole",
                |fleet: &Fleet, world: &World| fleet.spend(world) <= WHOLE.divided(DRIFT),
            ),
            Property::sometimes("all of it is in use", |_, world: &World| world.used),
            Property::sometimes(
                "a divider that follows gives",
                |fleet: &Fleet, world: &World| {
                    fleet.follows == 0
                        || (world.follows == 0 && world.epoch > 1 && fleet.spend(world) > 0)
                },
            ),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.tick <= self.ticks
    }
}

/// Looks through all states; whether the whole was exceeded.
fn explore(name: &str, fleet: Fleet, most: usize) -> bool {
    let began = Instant::now();
    let never = "never more than the whole";
    let found = HasDiscoveries::AnyOf([never].into_iter().collect());
    let checker = fleet
        .checker()
        .threads(4)
        .finish_when(found)
        .target_state_count(most)
        .spawn_bfs()
        .join();
    let wrong = checker.discovery(never);
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
        if wrong.is_some() {
            "exceeded"
        } else {
            "no fault"
        },
    );
    if whole && wrong.is_none() {
        assert!(checker.discovery("all of it is in use").is_some(), "{name}");
        assert!(
            checker.discovery("a divider that follows gives").is_some(),
            "{name}"
        );
    }
    for step in wrong.iter().flat_map(|path| path.clone().into_actions()) {
        println!("    {step:?}");
    }
    wrong.is_some()
}

#[test]
fn shares_never_sum_to_more_than_the_whole_within_bounds() {
    assert_eq!(hold(WHOLE.rate, DRIFT) - 2, WHOLE.divided(DRIFT));
    let plain = || Fleet::new(Without::Nothing);
    let lists = [
        (
            "two questions each",
            Fleet {
                asks: 2,
                ticks: 2,
                ..plain()
            },
        ),
        (
            "nodes fast",
            Fleet {
                asks: 2,
                ticks: 2,
                rates: (SLOW, FAST),
                ..plain()
            },
        ),
        (
            "one message repeated",
            Fleet {
                asks: 1,
                ticks: 2,
                repeats: 1,
                ..plain()
            },
        ),
        (
            "a node starts again",
            Fleet {
                asks: 1,
                ticks: 3,
                restarts: 1,
                ..plain()
            },
        ),
        (
            "a divider follows",
            Fleet {
                asks: 1,
                ticks: 3,
                follows: 1,
                ..plain()
            },
        ),
    ];
    for (name, fleet) in lists {
        assert!(!explore(name, fleet, MOST), "{name}");
    }
}

#[test]
fn each_safeguard_taken_out_is_found_by_exploring() {
    let without = |without| Fleet {
        asks: 2,
        ..Fleet::new(without)
    };
    let lists = [
        (
            "no wait after another divider",
            Fleet {
                follows: 1,
                ..without(Without::Wait)
            },
        ),
        ("not counted until shown", without(Without::Shown)),
        ("expiry without drift", without(Without::Drift)),
        (
            "shares of the process before",
            Fleet {
                asks: 1,
                restarts: 1,
                ..without(Without::Name)
            },
        ),
        (
            "old share forgotten at a restart",
            Fleet {
                asks: 1,
                restarts: 1,
                ..without(Without::Restart)
            },
        ),
    ];
    for (name, fleet) in lists {
        assert!(explore(name, fleet, MOST), "{name}");
    }
}

/// Minutes on four cores: `cargo test --release -p poppykeel-coordination shares_further -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn explores_shares_further() {
    let plain = || Fleet::new(Without::Nothing);
    let lists = [
        (
            "three questions each",
            Fleet {
                ticks: 5,
                ..plain()
            },
        ),
        (
            "one message repeated",
            Fleet {
                asks: 2,
                repeats: 1,
                ..plain()
            },
        ),
        (
            "two restarts",
            Fleet {
                asks: 2,
                restarts: 2,
                ..plain()
            },
        ),
        (
            "two dividers follow",
            Fleet {
                asks: 2,
                ticks: 6,
                follows: 2,
                ..plain()
            },
        ),
        (
            "a restart and a divider that follows",
            Fleet {
                asks: 2,
                restarts: 1,
                follows: 1,
                ..plain()
            },
        ),
    ];
    let found: Vec<bool> = lists
        .into_iter()
        .map(|(name, fleet)| explore(name, fleet, 20_000_000))
        .collect();
    assert!(found.iter().all(|exceeded| !exceeded));
}
