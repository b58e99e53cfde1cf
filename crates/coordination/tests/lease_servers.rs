//! Keepers among themselves and with claims, by fed time: starts, lost memories, and what each hard case must not do.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_coordination::lease::{
    hold, Claim, Holder, Keeper, Record, Rules, Standing, Terms, ToKeeper, ToNode,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LONGEST: u64 = 1_000_000;

fn rules(me: usize, keepers: usize, trust: bool) -> Rules {
    Rules {
        keepers,
        me,
        longest: LONGEST,
        trust,
    }
}

fn who(node: &str, incarnation: u64) -> Holder {
    Holder {
        node: node.into(),
        incarnation,
    }
}

fn ask(who: &Holder, epoch: u64, round: u64) -> ToKeeper {
    ToKeeper::Ask {
        task: "t".into(),
        who: who.clone(),
        epoch,
        round,
        length: LONGEST,
    }
}

/// Keepers that grant, with their disks.
struct Table {
    keepers: Vec<Keeper>,
    disks: Vec<Vec<Record>>,
    trust: bool,
}

impl Table {
    fn first_start(count: usize, trust: bool) -> Table {
        let keeper = |me| Keeper::new(rules(me, count, trust), me as u64, &[], 0);
        let keepers = (0..count).map(keeper).collect();
        Table {
            keepers,
            disks: vec![Vec::new(); count],
            trust,
        }
    }
    /// Keepers that have come to grant at the time `LONGEST`.
    fn in_service(count: usize, trust: bool) -> Table {
        let mut table = Table::first_start(count, trust);
        table.settle(0);
        table.settle(LONGEST);
        assert_eq!(table.granting(), count);
        table
    }
    fn tell(&mut self, to: usize, now: u64, message: ToKeeper) -> Option<ToNode> {
        let done = self.keepers[to].handle(now, message);
        self.disks[to].extend(done.write);
        if let Some((back, memory)) = done.memory {
            assert_eq!(self.tell(back, now, memory), None);
        }
        done.answer
    }
    fn recall(&mut self, from: usize, to: usize, now: u64) {
        if let Some(question) = self.keepers[from].recall() {
            self.tell(to, now, question);
        }
        let whole = self.keepers[from].advance(now);
        self.disks[from].extend(whole);
    }
    fn settle(&mut self, now: u64) {
        for _ in 0..2 {
            for from in 0..self.keepers.len() {
                (0..self.keepers.len())
                    .filter(|to| *to != from)
                    .for_each(|to| self.recall(from, to, now));
            }
        }
        (0..self.keepers.len()).for_each(|k| drop(self.keepers[k].advance(now)));
    }
    fn restart(&mut self, k: usize, start: u64, now: u64) {
        let rules = rules(k, self.keepers.len(), self.trust);
        self.keepers[k] = Keeper::new(rules, start, &self.disks[k], now);
    }
    fn granting(&self) -> usize {
        self.keepers
            .iter()
            .filter(|k| *k.standing() == Standing::Granting)
            .count()
    }
}

fn granted(answer: Option<ToNode>) -> bool {
    matches!(answer, Some(ToNode::Granted { .. }))
}

proptest! {
    /// Whatever the order in which questions pass and are lost, all keepers of a first start come to grant.
    #[test]
    fn a_first_start_ends_whatever_is_lost(order in proptest::collection::vec((0usize..5, 0usize..5), 0..40)) {
        let mut table = Table::first_start(5, false);
        for (from, to) in order {
            if from != to {
                table.recall(from, to, 10);
            }
        }
        table.settle(20);
        table.settle(LONGEST + 20);
        prop_assert_eq!(table.granting(), 5);
    }

    /// A keeper that lost its disk never grants an epoch that a majority with it has granted before.
    #[test]
    fn a_lost_disk_never_lets_an_epoch_fall(
        lost in 0usize..3, others in proptest::collection::vec((0usize..3, 0usize..3), 0..12), epoch in 1u64..9,
    ) {
        let mut table = Table::in_service(3, false);
        let (a, b) = (who("a", 1), who("b", 2));
        let voters = [lost, (lost + 1) % 3];
        prop_assert!(voters.iter().all(|k| granted(table.tell(*k, LONGEST, ask(&a, epoch, 1)))));
        table.disks[lost].clear();
        let now = LONGEST + 5;
        table.restart(lost, 77, now);
        for (from, to) in others {
            if from != to {
                table.recall(from, to, now);
            }
        }
        for k in [lost, (lost + 2) % 3] {
            prop_assert!(!granted(table.tell(k, now + 1, ask(&b, epoch, 1))) || k != lost);
        }
        table.settle(now + 1);
        table.settle(now + 1 + LONGEST);
        prop_assert!(!granted(table.tell(lost, now + 1 + LONGEST, ask(&b, epoch, 2))));
        prop_assert!(granted(table.tell(lost, now + 1 + LONGEST, ask(&b, epoch + 1, 3))));
    }
}

#[test]
fn all_keepers_back_at_once_wait_out_what_they_had_granted() {
    for trust in [false, true] {
        let mut table = Table::in_service(3, trust);
        let (a, b) = (who("a", 1), who("b", 2));
        (0..3).for_each(|k| assert!(granted(table.tell(k, LONGEST, ask(&a, 1, 1)))));
        let back = 2 * LONGEST - 1;
        (0..3).for_each(|k| table.restart(k, 50 + k as u64, back));
        table.settle(back);
        // The holder may have been told at the last moment before the loss.
        assert!(!granted(table.tell(0, back + LONGEST - 1, ask(&b, 2, 1))));
        table.settle(back + LONGEST);
        assert!(
            granted(table.tell(0, back + LONGEST, ask(&b, 2, 2))),
            "{trust}"
        );
    }
}

#[test]
fn a_blank_keeper_alone_with_blank_ones_of_another_start_waits_for_memory() {
    let mut table = Table::in_service(3, false);
    // Two of three lose their disks: what the fleet knew may be gone, and nobody acts as if it were not.
    for k in [0, 1] {
        table.disks[k].clear();
        table.restart(k, 90 + k as u64, LONGEST);
    }
    table.settle(9 * LONGEST);
    assert_eq!(table.granting(), 1);
}

#[test]
fn the_same_name_twice_is_two_holders() {
    let mut table = Table::in_service(1, false);
    let (one, two) = (who("n", 1), who("n", 2));
    assert!(granted(table.tell(0, LONGEST, ask(&one, 1, 1))));
    assert!(!granted(table.tell(0, LONGEST, ask(&two, 1, 1))));
    assert!(!granted(table.tell(0, LONGEST, ask(&two, 2, 2))));
    assert!(granted(table.tell(0, 2 * LONGEST, ask(&two, 2, 3))));
}

#[test]
fn a_release_that_comes_late_frees_nothing_of_the_next_holder() {
    let mut table = Table::in_service(1, false);
    let (a, b) = (who("a", 1), who("b", 2));
    let back = |who: &Holder, epoch| ToKeeper::Release {
        task: "t".into(),
        who: who.clone(),
        epoch,
    };
    assert!(granted(table.tell(0, LONGEST, ask(&a, 1, 1))));
    table.tell(0, LONGEST, back(&a, 1));
    assert!(granted(table.tell(0, LONGEST, ask(&b, 2, 1))));
    table.tell(0, LONGEST, back(&a, 1));
    table.tell(0, LONGEST, back(&a, 2));
    assert!(!granted(table.tell(0, LONGEST + 1, ask(&a, 3, 2))));
}

#[test]
fn lengths_that_are_none_or_too_long_are_refused() {
    let mut table = Table::in_service(1, false);
    for length in [0, LONGEST + 1] {
        let ask = ToKeeper::Ask {
            task: "t".into(),
            who: who("a", 1),
            epoch: 1,
            round: 1,
            length,
        };
        assert!(matches!(
            table.tell(0, LONGEST, ask),
            Some(ToNode::Refused { .. })
        ));
    }
}

proptest! {
    /// Two clocks at the ends of the drift: the holder's time is over before the keeper's.
    #[test]
    fn a_hold_ends_before_its_grant(length in 1u64..600_000_000, drift in 0u32..400_000) {
        let (d, held) = (f64::from(drift) / 1e6, hold(length, drift) as f64);
        prop_assert!(held / (1.0 - d) <= length as f64 / (1.0 + d) + 1e-3);
    }
}

/// Three hundred nodes ask at one instant: one holds within a few rounds, and never two.
#[test]
#[allow(clippy::type_complexity)] // by the time of arrival: claim, keeper, and the question or the answer
fn three_hundred_contenders_at_one_instant_end_with_one_holder() {
    let mut table = Table::in_service(3, false);
    let terms = Terms {
        keepers: 3,
        length: LONGEST,
        drift: 1000,
        patience: 100_000,
        pause: 25_000,
    };
    let mut claims: Vec<Claim> = (0..300)
        .map(|n| Claim::new("t", who(&format!("n{n}"), n), terms, LONGEST))
        .collect();
    // Each message takes its own time, so that contenders meet the keepers in different orders.
    let mut wire: BTreeMap<(u64, u64), (usize, usize, Result<ToKeeper, ToNode>)> = BTreeMap::new();
    let (mut now, mut number, mut random) = (LONGEST, 0u64, 7u64);
    let mut draw = move || {
        random = random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        random >> 33
    };
    let mut held_at = None;
    while now < 20 * LONGEST && held_at.is_none() {
        for (c, claim) in claims.iter_mut().enumerate() {
            if claim.due().is_some_and(|at| at <= now) {
                for message in claim.turn(now, draw()) {
                    for k in 0..3 {
                        number += 1;
                        wire.insert(
                            (now + 100 + draw() % 2000, number),
                            (c, k, Ok(message.clone())),
                        );
                    }
                }
            }
        }
        while let Some(entry) = wire.first_entry().filter(|e| e.key().0 <= now) {
            let (c, k, what) = entry.remove();
            let (back, to_all) = match what {
                Ok(message) => (table.tell(k, now, message), Vec::new()),
                Err(answer) => (None, claims[c].heard(now, k, &answer, draw())),
            };
            for (k, what) in back.map(|a| (k, Err(a))).into_iter() {
                number += 1;
                wire.insert((now + 100 + draw() % 2000, number), (c, k, what));
            }
            for (message, k) in to_all.iter().flat_map(|m| (0..3).map(move |k| (m, k))) {
                number += 1;
                wire.insert(
                    (now + 100 + draw() % 2000, number),
                    (c, k, Ok(message.clone())),
                );
            }
        }
        let holders = claims.iter().filter(|c| c.may_act(now).is_some()).count();
        assert!(holders < 2);
        held_at = (holders == 1).then_some(now);
        now += 100;
    }
    let took = held_at.expect("somebody holds") - LONGEST;
    println!("held after {} ms, {number} messages", took / 1000);
    assert!(took < 3 * LONGEST, "{took}");
}

/// A keeper that comes back with shorter leases in its file still waits for the longer ones that it had granted.
#[test]
fn leases_made_shorter_do_not_shorten_the_wait_for_those_granted_before() {
    let mut table = Table::in_service(3, false);
    assert!(granted(table.tell(0, LONGEST, ask(&who("a", 1), 1, 1))));
    let shorter = Rules {
        longest: LONGEST / 10,
        ..rules(0, 3, false)
    };
    table.keepers[0] = Keeper::new(shorter, 9, &table.disks[0], LONGEST + 1);
    table.settle(LONGEST + 1);
    assert_eq!(
        *table.keepers[0].standing(),
        Standing::Waiting(2 * LONGEST + 1)
    );
}

proptest! {
    /// Two processes of one name: whatever a keeper answers to one of them may come to the other, since messages go by
    /// name, and both count their rounds and epochs alike. Never do both find that they may act, and never does one by
    /// grants that were the other's.
    #[test]
    fn an_answer_to_the_other_process_of_ones_name_is_nobodys(
        order in proptest::collection::vec((any::<bool>(), 0usize..3, any::<bool>()), 1..40),
    ) {
        let mut table = Table::in_service(3, false);
        let terms = Terms { keepers: 3, length: LONGEST, drift: 1000, patience: 100_000, pause: 25_000 };
        let mut claims = [1, 2].map(|n| Claim::new("t", who("n", n), terms, LONGEST));
        let asks = [0, 1].map(|c| claims[c].turn(LONGEST, 0).remove(0));
        let mut granted_to: [std::collections::BTreeSet<usize>; 2] = Default::default();
        for (second, keeper, astray) in order {
            let asker = usize::from(second);
            let Some(answer) = table.tell(keeper, LONGEST, asks[asker].clone()) else { continue };
            if granted(Some(answer.clone())) {
                granted_to[asker].insert(keeper);
            }
            claims[asker ^ usize::from(astray)].heard(LONGEST, keeper, &answer, 0);
            let held = [0, 1].map(|c| claims[c].may_act(LONGEST).is_some());
            prop_assert!(!(held[0] && held[1]));
            for c in 0..2 {
                prop_assert!(!held[c] || granted_to[c].len() >= 2, "{c} holds by {granted_to:?}");
            }
        }
    }
}
