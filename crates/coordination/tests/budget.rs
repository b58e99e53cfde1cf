//! Budget allocator and granted quotas on a simulated clock, with lost, late, duplicated and reordered messages,
//! restarted nodes, replaced allocators, and clocks at the ends of the drift. The rate that all nodes may spend must
//! never exceed the limit, and without faults the whole limit must become usable.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/budget_fleet.rs"]
mod budget_fleet;

use budget_fleet::{
    step, Fleet, Step, BUDGET, DRIFT_PPM, GRANT_DURATION, LIMIT, NODES, SAFEGUARDS,
};
use poppykeel_coordination::budget::{allocate_max_min, BudgetLimit, Demand};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeMap;

/// A reference model without state: any sequence of steps is allowed.
#[derive(Clone, Debug)]
pub struct AnySteps;

impl ReferenceStateMachine for AnySteps {
    type State = AnySteps;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<AnySteps> {
        Just(AnySteps).boxed()
    }

    fn transitions(_: &AnySteps) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: AnySteps, _: &Step) -> AnySteps {
        state
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = AnySteps;

    fn init_test(_: &AnySteps) -> Fleet {
        Fleet::new(None)
    }

    fn apply(mut fleet: Fleet, _: &AnySteps, step: Step) -> Fleet {
        Fleet::apply(&mut fleet, &step);
        fleet
    }

    fn check_invariants(fleet: &Fleet, _: &AnySteps) {
        fleet.assert_within_limit();
    }

    /// Without faults, requests of all nodes must make the whole limit usable again.
    fn teardown(mut fleet: Fleet, _: AnySteps) {
        for _ in 0..12 {
            fleet.now += GRANT_DURATION / 4;
            for node in 0..NODES {
                fleet.request(node, 50_000);
            }
            while let Some(packet) = fleet.in_flight.pop() {
                fleet.deliver(packet);
                fleet.assert_within_limit();
            }
        }
        let allocatable = LIMIT.allocatable_rate(DRIFT_PPM);
        let guaranteed = LIMIT.guaranteed_rate * u64::from(LIMIT.max_nodes);
        let spendable_rate = fleet.spendable_rate();
        assert!(
            spendable_rate - guaranteed >= allocatable * 9 / 10,
            "{spendable_rate} of {allocatable}"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]
    #[test]
    fn spendable_rate_of_all_nodes_never_exceeds_the_limit(sequential 1..160 => Fleet);
}

proptest! {
    #[test]
    fn allocation_is_fair_and_within_the_total(
        total in 0u64..1_000_000,
        demands in proptest::collection::btree_map(0u8..30, (0u64..300_000, 1u32..6), 1..30),
    ) {
        let demands: BTreeMap<u8, Demand> = demands
            .into_iter()
            .map(|(key, (rate, weight))| (key, Demand { rate, weight }))
            .collect();
        let allocations = allocate_max_min(total, &demands);
        let sum: u64 = allocations.values().sum();
        prop_assert!(sum <= total);
        let demanded: u64 = demands.values().map(|demand| demand.rate).sum();
        // Demand is met as far as the total allows; rounding may leave one unit per key.
        prop_assert!(
            sum + demands.len() as u64 >= total.min(demanded),
            "{sum} of {total}, {demanded} demanded"
        );
        for (first, first_demand) in &demands {
            for (second, second_demand) in &demands {
                // A key with unmet demand gets at least as much per weight as any other key, except for rounding.
                if allocations[first] < first_demand.rate && second_demand.rate > 0 {
                    let own = allocations[first] / u64::from(first_demand.weight);
                    let other = allocations[second] / u64::from(second_demand.weight);
                    prop_assert!(own + 32 >= other, "{first} {own} {second} {other}");
                }
            }
        }
    }
}

/// Shows that the steps are sufficient to find the lack of each safeguard.
#[test]
fn finds_an_exceeded_limit_without_each_safeguard() {
    for safeguard in SAFEGUARDS {
        let mut runner = TestRunner::new(Config {
            rng_seed: RngSeed::Fixed(7),
            ..Config::default()
        });
        let sequences = proptest::collection::vec(step(), 20..160);
        let exceeds_limit = |_: &i32| {
            let mut fleet = Fleet::new(Some(safeguard));
            let steps = sequences.new_tree(&mut runner).unwrap().current();
            steps.iter().any(|step| {
                fleet.apply(step);
                fleet.spendable_rate() > LIMIT.rate
            })
        };
        let found = (0..20_000).find(exceeds_limit);
        println!("without {safeguard:?}: limit exceeded by sequence {found:?}");
        assert!(found.is_some(), "{safeguard:?}");
    }
}

#[test]
fn new_node_gets_the_free_rate_at_its_first_request_and_grants_of_dead_nodes_are_reused() {
    let mut fleet = Fleet::new(None);
    let request_all = |fleet: &mut Fleet, nodes: &[usize], rate: u64| {
        for node in nodes {
            fleet.request(*node, rate);
        }
        fleet.deliver_all();
    };
    // After a reduction, a node's previous, higher grant counts against the limit until the node has confirmed
    // the lower grant.
    for _ in 0..3 {
        request_all(&mut fleet, &[0, 1], 20_000);
    }
    request_all(&mut fleet, &[2], 20_000);
    assert!(fleet.granted_rate(2) > 0);
    // After nodes 1 and 2 have died, node 0 gets the whole allocatable rate within one grant duration.
    for _ in 0..10 {
        fleet.now += GRANT_DURATION / 8;
        request_all(&mut fleet, &[0], 300_000);
    }
    assert_eq!(fleet.granted_rate(0), LIMIT.allocatable_rate(DRIFT_PPM));
}

#[test]
fn grants_follow_changed_demand_and_stay_at_steady_demand() {
    let mut fleet = Fleet::new(None);
    let mut grants_after = |rates: [u64; 3]| -> Vec<u64> {
        for _ in 0..8 {
            fleet.now += GRANT_DURATION / 4;
            for (node, rate) in rates.into_iter().enumerate() {
                fleet.request(node, rate);
            }
            fleet.deliver_all();
        }
        (0..3).map(|node| fleet.granted_rate(node)).collect()
    };
    let first = grants_after([100_000, 10_000, 10_000]);
    assert!(first[0] > 55_000 && first[1] >= 10_000, "{first:?}");
    assert_eq!(
        grants_after([101_000, 10_100, 9_900]),
        first,
        "changes of less than a tenth are ignored"
    );
    let moved = grants_after([10_000, 100_000, 10_000]);
    assert!(
        moved[1] > 55_000 && moved[0] >= 10_000 && moved[0] < 30_000,
        "{moved:?}"
    );
}

#[test]
fn rejects_guarantees_above_the_limit_with_their_settings_key() {
    LIMIT.validate(DRIFT_PPM).unwrap();
    let invalid_key = |limit: BudgetLimit| limit.validate(DRIFT_PPM).unwrap_err().key();
    let high_rate = BudgetLimit {
        guaranteed_rate: 20_000,
        ..LIMIT
    };
    assert_eq!(invalid_key(high_rate), "floor");
    let high_burst = BudgetLimit {
        guaranteed_burst: 20_000,
        ..LIMIT
    };
    assert_eq!(invalid_key(high_burst), "floor_burst");
    let nothing = BudgetLimit {
        rate: 0,
        guaranteed_rate: 0,
        ..LIMIT
    };
    assert_eq!(nothing.allocatable_rate(DRIFT_PPM), 0);
}

/// A lowered limit must be in force after one grant duration. With a limit of zero, nothing is allocated.
#[test]
fn lowered_limit_is_reached_within_one_grant() {
    let mut fleet = Fleet::new(None);
    let granted_after = |fleet: &mut Fleet, rounds: usize| -> u64 {
        for _ in 0..rounds {
            fleet.now += GRANT_DURATION / 4;
            for node in 0..NODES {
                fleet.request(node, 50_000);
            }
            fleet.deliver_all();
        }
        (0..NODES).map(|node| fleet.granted_rate(node)).sum()
    };
    assert!(granted_after(&mut fleet, 8) > 70_000);
    for rate in [30_000, 8_000 * 11 / 10, 0] {
        let limit = BudgetLimit {
            rate,
            guaranteed_rate: if rate == 0 { 0 } else { LIMIT.guaranteed_rate },
            ..LIMIT
        };
        fleet
            .allocator
            .set_limits([(BUDGET.to_string(), limit)].into());
        // The status reports when the lower limit is reached.
        let now = fleet.allocator_now();
        let status = fleet.allocator.status(now).remove(0);
        let is_above = status.allocated > status.allocatable;
        let is_reported = (1..=GRANT_DURATION).contains(&status.excess_expires_in);
        assert_eq!(is_above, is_reported, "{rate}: {status:?}");
        assert!(is_above || rate < 30_000, "{status:?}");
        let granted = granted_after(&mut fleet, 5);
        assert!(granted <= limit.allocatable_rate(DRIFT_PPM), "{rate}");
    }
}
