//! Coordinated emulated nodes: a single lease holder, a common retry budget and reproducible results.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_testbed::emulator::description::{
    BudgetDivision, CoordinationDescription, FaultDescription, FaultKind, RunDescription,
};
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::{RunOutcome, Simulation};

fn simulate(
    nodes: usize,
    division: BudgetDivision,
    faults: Vec<FaultDescription>,
    seed: u64,
) -> RunOutcome {
    let burst = 2.0 * nodes as f64;
    let coordination = CoordinationDescription {
        lease_s: 1.0,
        share_s: 1.0,
        retries: 10.0,
        burst,
        floor: 0.1,
        division,
        ..CoordinationDescription::default()
    };
    let mut run = RunDescription {
        fault: faults,
        together: Some(coordination),
        ..RunDescription::default()
    };
    (run.fleet.nodes, run.fleet.servers) = (nodes, 8);
    (run.load.per_server, run.load.seconds) = (6.0, 24.0);
    Simulation::new(&run.check().unwrap(), Policy::Poppykeel, seed)
        .unwrap()
        .finish()
        .unwrap()
}

fn fault(what: FaultKind, at_s: f64, for_s: f64, part: f64) -> FaultDescription {
    FaultDescription {
        what,
        at_s,
        for_s,
        part,
        size: 1.0,
        zone: 1,
        tenant: 0,
    }
}

#[test]
fn coordinated_run_gives_identical_bytes_for_equal_seeds() {
    let faults = || {
        vec![
            fault(FaultKind::NodeKill, 6.0, 4.0, 0.25),
            fault(FaultKind::ZoneCut, 14.0, 3.0, 0.0),
        ]
    };
    let bytes =
        |seed| serde_json::to_vec(&simulate(9, BudgetDivision::Shares, faults(), seed)).unwrap();
    assert_eq!(bytes(3), bytes(3));
    assert_ne!(bytes(3), bytes(4));
}

/// Servers fail twice for three seconds while lease servers crash and a zone is partitioned. The repeats of all nodes,
/// counted at the servers, must stay within the budget; without a budget they far exceed it.
#[test]
fn repeats_at_servers_stay_within_the_fleet_budget() {
    let faults = || {
        vec![
            fault(FaultKind::FailFast, 8.0, 3.0, 0.5),
            fault(FaultKind::NodeKill, 9.0, 2.0, 0.2),
            fault(FaultKind::ZoneCut, 15.0, 3.0, 0.0),
            fault(FaultKind::FailFast, 16.0, 3.0, 0.5),
        ]
    };
    for seed in 1..=3 {
        let (shares, none) = (
            simulate(12, BudgetDivision::Shares, faults(), seed),
            simulate(12, BudgetDivision::None, faults(), seed),
        );
        let summary = shares.talked.unwrap();
        assert!(
            shares.repeats > 20 && summary.worst_window <= 1.0,
            "{} {summary:?}",
            shares.repeats
        );
        assert_eq!(summary.overlaps, 0);
        assert_eq!(shares.broken.sum(), 0, "{:?}", shares.broken);
        assert!(
            none.repeats > 3 * shares.repeats,
            "{} {}",
            none.repeats,
            shares.repeats
        );
        assert!(none.talked.unwrap().worst_window > 1.0);
    }
}

/// All lease servers crash and restart: no node holds the lease during the outage and for about one lease duration, and
/// two nodes never hold it at once.
#[test]
fn lease_is_held_again_after_lease_servers_restart() {
    let outcome = simulate(
        12,
        BudgetDivision::Shares,
        vec![fault(FaultKind::NodeKill, 8.0, 2.0, 0.25)],
        5,
    );
    let summary = outcome.talked.unwrap();
    assert_eq!(summary.overlaps, 0);
    assert!((0.5..6.0).contains(&summary.longest_without), "{summary:?}");
    assert!(
        summary.node.messages_per_second > 1.0
            && summary.keeper.messages_per_second > summary.node.messages_per_second,
        "{summary:?}"
    );
}
