//! A task under a lease never has two holders, and has a holder again soon after a fault.

use crate::support::{block_on, folder, program};
use poppykeel_testbed::fault_injection::{
    run_lease_scenario, FleetShape, InjectedFault, InjectedFaultKind, LeaseReport, LeaseScenario,
};

/// Runs a scenario with the testbed's own program as the node. Its folder is kept if a guarantee was violated.
fn run(name: &str, scenario: &LeaseScenario) -> LeaseReport {
    let folder = folder(name);
    let report = block_on(run_lease_scenario(scenario, program(), &folder));
    println!("{}", report.format_summary(scenario.seed));
    if report.is_good() {
        std::fs::remove_dir_all(folder).unwrap();
    }
    report
}

fn scenario(seed: u64, rounds: usize, only: &[InjectedFaultKind]) -> LeaseScenario {
    LeaseScenario {
        shape: FleetShape::default(),
        rounds,
        seed,
        only: only.to_vec(),
        script: vec![],
        rejects_old_epochs: true,
    }
}

#[test]
fn nine_processes_under_drawn_faults_never_have_two_lease_holders() {
    let report = run("drawn", &scenario(11, 9, &[]));
    assert!(
        report.is_good(),
        "{:?} {:?}",
        report.verdict.overlaps,
        report.problems
    );
    assert!(
        report.verdict.action_count > 300,
        "{}",
        report.verdict.action_count
    );
}

#[test]
fn lease_servers_with_old_or_empty_disks_never_grant_a_lease_twice() {
    let only = [
        InjectedFaultKind::OldDisk,
        InjectedFaultKind::EmptyDisk,
        InjectedFaultKind::KillKeepers,
        InjectedFaultKind::KillBoth,
    ];
    let report = run("disks", &scenario(5, 5, &only));
    assert!(
        report.is_good(),
        "{:?} {:?}",
        report.verdict.overlaps,
        report.problems
    );
}

/// An action that the holder sent in time arrives when another node holds the lease. The target rejects the action by
/// its epoch; without the check of epochs it would accept the action.
#[test]
fn late_action_is_rejected_only_by_its_epoch() {
    let late_action = |rejects_old_epochs| LeaseScenario {
        rejects_old_epochs,
        ..scenario(6, 2, &[InjectedFaultKind::LateAct])
    };
    let report = run("late", &late_action(true));
    assert!(
        report.is_good() && report.verdict.fenced_count > 0,
        "{:?} {:?}",
        report.verdict.overlaps,
        report.problems
    );
    let unfenced = run("late-unfenced", &late_action(false));
    let _ = std::fs::remove_dir_all(folder("late-unfenced"));
    assert!(!unfenced.verdict.overlaps.is_empty());
}

/// A script of faults of one kind and duration, one for each number in `whom`.
fn script(kind: InjectedFaultKind, for_ms: u64, whom: &[u64]) -> Vec<InjectedFault> {
    whom.iter()
        .map(|whom| InjectedFault {
            kind,
            for_ms,
            whom: *whom,
            size: 0.4,
        })
        .collect()
}

/// The holder is suspended for ten lease durations while an action is in flight, which arrives half a lease duration
/// after the holder is resumed. The target rejects the action by its epoch, and the resumed holder checks its lease
/// before it sends another action.
#[test]
fn holder_stopped_for_ten_leases_during_an_action_is_fenced() {
    let lease = std::time::Duration::from_millis(500);
    let shape = FleetShape {
        nodes: 5,
        lease_duration: lease,
        ..FleetShape::default()
    };
    let script = script(InjectedFaultKind::StopMidAct, 5000, &[0, 1]);
    let report = run(
        "ten",
        &LeaseScenario {
            shape,
            script,
            ..scenario(2, 0, &[])
        },
    );
    assert!(
        report.is_good() && report.rounds == 2,
        "{:?} {:?}",
        report.verdict.overlaps,
        report.problems
    );
    assert!(report.verdict.fenced_count >= 2, "{:?}", report.verdict);
}

/// A write to a full disk and a failed sync, each at a lease server that has to grant a lease. The lease server reports
/// the failure and grants nothing until it is restarted with a working disk; the others continue.
#[test]
fn lease_server_with_failed_disk_grants_nothing_and_the_others_continue() {
    let full = script(InjectedFaultKind::FullDisk, 500, &[0]);
    let script = [full, script(InjectedFaultKind::FailedSync, 500, &[1])].concat();
    let report = run(
        "bad-disk",
        &LeaseScenario {
            script,
            ..scenario(3, 0, &[])
        },
    );
    assert!(
        report.is_good() && report.rounds == 2,
        "{:?} {:?}",
        report.verdict.overlaps,
        report.problems
    );
    assert_eq!(report.failed_disk_count, 2);
}

/// Duplicates of the holder, of a lease server and of another node. Each message to the name reaches one of the two
/// processes.
#[test]
fn two_processes_under_one_name_never_use_each_others_grants() {
    let mut script = script(InjectedFaultKind::NameTwice, 3000, &[0, 1, 7]);
    script[1].size = 0.9;
    script[2].size = 0.9;
    let report = run(
        "twice",
        &LeaseScenario {
            script,
            ..scenario(4, 0, &[])
        },
    );
    assert!(
        report.is_good() && report.rounds == 3,
        "{:?} {:?}",
        report.verdict.overlaps,
        report.problems
    );
}

/// Checks that the verdict can fail: clocks that drift far more than the nodes are configured to tolerate violate the
/// guarantee, and the record shows it.
#[test]
fn verdict_finds_overlaps_when_clocks_exceed_the_allowed_drift() {
    let shape = FleetShape {
        allowed_drift_ppm: 0,
        clock_skew_ppm: 400_000,
        has_opposed_clocks: true,
        lease_servers: 1,
        nodes: 5,
        ..FleetShape::default()
    };
    let only = vec![InjectedFaultKind::CutHolder];
    let has_overlap = (1..=6).any(|seed| {
        let scenario = LeaseScenario {
            shape: shape.clone(),
            rounds: 3,
            seed,
            only: only.clone(),
            script: vec![],
            rejects_old_epochs: false,
        };
        let report = run("drift", &scenario);
        let _ = std::fs::remove_dir_all(folder("drift"));
        !report.verdict.overlaps.is_empty()
    });
    assert!(has_overlap);
}

/// Wall clocks differ by up to a year, and the holder is killed, stopped and shut down. Each interval is reported once,
/// and interval numbers follow the fleet's common clock and not a node's wall clock.
#[test]
fn each_interval_is_reported_once_despite_wrong_clocks_and_lost_holders() {
    let report_interval = std::time::Duration::from_millis(500);
    let shape = FleetShape {
        nodes: 5,
        report_interval,
        ..FleetShape::default()
    };
    let fault = |kind, for_ms| InjectedFault {
        kind,
        for_ms,
        whom: 1,
        size: 0.5,
    };
    let script = vec![
        fault(InjectedFaultKind::KillHolder, 500),
        fault(InjectedFaultKind::StopHolder, 2500),
        fault(InjectedFaultKind::EndHolder, 300),
    ];
    let report = run(
        "slots",
        &LeaseScenario {
            shape,
            rounds: 0,
            seed: 2,
            only: vec![],
            script,
            rejects_old_epochs: true,
        },
    );
    assert!(
        report.is_good(),
        "{:?} {:?}",
        report.verdict.overlaps,
        report.problems
    );
    assert_eq!(report.rounds, 3);
    assert!(
        report.max_interval_skew <= 3,
        "interval numbers deviate from the elapsed time by {} intervals",
        report.max_interval_skew
    );
}
