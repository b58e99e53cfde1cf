//! Explores lease servers and clients, as they run in the node, in every order of events within bounds: messages lost,
//! repeated and out of order, pauses, restarts of servers with the right and an old log, clocks at the ends of the drift.

mod model;
mod reduction;
mod state;

use model::{LeaseModel, FAST, SLOW};
use state::{ClockRates, Safeguard};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// How many states a run of the tests looks at, with those met again.
const MAX_STATES: usize = 2_000_000;
/// How many states the longer exploration looks at.
const MAX_STATES_FURTHER: usize = 40_000_000;

/// A model with its name.
type Case = (&'static str, LeaseModel);

fn unchanged() -> LeaseModel {
    LeaseModel::new(None)
}

/// Looks through all states; the property that was violated, or `None`.
fn explore(name: &str, model: LeaseModel, max_states: usize) -> Option<&'static str> {
    let started_at = Instant::now();
    let properties = ["never two holders", "epochs never fall"];
    let any_violation = HasDiscoveries::AnyOf(properties.into_iter().collect());
    let checker = model
        .checker()
        .threads(4)
        .finish_when(any_violation)
        .target_state_count(max_states)
        .spawn_dfs()
        .join();
    let violated = properties
        .into_iter()
        .find(|property| checker.discovery(property).is_some());
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
        violated.unwrap_or("no fault"),
    );
    if let Some(path) = violated.and_then(|property| checker.discovery(property)) {
        for action in path.into_actions() {
            println!("    {action:?}");
        }
    }
    let is_reached = |property: &'static str| checker.discovery(property).is_some();
    if is_exhaustive && violated.is_none() {
        assert!(
            is_reached("somebody holds") && is_reached("a restarted server grants"),
            "{name}"
        );
    }
    violated
}

/// Models that are explored in full within seconds.
fn short_cases() -> [Case; 5] {
    let one_round = LeaseModel {
        max_rounds: 1,
        ticks: 3,
        ..unchanged()
    };
    let slow_servers = LeaseModel {
        clock_rates: ClockRates::uniform(SLOW, FAST),
        ..one_round.clone()
    };
    let one_epoch_ahead = LeaseModel {
        is_second_client_ahead: true,
        ..one_round.clone()
    };
    let two_restarts = LeaseModel {
        ticks: 0,
        restarts: 2,
        ..one_round.clone()
    };
    let old_log = LeaseModel {
        ticks: 1,
        restarts: 1,
        restarts_with_old_log: true,
        trusts_log: false,
        ..one_round.clone()
    };
    [
        ("one round each, servers fast", one_round),
        ("servers slow", slow_servers),
        ("one epoch ahead", one_epoch_ahead),
        ("two servers restart", two_restarts),
        ("an old log", old_log),
    ]
}

/// Models in which one safeguard is taken out.
fn cases_without_safeguard() -> [Case; 6] {
    let without = |safeguard| LeaseModel {
        max_rounds: 1,
        ticks: 2,
        is_second_client_ahead: true,
        ..LeaseModel::new(Some(safeguard))
    };
    let grants_not_durable = LeaseModel {
        restarts: 2,
        ticks: 1,
        is_second_client_ahead: false,
        ..without(Safeguard::DurableGrants)
    };
    let old_log_believed = LeaseModel {
        restarts: 1,
        ticks: 1,
        restarts_with_old_log: true,
        ..without(Safeguard::DistrustOfLog)
    };
    [
        ("no margin for drift", without(Safeguard::DriftMargin)),
        (
            "no look at the lease before the act",
            without(Safeguard::CheckBeforeAct),
        ),
        ("grants not durable", grants_not_durable),
        (
            "no look at the epoch by what is acted upon",
            without(Safeguard::EpochFence),
        ),
        (
            "counted from the answer",
            without(Safeguard::HoldingFromRequest),
        ),
        ("an old log believed", old_log_believed),
    ]
}

/// Models that take minutes.
fn long_cases() -> [Case; 6] {
    let one_round = LeaseModel {
        max_rounds: 1,
        ..unchanged()
    };
    let mixed_clocks = LeaseModel {
        clock_rates: ClockRates {
            servers: [FAST, SLOW, FAST],
            clients: [FAST, SLOW],
        },
        ..one_round.clone()
    };
    let one_repeat = LeaseModel {
        ticks: 3,
        repeats: 1,
        ..one_round.clone()
    };
    let two_rounds = LeaseModel {
        ticks: 3,
        ..unchanged()
    };
    let two_restarts = LeaseModel {
        ticks: 3,
        restarts: 2,
        is_second_client_ahead: true,
        ..one_round.clone()
    };
    let old_log = LeaseModel {
        restarts: 1,
        restarts_with_old_log: true,
        trusts_log: false,
        is_second_client_ahead: true,
        ..one_round.clone()
    };
    [
        ("one round each, four ticks", one_round),
        ("mixed clocks", mixed_clocks),
        ("one message repeated", one_repeat),
        ("two rounds each", two_rounds),
        ("two servers restart", two_restarts),
        ("an old log", old_log),
    ]
}

/// What can be explored in full within seconds; the longer list is `explores_further`.
#[test]
fn never_has_two_holders_within_bounds() {
    for (name, model) in short_cases() {
        assert_eq!(explore(name, model, MAX_STATES), None, "{name}");
    }
}

#[test]
fn finds_a_violation_without_each_safeguard() {
    for (name, model) in cases_without_safeguard() {
        assert!(explore(name, model, MAX_STATES).is_some(), "{name}");
    }
}

/// Minutes on four cores: `cargo test --release -p poppykeel-coordination explores_further -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes; docs/leases.md has its figures"]
fn explores_further() {
    let violations: Vec<_> = long_cases()
        .into_iter()
        .map(|(name, model)| explore(name, model, MAX_STATES_FURTHER))
        .collect();
    assert!(violations.iter().all(Option::is_none));
}
