//! A second process under a keeper's name, beside the first and with an empty disk: the two are never both counted, one for
//! each of two holders. By fed time.

use poppykeel_coordination::lease::{
    Claim, Holder, Keeper, Record, Rules, Standing, Terms, ToKeeper,
};
use proptest::prelude::*;

const LONGEST: u64 = 1_000_000;
const TERMS: Terms = Terms {
    keepers: 0,
    length: LONGEST,
    drift: 0,
    patience: LONGEST / 8,
    pause: LONGEST / 64,
};

fn rules(me: usize, keepers: usize) -> Rules {
    Rules {
        keepers,
        me,
        longest: LONGEST,
        trust: false,
    }
}

/// Keepers in service, and a second process of one of them.
struct Fleet {
    keepers: Vec<Keeper>,
    twin: Keeper,
    /// Whose name it has.
    of: usize,
    now: u64,
    /// The first reaches the first process of the name, the second the other one.
    claims: [Claim; 2],
    /// The last question of each.
    asked: [Option<ToKeeper>; 2],
}

impl Fleet {
    fn new(count: usize, of: usize, starts: [u64; 2]) -> Fleet {
        let start = |place| if place == of { starts[0] } else { place as u64 };
        let mut keepers: Vec<Keeper> = (0..count)
            .map(|place| Keeper::new(rules(place, count), start(place), &[], 0))
            .collect();
        for now in [0, LONGEST] {
            for _ in 0..3 {
                for from in 0..count {
                    (0..count)
                        .filter(|to| *to != from)
                        .for_each(|to| recall(&mut keepers, from, to, now));
                }
            }
            keepers
                .iter_mut()
                .for_each(|keeper| drop(keeper.advance(now)));
        }
        assert!(keepers
            .iter()
            .all(|keeper| *keeper.standing() == Standing::Granting));
        let claim = |node: &str, incarnation| {
            let who = Holder {
                node: node.into(),
                incarnation,
            };
            Claim::new(
                "t",
                who,
                Terms {
                    keepers: count,
                    ..TERMS
                },
                LONGEST,
            )
        };
        let twin = Keeper::new(rules(of, count), starts[1], &[], LONGEST);
        Fleet {
            keepers,
            twin,
            of,
            now: LONGEST,
            claims: [claim("a", 1), claim("b", 2)],
            asked: [None, None],
        }
    }

    fn process(&mut self, claim: usize, place: usize) -> &mut Keeper {
        if claim == 1 && place == self.of {
            &mut self.twin
        } else {
            &mut self.keepers[place]
        }
    }

    /// Both processes of the name ask the others as long as they have to.
    fn recall(&mut self, second: bool, to: usize) {
        if to == self.of {
            return;
        }
        let now = self.now;
        if !second {
            return recall(&mut self.keepers, self.of, to, now);
        }
        let Some(question) = self.twin.recall() else {
            return;
        };
        let answer = self.keepers[to].handle(now, question).memory;
        answer
            .into_iter()
            .for_each(|(_, memory)| drop(self.twin.handle(now, memory)));
    }

    /// The last question of a claim reaches a keeper, and the answer comes back.
    fn deliver(&mut self, claim: usize, place: usize) {
        let Some(question) = self.asked[claim].clone() else {
            return;
        };
        let now = self.now;
        let Some(answer) = self.process(claim, place).handle(now, question).answer else {
            return;
        };
        let more = self.claims[claim].heard(now, place, &answer, 7);
        self.send(claim, more);
    }

    fn send(&mut self, claim: usize, messages: Vec<ToKeeper>) {
        for message in messages {
            if matches!(message, ToKeeper::Ask { .. }) {
                self.asked[claim] = Some(message);
                continue;
            }
            for place in 0..self.keepers.len() {
                let now = self.now;
                self.process(claim, place).handle(now, message.clone());
            }
        }
    }

    fn pass(&mut self, time: u64) {
        self.now += time;
        let now = self.now;
        self.keepers
            .iter_mut()
            .for_each(|keeper| drop(keeper.advance(now)));
        let _: Option<Record> = self.twin.advance(now);
        for claim in 0..2 {
            let messages = self.claims[claim].turn(now, 7);
            self.send(claim, messages);
        }
    }

    fn holders(&self) -> usize {
        self.claims
            .iter()
            .filter(|claim| claim.may_act(self.now).is_some())
            .count()
    }
}

fn recall(keepers: &mut [Keeper], from: usize, to: usize, now: u64) {
    let Some(question) = keepers[from].recall() else {
        return;
    };
    if let Some((back, memory)) = keepers[to].handle(now, question).memory {
        keepers[back].handle(now, memory);
    }
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    Deliver(usize, usize),
    Recall(bool, usize),
}

fn step(count: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1..LONGEST / 3).prop_map(Step::Pass),
        4 => (0usize..2, 0..count).prop_map(|(claim, place)| Step::Deliver(claim, place)),
        3 => (any::<bool>(), 0..count).prop_map(|(second, to)| Step::Recall(second, to)),
    ]
}

fn play(count: usize, of: usize, starts: [u64; 2], steps: &[Step]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(count, of, starts);
    fleet.pass(0);
    for step in steps {
        match *step {
            Step::Pass(time) => fleet.pass(time),
            Step::Deliver(claim, place) => fleet.deliver(claim, place),
            Step::Recall(second, to) => fleet.recall(second, to),
        }
        prop_assert!(
            fleet.holders() <= 1,
            "two holders at {} after {step:?}",
            fleet.now
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    #[test]
    fn two_processes_of_a_keepers_name_make_no_two_holders_among_three(
        of in 0usize..3, starts in any::<[u64; 2]>(), steps in proptest::collection::vec(step(3), 0..160),
    ) {
        play(3, of, starts, &steps)?;
    }

    #[test]
    fn two_processes_of_a_keepers_name_make_no_two_holders_among_five(
        of in 0usize..5, starts in any::<[u64; 2]>(), steps in proptest::collection::vec(step(5), 0..200),
    ) {
        play(5, of, starts, &steps)?;
    }
}

/// The way in which it went wrong: one holder renews by the old process and a keeper, another asks the new one and the
/// third. Once the second process has ended the first counts again, and with it any majority.
#[test]
fn the_first_process_counts_again_once_the_second_has_ended() {
    let mut fleet = Fleet::new(3, 0, [5, 3]);
    fleet.pass(0);
    let mut held_by_second = false;
    for _ in 0..40 {
        (1..3).for_each(|to| fleet.recall(true, to));
        [0, 1].iter().for_each(|place| fleet.deliver(0, *place));
        [0, 2].iter().for_each(|place| fleet.deliver(1, *place));
        assert!(fleet.holders() <= 1, "at {}", fleet.now);
        held_by_second |= fleet.claims[1].may_act(fleet.now).is_some();
        fleet.pass(LONGEST / 4);
    }
    assert!(held_by_second, "the newest process counts");
    // From here on nobody answers as the second process, and keeper 2 is gone, too.
    let mut held = false;
    for _ in 0..40 {
        (1..3).for_each(|to| fleet.recall(false, to));
        [0, 1].iter().for_each(|place| fleet.deliver(0, *place));
        held |= fleet.claims[0].may_act(fleet.now).is_some();
        fleet.pass(LONGEST / 4);
    }
    assert!(held, "{:?}", fleet.keepers[0].standing());
}
