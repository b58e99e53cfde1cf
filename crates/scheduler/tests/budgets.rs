//! What the decision module does with budgets of the fleet: hand-made events in, actions out.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    reason = "not yet converted"
)]

#[allow(dead_code)] // each file of tests uses a part
#[path = "support/rig.rs"]
mod rig;

use poppykeel_scheduler::interface::*;
use rig::*;

impl Rig {
    fn allow(&mut self, budgets: impl IntoIterator<Item = (BudgetKind, BudgetGrant)>) {
        self.brain.set_budget_grants(&budgets.into_iter().collect());
    }
}

fn budget(rate: f64, burst: f64, floor: f64, floor_burst: f64, until: Seconds) -> BudgetGrant {
    BudgetGrant {
        rate,
        burst,
        guaranteed_rate: floor,
        guaranteed_burst: floor_burst,
        expires_at: until,
    }
}

/// Retries that the module makes of so many failing requests, one each tenth of a second.
fn retries(rig: &mut Rig, from: u64, count: u64) -> usize {
    let mut made = 0;
    for n in from..from + count {
        rig.wait(0.1);
        assert_eq!(
            sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))).len(),
            1
        );
        // "Full" ejects nobody and may be tried elsewhere.
        let again = rig.end(n, 0, AttemptOutcome::AtCapacity, false);
        made += sends(&again).len();
        match sends(&again).is_empty() {
            true => assert_eq!(answers(&again), [n]),
            false => drop(rig.end(n, 1, AttemptOutcome::Completed, true)),
        }
    }
    made
}

#[test]
fn retries_are_spent_out_of_the_fleets_budget_and_the_rest_is_answered_at_once() {
    let rig = |allowed: Option<BudgetGrant>| {
        let mut rig = Rig::new(settings(), 40);
        rig.allow(allowed.map(|budget| (BudgetKind::Retries, budget)));
        rig
    };
    assert_eq!(retries(&mut rig(None), 1, 20), 20);
    assert_eq!(
        retries(&mut rig(Some(budget(0.0, 0.0, 0.0, 0.0, 1e9))), 1, 20),
        0
    );
    // The floor alone.
    let made = retries(&mut rig(Some(budget(0.0, 0.0, 1.0, 1.0, 0.0))), 1, 20);
    assert!((1..=2).contains(&made), "{made}");
    // Two seconds at two a second, from an empty bucket, floor and share together.
    let made = retries(&mut rig(Some(budget(1.5, 1.0, 0.5, 1.0, 1e9))), 1, 20);
    assert!((3..=4).contains(&made), "{made}");
    // A share that is over leaves the floor, and what had been saved beyond it is gone.
    let mut late = rig(Some(budget(100.0, 100.0, 0.5, 1.0, 101.0)));
    late.wait(5.0);
    let made = retries(&mut late, 1, 20);
    assert!((1..=2).contains(&made), "{made}");
    assert_eq!(late.brain.budget_demand()[&BudgetKind::Retries].units, 20.0);
}

const NONE: BudgetGrant = BudgetGrant {
    rate: 0.0,
    burst: 0.0,
    guaranteed_rate: 0.0,
    guaranteed_burst: 0.0,
    expires_at: 1e9,
};

fn probes(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Probe { .. }))
        .count()
}

/// A silent replica is probed each second; with a budget only as often as that has a probe, and each wish is counted.
#[test]
fn probes_are_spent_out_of_the_fleets_budget() {
    let probed = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
        let mut rig = Rig::new(settings(), 2);
        rig.allow(budgets);
        rig.tell(Event::RequestArrived(request(1, 0, 0, 30.0)));
        let count = probes(&rig.wait(20.0));
        (
            count,
            rig.brain
                .budget_demand()
                .get(&BudgetKind::Probes)
                .map_or(0.0, |w| w.units),
        )
    };
    let (free, _) = probed(vec![]);
    assert!(free >= 15, "{free}");
    let (none, wanted) = probed(vec![(BudgetKind::Probes, NONE)]);
    assert!(none == 0 && wanted >= 15.0, "{none} {wanted}");
    let (some, _) = probed(vec![(
        BudgetKind::Probes,
        BudgetGrant {
            guaranteed_rate: 0.25,
            guaranteed_burst: 1.0,
            ..NONE
        },
    )]);
    assert!((3..=6).contains(&some), "{some}");
}

/// A request that finds no budget of crossings waits for its own zone, and is answered in time where that has no
/// room; of what is saved up, half is for the class of the highest worth.
#[test]
fn crossings_go_to_the_class_of_higher_worth_first() {
    let crossing = |rig: &mut Rig, class: usize, from: u64| -> usize {
        let mut crossed = 0;
        for n in from..from + 20 {
            crossed += sends(&rig.tell(Event::RequestArrived(request(n, class, 0, 5.0)))).len();
        }
        crossed
    };
    // All replicas of this router's zone are gone: whatever is sent crosses.
    let rig = |budget: Option<BudgetGrant>| {
        let mut rig = Rig::new(settings(), 8);
        rig.tell(Event::EndpointsChanged(
            (0..8)
                .step_by(2)
                .map(|n| listing(n, EndpointState::Removed, None))
                .collect(),
        ));
        rig.allow(budget.map(|budget| (BudgetKind::CrossZone, budget)));
        rig
    };
    assert_eq!(crossing(&mut rig(None), 1, 1), 20);
    assert_eq!(crossing(&mut rig(Some(NONE)), 0, 1), 0);
    let saved = BudgetGrant {
        rate: 10.0,
        burst: 10.0,
        ..NONE
    };
    let mut low = rig(Some(saved));
    low.wait(1.5);
    let (lower, higher) = (crossing(&mut low, 1, 1), crossing(&mut low, 0, 100));
    assert!(
        (4..=6).contains(&lower) && (4..=6).contains(&higher),
        "{lower} {higher}"
    );
    // What could not go is wanted: the longer it waits, the more.
    let before = low.brain.budget_demand()[&BudgetKind::CrossZone];
    let late = low.wait(4.9);
    assert!(low.brain.budget_demand()[&BudgetKind::CrossZone].units > before.units);
    assert!(sends(&late).len() > 5, "{}", sends(&late).len());
}

/// With replicas of its own zone that have room, a router without a budget of crossings serves all there.
#[test]
fn without_crossings_the_own_zone_serves() {
    let mut rig = Rig::new(settings(), 8);
    rig.allow([(BudgetKind::CrossZone, NONE)]);
    for n in 1..=12 {
        let sent = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))));
        assert_eq!(sent.len(), 1);
        assert!((0..8).step_by(2).any(|near| replica(near) == sent[0].1));
    }
}

/// The work that a cold replica gets is what the fleet's budget gives this router of it, by how warm it must be.
#[test]
fn cold_replicas_get_what_the_fleets_budget_gives() {
    let sent = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
        let mut rig = Rig::new(settings(), 1);
        rig.allow(budgets);
        rig.tell(Event::EndpointsChanged(vec![listing(
            0,
            EndpointState::Available,
            Some(rig.now),
        )]));
        (1..=100)
            .map(|n| {
                rig.wait(0.1);
                let sent = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 0.1))));
                sent.iter()
                    .for_each(|(n, _)| drop(rig.end(*n, 0, AttemptOutcome::Completed, true)));
                sent.len()
            })
            .sum::<usize>()
    };
    assert_eq!(sent(vec![(BudgetKind::SlowStart, NONE)]), 0);
    let (little, much) = (
        sent(vec![(
            BudgetKind::SlowStart,
            BudgetGrant { rate: 1.0, ..NONE },
        )]),
        sent(vec![(
            BudgetKind::SlowStart,
            BudgetGrant { rate: 8.0, ..NONE },
        )]),
    );
    // Ten seconds of a start of twenty, from a tenth of its capacity: a third of it in the mean.
    assert!(
        (1..=5).contains(&little) && (12..=34).contains(&much),
        "{little} {much}"
    );
}

/// Requests of a tenant count as within its share by the fleet's budget for it, not by an even part.
#[test]
fn a_tenants_budget_decides_what_is_within_its_share() {
    let kept = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
        let site = settings();
        let tenants = site
            .tenants
            .iter()
            .map(|t| Tenant {
                rate_limit: 5.0,
                ..*t
            })
            .collect();
        let mut rig = Rig::new(SchedulerSettings { tenants, ..site }, 8);
        let full = rig.fill();
        rig.allow(budgets);
        rig.wait(1.5);
        for n in 1..=30 {
            rig.tell(Event::RequestArrived(request(n, 0, 0, 20.0)));
        }
        // What is beyond the share leaves after it.
        rig.tell(Event::RequestArrived(request(99, 1, 1, 20.0)));
        let ends = (1000..1000 + full).map(|n| rig.end(n, 0, AttemptOutcome::Completed, true));
        let order: Vec<u64> = ends.flat_map(|out| sends(&out)).map(|s| s.0).collect();
        order.iter().position(|n| *n == 99).unwrap_or(order.len())
    };
    let even = kept(vec![]);
    let (none, much) = (
        kept(vec![(BudgetKind::Tenant(0), NONE)]),
        kept(vec![(
            BudgetKind::Tenant(0),
            BudgetGrant {
                rate: 100.0,
                burst: 20.0,
                ..NONE
            },
        )]),
    );
    assert!(
        none <= 1 && (6..12).contains(&even) && much >= 18,
        "{none} {even} {much}"
    );
}

/// One unit a minute is one unit a minute: a share smaller than a unit adds up.
#[test]
fn a_share_smaller_than_one_unit_adds_up() {
    let mut rig = Rig::new(settings(), 40);
    rig.allow([(
        BudgetKind::Retries,
        BudgetGrant {
            rate: 0.1,
            burst: 0.0,
            guaranteed_burst: 1.0,
            ..NONE
        },
    )]);
    let made = retries(&mut rig, 1, 300);
    assert!((2..=3).contains(&made), "{made} in 30 s");
}

/// A process that stood still for longer than its share lasts wakes with a queue of retries: only what was saved
/// within the floor's burst goes out.
#[test]
fn a_queue_of_retries_after_a_long_stop_gets_the_floor_alone() {
    let mut rig = Rig::new(settings(), 40);
    rig.allow([(BudgetKind::Retries, budget(50.0, 50.0, 0.0, 1.0, 102.0))]);
    (1..=30).for_each(|n| drop(rig.tell(Event::RequestArrived(request(n, 0, 0, 60.0)))));
    rig.now += 20.0;
    let made: usize = (1..=30)
        .map(|n| sends(&rig.end(n, 0, AttemptOutcome::AtCapacity, false)).len())
        .sum();
    assert!(made <= 1, "{made}");
}

/// One tenant's burst takes nothing of another's: each has a budget of its own, and what is beyond it waits behind.
#[test]
fn a_tenants_burst_leaves_the_others_within_their_shares() {
    let mut rig = Rig::new(settings(), 8);
    let full = rig.fill();
    let each = BudgetGrant {
        rate: 10.0,
        burst: 10.0,
        ..NONE
    };
    rig.allow([(BudgetKind::Tenant(0), each), (BudgetKind::Tenant(1), each)]);
    rig.wait(1.5);
    for n in 1..=60 {
        rig.tell(Event::RequestArrived(request(n, 0, 0, 20.0)));
    }
    for n in 101..=108 {
        rig.tell(Event::RequestArrived(request(n, 0, 1, 20.0)));
    }
    let ends = (1000..1000 + full).map(|n| rig.end(n, 0, AttemptOutcome::Completed, true));
    let order: Vec<u64> = ends.flat_map(|out| sends(&out)).map(|s| s.0).collect();
    let last = (101..=108)
        .filter_map(|n| order.iter().position(|o| *o == n))
        .max()
        .unwrap_or(usize::MAX);
    assert!(
        last < 20,
        "the eighth of the other tenant leaves at place {last} of {order:?}"
    );
}
