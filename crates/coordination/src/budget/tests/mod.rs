//! Explores the allocator and the nodes' granted quotas, as they run in the node, in every order of events within bounds:
//! messages lost, late, repeated, out of order and astray, nodes that start again, an allocator that follows another one,
//! clocks at both ends of the drift.

mod model;

use crate::lease::reduce_by_drift;
use model::{BudgetModel, ClockRates, Safeguard, DRIFT_PPM, FAST, LIMIT, SLOW};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// How many states a run of the tests looks at, with those met again.
const MAX_STATES: usize = 1_500_000;
/// How many states the longer exploration looks at.
const MAX_STATES_FURTHER: usize = 20_000_000;

/// A model with its name.
type Case = (&'static str, BudgetModel);

fn unchanged() -> BudgetModel {
    BudgetModel::new(None)
}

/// Looks through all states; whether the limit was exceeded.
fn exceeds_limit(name: &str, model: BudgetModel, max_states: usize) -> bool {
    let started_at = Instant::now();
    let property = "never more than the limit";
    let violation = HasDiscoveries::AnyOf([property].into_iter().collect());
    let checker = model
        .checker()
        .threads(4)
        .finish_when(violation)
        .target_state_count(max_states)
        .spawn_bfs()
        .join();
    let violating_path = checker.discovery(property);
    let is_exhaustive = checker.is_done() && checker.state_count() < max_states;
    println!(
        "{name}: {} states, depth {}, {:.1} s, {}: {}",
        checker.unique_state_count(),
        checker.max_depth(),
        started_at.elapsed().as_secs_f64(),
        if is_exhaustive {
            "all within bounds"
        } else {
            "the first of more"
        },
        if violating_path.is_some() {
            "exceeded"
        } else {
            "no fault"
        },
    );
    if is_exhaustive && violating_path.is_none() {
        assert!(checker.discovery("all of it is in use").is_some(), "{name}");
        assert!(
            checker
                .discovery("an allocator that follows grants")
                .is_some(),
            "{name}"
        );
    }
    let is_exceeded = violating_path.is_some();
    for action in violating_path
        .into_iter()
        .flat_map(stateright::Path::into_actions)
    {
        println!("    {action:?}");
    }
    is_exceeded
}

/// Models that are explored in full within seconds.
fn short_cases() -> [Case; 5] {
    let two_requests = BudgetModel {
        requests: 2,
        ticks: 2,
        ..unchanged()
    };
    let fast_nodes = BudgetModel {
        clock_rates: ClockRates {
            allocator: SLOW,
            nodes: FAST,
        },
        ..two_requests.clone()
    };
    let one_repeat = BudgetModel {
        requests: 1,
        ticks: 2,
        repeats: 1,
        ..unchanged()
    };
    let one_restart = BudgetModel {
        requests: 1,
        ticks: 3,
        restarts: 1,
        ..unchanged()
    };
    let one_successor = BudgetModel {
        requests: 1,
        ticks: 3,
        successors: 1,
        ..unchanged()
    };
    [
        ("two requests each", two_requests),
        ("nodes fast", fast_nodes),
        ("one message repeated", one_repeat),
        ("a node starts again", one_restart),
        ("an allocator follows", one_successor),
    ]
}

/// Models in which one safeguard is taken out.
fn cases_without_safeguard() -> [Case; 5] {
    let without = |safeguard| BudgetModel {
        requests: 2,
        ..BudgetModel::new(Some(safeguard))
    };
    let no_wait = BudgetModel {
        successors: 1,
        ..without(Safeguard::WaitForOldGrants)
    };
    let grants_astray = BudgetModel {
        requests: 1,
        restarts: 1,
        ..without(Safeguard::RequesterCheck)
    };
    let grants_forgotten = BudgetModel {
        requests: 1,
        restarts: 1,
        ..without(Safeguard::AccountOfEarlierProcess)
    };
    [
        ("no wait after another allocator", no_wait),
        (
            "not counted until shown",
            without(Safeguard::CountUntilShown),
        ),
        ("expiry without drift", without(Safeguard::DriftMargin)),
        ("grants of the process before", grants_astray),
        ("old grant forgotten at a restart", grants_forgotten),
    ]
}

/// Models that take minutes.
fn long_cases() -> [Case; 5] {
    let three_requests = BudgetModel {
        ticks: 5,
        ..unchanged()
    };
    let two_requests = BudgetModel {
        requests: 2,
        ..unchanged()
    };
    let one_repeat = BudgetModel {
        repeats: 1,
        ..two_requests.clone()
    };
    let two_restarts = BudgetModel {
        restarts: 2,
        ..two_requests.clone()
    };
    let two_successors = BudgetModel {
        ticks: 6,
        successors: 2,
        ..two_requests.clone()
    };
    let restart_and_successor = BudgetModel {
        restarts: 1,
        successors: 1,
        ..two_requests
    };
    [
        ("three requests each", three_requests),
        ("one message repeated", one_repeat),
        ("two restarts", two_restarts),
        ("two allocators follow", two_successors),
        (
            "a restart and an allocator that follows",
            restart_and_successor,
        ),
    ]
}

#[test]
fn grants_never_sum_to_more_than_the_limit_within_bounds() {
    let guaranteed_of_both_nodes = 2;
    assert_eq!(
        reduce_by_drift(LIMIT.rate, DRIFT_PPM) - guaranteed_of_both_nodes,
        LIMIT.allocatable_rate(DRIFT_PPM)
    );
    for (name, model) in short_cases() {
        assert!(!exceeds_limit(name, model, MAX_STATES), "{name}");
    }
}

#[test]
fn finds_an_exceeded_limit_without_each_safeguard() {
    for (name, model) in cases_without_safeguard() {
        assert!(exceeds_limit(name, model, MAX_STATES), "{name}");
    }
}

/// Minutes on four cores: `cargo test --release -p poppykeel-coordination explores_grants_further -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn explores_grants_further() {
    let exceeded: Vec<bool> = long_cases()
        .into_iter()
        .map(|(name, model)| exceeds_limit(name, model, MAX_STATES_FURTHER))
        .collect();
    assert!(exceeded.iter().all(|is_exceeded| !is_exceeded));
}
