//! Model checking of the lease servers and clients that run in the node. Explores every order of events within bounds:
//! lost, duplicated and reordered messages, pauses, server restarts with a current or a stale log, and clocks at both
//! ends of the drift.

mod model;
mod reduction;
mod state;

use model::{LeaseModel, FAST, SLOW};
use state::{ClockRates, Safeguard};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// The maximum number of states per model in a normal test run, including revisited states.
const MAX_STATES: usize = 2_000_000;
/// The maximum number of states per model in the extended run.
const MAX_STATES_EXTENDED: usize = 40_000_000;

/// The name of a model in the output, and the model.
type Case = (&'static str, LeaseModel);

fn model_with_all_safeguards() -> LeaseModel {
    LeaseModel::new(None)
}

/// Explores up to `max_states` states. Returns the violated property, or `None`.
fn explore(name: &str, model: LeaseModel, max_states: usize) -> Option<&'static str> {
    let started_at = Instant::now();
    let properties = ["at most one holder", "epochs never decrease"];
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
            "all states within bounds"
        } else {
            "state limit reached"
        },
        violated.unwrap_or("no violation"),
    );
    if let Some(path) = violated.and_then(|property| checker.discovery(property)) {
        for action in path.into_actions() {
            println!("    {action:?}");
        }
    }
    let is_reached = |property: &'static str| checker.discovery(property).is_some();
    if is_exhaustive && violated.is_none() {
        assert!(
            is_reached("a lease is held") && is_reached("a restarted server grants"),
            "{name}"
        );
    }
    violated
}

/// Models that can be explored exhaustively within seconds.
fn short_cases() -> [Case; 5] {
    let one_round = LeaseModel {
        max_rounds: 1,
        ticks: 3,
        ..model_with_all_safeguards()
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
    let stale_log = LeaseModel {
        ticks: 1,
        restarts: 1,
        restarts_with_stale_log: true,
        trusts_log: false,
        ..one_round.clone()
    };
    [
        ("one round each, servers fast", one_round),
        ("servers slow", slow_servers),
        ("one epoch ahead", one_epoch_ahead),
        ("two servers restart", two_restarts),
        ("stale log", stale_log),
    ]
}

/// Models with one safeguard disabled.
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
    let stale_log_trusted = LeaseModel {
        restarts: 1,
        ticks: 1,
        restarts_with_stale_log: true,
        ..without(Safeguard::LogDistrust)
    };
    [
        ("no drift margin", without(Safeguard::DriftMargin)),
        (
            "lease not checked before the action",
            without(Safeguard::CheckBeforeAction),
        ),
        ("grants not durable", grants_not_durable),
        (
            "epoch not checked by the resource",
            without(Safeguard::EpochFence),
        ),
        (
            "holding time counted from the response",
            without(Safeguard::HoldingFromRequest),
        ),
        ("stale log trusted", stale_log_trusted),
    ]
}

/// Models that take minutes.
fn long_cases() -> [Case; 6] {
    let one_round = LeaseModel {
        max_rounds: 1,
        ..model_with_all_safeguards()
    };
    let mixed_clocks = LeaseModel {
        clock_rates: ClockRates {
            servers: [FAST, SLOW, FAST],
            clients: [FAST, SLOW],
        },
        ..one_round.clone()
    };
    let one_duplicate = LeaseModel {
        ticks: 3,
        duplicates: 1,
        ..one_round.clone()
    };
    let two_rounds = LeaseModel {
        ticks: 3,
        ..model_with_all_safeguards()
    };
    let two_restarts = LeaseModel {
        ticks: 3,
        restarts: 2,
        is_second_client_ahead: true,
        ..one_round.clone()
    };
    let stale_log = LeaseModel {
        restarts: 1,
        restarts_with_stale_log: true,
        trusts_log: false,
        is_second_client_ahead: true,
        ..one_round.clone()
    };
    [
        ("one round each, four ticks", one_round),
        ("mixed clocks", mixed_clocks),
        ("one message duplicated", one_duplicate),
        ("two rounds each", two_rounds),
        ("two servers restart", two_restarts),
        ("stale log", stale_log),
    ]
}

/// Covers the models that can be explored exhaustively within seconds; `extended_models_have_no_violation` covers
/// larger ones.
#[test]
fn has_at_most_one_holder_within_bounds() {
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

/// Takes minutes on four cores:
/// `cargo test --release -p poppykeel-coordination extended_models -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes; results are in docs/leases.md"]
fn extended_models_have_no_violation() {
    let violations: Vec<_> = long_cases()
        .into_iter()
        .map(|(name, model)| explore(name, model, MAX_STATES_EXTENDED))
        .collect();
    assert!(violations.iter().all(Option::is_none));
}
