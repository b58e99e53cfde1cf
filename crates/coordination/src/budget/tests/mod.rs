//! Model checking of the budget allocator and the granted quotas that run in the node. Explores every order of events
//! within bounds: lost, late, duplicated, reordered and misdelivered messages, restarted nodes, a replaced allocator,
//! and clocks at both ends of the drift.

mod model;

use crate::lease::reduce_by_drift;
use model::{BudgetModel, ClockRates, Safeguard, DRIFT_PPM, FAST, LIMIT, SLOW};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// The maximum number of states per model in a normal test run, including revisited states.
const MAX_STATES: usize = 1_500_000;
/// The maximum number of states per model in the extended run.
const MAX_STATES_EXTENDED: usize = 20_000_000;

/// The name of a model in the output, and the model.
type Case = (&'static str, BudgetModel);

fn model_with_all_safeguards() -> BudgetModel {
    BudgetModel::new(None)
}

/// Explores up to `max_states` states. Returns whether the limit was exceeded.
fn exceeds_limit(name: &str, model: BudgetModel, max_states: usize) -> bool {
    let started_at = Instant::now();
    let property = "grants are within the limit";
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
            "all states within bounds"
        } else {
            "state limit reached"
        },
        if violating_path.is_some() {
            "limit exceeded"
        } else {
            "no violation"
        },
    );
    if is_exhaustive && violating_path.is_none() {
        assert!(checker.discovery("limit is fully used").is_some(), "{name}");
        assert!(
            checker.discovery("a new allocator grants").is_some(),
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

/// Models that can be explored exhaustively within seconds.
fn short_cases() -> [Case; 5] {
    let two_requests = BudgetModel {
        requests: 2,
        ticks: 2,
        ..model_with_all_safeguards()
    };
    let fast_nodes = BudgetModel {
        clock_rates: ClockRates {
            allocator: SLOW,
            nodes: FAST,
        },
        ..two_requests.clone()
    };
    let one_duplicate = BudgetModel {
        requests: 1,
        ticks: 2,
        duplicates: 1,
        ..model_with_all_safeguards()
    };
    let one_restart = BudgetModel {
        requests: 1,
        ticks: 3,
        restarts: 1,
        ..model_with_all_safeguards()
    };
    let one_replacement = BudgetModel {
        requests: 1,
        ticks: 3,
        allocator_replacements: 1,
        ..model_with_all_safeguards()
    };
    [
        ("two requests each", two_requests),
        ("nodes fast", fast_nodes),
        ("one message duplicated", one_duplicate),
        ("one node restarted", one_restart),
        ("one allocator replaced", one_replacement),
    ]
}

/// Models with one safeguard disabled.
fn cases_without_safeguard() -> [Case; 5] {
    let without = |safeguard| BudgetModel {
        requests: 2,
        ..BudgetModel::new(Some(safeguard))
    };
    let no_wait = BudgetModel {
        allocator_replacements: 1,
        ..without(Safeguard::WaitForOldGrants)
    };
    let grants_misdelivered = BudgetModel {
        requests: 1,
        restarts: 1,
        ..without(Safeguard::RequesterCheck)
    };
    let grants_forgotten = BudgetModel {
        requests: 1,
        restarts: 1,
        ..without(Safeguard::AccountOfPreviousProcess)
    };
    [
        ("no wait after an earlier allocator", no_wait),
        (
            "replaced grants not counted",
            without(Safeguard::CountUntilConfirmed),
        ),
        ("no drift margin", without(Safeguard::DriftMargin)),
        (
            "grants of the previous process accepted",
            grants_misdelivered,
        ),
        ("grants forgotten at a restart", grants_forgotten),
    ]
}

/// Models that take minutes.
fn long_cases() -> [Case; 5] {
    let three_requests = BudgetModel {
        ticks: 5,
        ..model_with_all_safeguards()
    };
    let two_requests = BudgetModel {
        requests: 2,
        ..model_with_all_safeguards()
    };
    let one_duplicate = BudgetModel {
        duplicates: 1,
        ..two_requests.clone()
    };
    let two_restarts = BudgetModel {
        restarts: 2,
        ..two_requests.clone()
    };
    let two_replacements = BudgetModel {
        ticks: 6,
        allocator_replacements: 2,
        ..two_requests.clone()
    };
    let restart_and_replacement = BudgetModel {
        restarts: 1,
        allocator_replacements: 1,
        ..two_requests
    };
    [
        ("three requests each", three_requests),
        ("one message duplicated", one_duplicate),
        ("two restarts", two_restarts),
        ("two allocators replaced", two_replacements),
        (
            "one restart and one allocator replaced",
            restart_and_replacement,
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

/// Takes minutes on four cores:
/// `cargo test --release -p poppykeel-coordination extended_budget_models -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn extended_budget_models_have_no_violation() {
    let results: Vec<bool> = long_cases()
        .into_iter()
        .map(|(name, model)| exceeds_limit(name, model, MAX_STATES_EXTENDED))
        .collect();
    assert!(results.iter().all(|is_exceeded| !is_exceeded));
}
