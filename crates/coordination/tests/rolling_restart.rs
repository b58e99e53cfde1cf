//! Rolling a fleet by fed time, with messages lost, late and twice, and the one in charge lost: never more out than
//! allowed, and in the end all have been.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_coordination::rolling_restart::{Charge, Message, Order, Own, Part};
use proptest::prelude::*;

const NODES: usize = 7;
const BACK: u64 = 1_000;

fn names() -> Vec<String> {
    (0..NODES).map(|n| format!("n{n}")).collect()
}

fn id() -> (u64, String) {
    (1, "n0".into())
}

fn knowing() -> Own {
    let mut own = Own::default();
    own.learn(order(1));
    own
}

fn order(out: u32) -> Order {
    Order {
        number: 1,
        by: "n0".into(),
        nodes: names(),
        out,
        hold: 20,
        back: BACK,
    }
}

/// What the wire does to one message: nothing, loses it, holds it back for a while, or passes it now and again later.
#[derive(Clone, Copy, Debug)]
enum Wire {
    Now,
    Lost,
    Late(u64),
    Twice(u64),
}

fn wire() -> impl Strategy<Value = Wire> {
    prop_oneof![
        6 => Just(Wire::Now),
        1 => Just(Wire::Lost),
        1 => (1u64..400).prop_map(Wire::Late),
        1 => (1u64..400).prop_map(Wire::Twice),
    ]
}

struct World {
    own: Vec<Own>,
    later: Vec<(u64, usize, Message)>,
    /// How many were out at most.
    most: usize,
    /// How many keepers were in at least.
    least_keepers: usize,
    been: Vec<bool>,
}

impl World {
    fn new(out: u32) -> World {
        let mut own = vec![Own::default(); NODES];
        own.iter_mut().for_each(|own| own.learn(order(out)));
        World {
            own,
            later: Vec::new(),
            most: 0,
            least_keepers: 3,
            been: vec![false; NODES],
        }
    }
    fn deliver(&mut self, to: usize, message: &Message, now: u64) -> Option<Message> {
        let answer = match message {
            Message::Ask(epoch, time, order) => self.own[to].asked(*epoch, *time, order, true, now),
            Message::Act(epoch, time, leave) => {
                self.own[to].act(*epoch, *time, *leave);
                None
            }
            _ => None,
        };
        self.look();
        answer
    }
    fn look(&mut self) {
        let out: Vec<bool> = self.own.iter().map(|o| o.part() == Part::Out).collect();
        self.most = self.most.max(out.iter().filter(|o| **o).count());
        self.least_keepers = self
            .least_keepers
            .min(out[..3].iter().filter(|o| !**o).count());
        self.been
            .iter_mut()
            .zip(&out)
            .for_each(|(been, out)| *been |= *out);
    }
    fn pass(&mut self, to: usize, message: Message, wire: Wire, now: u64) -> Option<Message> {
        match wire {
            Wire::Lost => None,
            Wire::Now => self.deliver(to, &message, now),
            Wire::Late(wait) => {
                self.later.push((now + wait, to, message));
                None
            }
            Wire::Twice(wait) => {
                self.later.push((now + wait, to, message.clone()));
                self.deliver(to, &message, now)
            }
        }
    }
    fn settle(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|l| l.0 <= now);
        self.later = later;
        for (_, to, message) in due {
            self.deliver(to, &message, now);
        }
        self.own.iter_mut().for_each(|own| {
            own.turn(now);
        });
        self.look();
    }
}

proptest! {
    #[test]
    fn never_more_out_than_allowed(
        out in 1u32..4,
        wires in proptest::collection::vec(wire(), 1..400),
        lost in proptest::collection::vec(1usize..60, 0..4),
    ) {
        let mut world = World::new(out);
        let (mut now, mut epoch, mut turns) = (0, 1, 0);
        let mut wires = wires.into_iter().cycle();
        let keepers = names()[..3].to_vec();
        let mut charge = Charge::new(epoch, order(out), keepers.clone(), 0, now);
        let mut lost = lost.into_iter();
        let mut lose = lost.next();
        while turns < 3000 {
            (now, turns) = (now + 10, turns + 1);
            world.settle(now);
            if lose.as_mut().is_some_and(|left| { *left -= 1; *left == 0 }) {
                // The one in charge is lost, and the next one knows nothing but the order.
                epoch += 1;
                charge = Charge::new(epoch, order(out), keepers.clone(), 0, now);
                lose = lost.next();
            }
            let quiet = turns > 2000;
            let ask = charge.ask();
            for n in 0..NODES {
                let wire = if quiet { Wire::Now } else { wires.next().unwrap() };
                if let Some(Message::Tell(epoch, time, part, idle)) = world.pass(n, ask.clone(), wire, now) {
                    charge.told(&format!("n{n}"), epoch, time, part, idle, now);
                }
            }
            for (name, act) in charge.acts(now) {
                let n = name[1..].parse().unwrap();
                let wire = if quiet { Wire::Now } else { wires.next().unwrap() };
                world.pass(n, act, wire, now);
            }
        }
        prop_assert!(world.most <= out as usize, "{} out", world.most);
        prop_assert!(world.least_keepers >= 2, "{} keepers in", world.least_keepers);
        prop_assert!(charge.finished(now) && world.been.iter().all(|b| *b), "{:?}", charge.progress(now));
    }
}

#[test]
fn an_act_from_before_the_last_question_is_not_carried_out() {
    let mut own = knowing();
    own.asked(1, 1, &id(), true, 0);
    own.asked(1, 2, &id(), true, 1);
    assert!(!own.act(1, 1, true));
    assert!(own.act(1, 2, true) && own.part() == Part::Out);
    // One in charge of an earlier epoch woke up.
    own.asked(2, 1, &id(), true, 3);
    assert!(own.asked(1, 3, &id(), true, 4).is_none() && !own.act(1, 3, false));
}

#[test]
fn whoever_is_out_and_forgotten_comes_back() {
    let mut own = knowing();
    own.asked(1, 1, &id(), true, 0);
    assert!(own.act(1, 1, true) && !own.turn(BACK - 1));
    assert!(own.turn(BACK) && own.part() == Part::Done);
}

#[test]
fn a_node_that_does_not_know_the_order_asks_for_it_and_tells_of_a_newer_one() {
    let mut own = Own::default();
    assert_eq!(own.asked(1, 1, &id(), true, 0), Some(Message::Want));
    own.learn(order(1));
    assert_eq!(
        own.asked(1, 2, &id(), true, 0),
        Some(Message::Tell(1, 2, Part::Waiting, false))
    );
    let newer = Order {
        number: 2,
        ..order(3)
    };
    own.learn(newer.clone());
    own.learn(order(1));
    assert_eq!(own.asked(1, 3, &id(), true, 0), Some(Message::Order(newer)));
}
