//! Emulated nodes that talk to each other: one holder, a budget for all, and the same bytes for the same seed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_testbed::emulator::description::{
    BudgetDivision, CoordinationDescription, FaultDescription, FaultKind, RunDescription,
};
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::{RunOutcome, Simulation};

fn play(
    nodes: usize,
    division: BudgetDivision,
    faults: Vec<FaultDescription>,
    seed: u64,
) -> RunOutcome {
    let burst = 2.0 * nodes as f64;
    let together = CoordinationDescription {
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
        together: Some(together),
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
fn a_run_with_talk_is_the_same_bytes_for_the_same_seed() {
    let faults = || {
        vec![
            fault(FaultKind::NodeKill, 6.0, 4.0, 0.25),
            fault(FaultKind::ZoneCut, 14.0, 3.0, 0.0),
        ]
    };
    let bytes =
        |seed| serde_json::to_vec(&play(9, BudgetDivision::Shares, faults(), seed)).unwrap();
    assert_eq!(bytes(3), bytes(3));
    assert_ne!(bytes(3), bytes(4));
}

/// Servers that fail for three seconds, while keepers die and a zone is cut off: by the servers' own count the repeats
/// of all nodes stay within the budget; without one they go far beyond.
#[test]
fn repeats_at_the_servers_stay_within_the_budget_of_all_nodes() {
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
            play(12, BudgetDivision::Shares, faults(), seed),
            play(12, BudgetDivision::None, faults(), seed),
        );
        let talked = shares.talked.unwrap();
        assert!(
            shares.repeats > 20 && talked.worst_window <= 1.0,
            "{} {talked:?}",
            shares.repeats
        );
        assert_eq!(talked.overlaps, 0);
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

/// The keepers die and come back: nobody holds the task for that time, a lease and a little, and never do two.
#[test]
fn the_task_is_held_again_after_the_keepers_come_back() {
    let out = play(
        12,
        BudgetDivision::Shares,
        vec![fault(FaultKind::NodeKill, 8.0, 2.0, 0.25)],
        5,
    );
    let talked = out.talked.unwrap();
    assert_eq!(talked.overlaps, 0);
    assert!((0.5..6.0).contains(&talked.longest_without), "{talked:?}");
    assert!(
        talked.node.messages_per_second > 1.0
            && talked.keeper.messages_per_second > talked.node.messages_per_second,
        "{talked:?}"
    );
}
