//! A task under a lease never has two holders, and soon one again.

use crate::support::{block_on, folder, program};
use poppykeel_testbed::fault_injection::{
    run_lease_scenario, FleetShape, InjectedFault, InjectedFaultKind, LeaseReport, LeaseScenario,
};

/// Plays a scenario with the testbed's own program as the node; what it leaves is kept where it was not good.
fn play(name: &str, scenario: &LeaseScenario) -> LeaseReport {
    let folder = folder(name);
    let found = block_on(run_lease_scenario(scenario, program(), &folder));
    println!("{}", found.summary(scenario.seed));
    if found.is_good() {
        std::fs::remove_dir_all(folder).unwrap();
    }
    found
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
    let found = play("drawn", &scenario(11, 9, &[]));
    assert!(
        found.is_good(),
        "{:?} {:?}",
        found.verdict.overlaps,
        found.problems
    );
    assert!(
        found.verdict.action_count > 300,
        "{}",
        found.verdict.action_count
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
    let found = play("disks", &scenario(5, 5, &only));
    assert!(
        found.is_good(),
        "{:?} {:?}",
        found.verdict.overlaps,
        found.problems
    );
}

/// The holder looked, and what it sent is still on its way when another holds the task: what is acted upon refuses it,
/// and without the look at epochs there it would be taken.
#[test]
fn late_action_is_rejected_by_its_epoch_alone() {
    let late = |rejects_old_epochs| LeaseScenario {
        rejects_old_epochs,
        ..scenario(6, 2, &[InjectedFaultKind::LateAct])
    };
    let found = play("late", &late(true));
    assert!(
        found.is_good() && found.verdict.fenced_count > 0,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.problems
    );
    let without = play("late-unfenced", &late(false));
    let _ = std::fs::remove_dir_all(folder("late-unfenced"));
    assert!(!without.verdict.overlaps.is_empty());
}

/// A script of one kind of fault, for so long each, by these numbers for whom.
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

/// Ten leases long, woken with an act of its own under way that comes half a lease later: refused by its epoch, and
/// the woken one looks again before the next.
#[test]
fn holder_stopped_for_ten_leases_during_an_action_is_fenced() {
    let lease = std::time::Duration::from_millis(500);
    let shape = FleetShape {
        nodes: 5,
        lease_duration: lease,
        ..FleetShape::default()
    };
    let script = script(InjectedFaultKind::StopMidAct, 5000, &[0, 1]);
    let found = play(
        "ten",
        &LeaseScenario {
            shape,
            script,
            ..scenario(2, 0, &[])
        },
    );
    assert!(
        found.is_good() && found.rounds == 2,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.problems
    );
    assert!(found.verdict.fenced_count >= 2, "{:?}", found.verdict);
}

/// A write that did not fit and a sync that failed, each at a lease server that has to grant something: it says so, answers
/// nothing until it is started again with a sound disk, and the others go on.
#[test]
fn lease_server_with_failed_disk_grants_nothing_and_the_others_go_on() {
    let full = script(InjectedFaultKind::FullDisk, 500, &[0]);
    let script = [full, script(InjectedFaultKind::FailedSync, 500, &[1])].concat();
    let found = play(
        "bad-disk",
        &LeaseScenario {
            script,
            ..scenario(3, 0, &[])
        },
    );
    assert!(
        found.is_good() && found.rounds == 2,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.problems
    );
    assert_eq!(found.failed_disk_count, 2);
}

/// Of the holder, of a lease server and of another node: messages to the name reach one of the two processes.
#[test]
fn two_processes_under_one_name_never_hold_by_each_others_grants() {
    let mut script = script(InjectedFaultKind::NameTwice, 3000, &[0, 1, 7]);
    script[1].size = 0.9;
    script[2].size = 0.9;
    let found = play(
        "twice",
        &LeaseScenario {
            script,
            ..scenario(4, 0, &[])
        },
    );
    assert!(
        found.is_good() && found.rounds == 3,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.problems
    );
}

/// Clocks that run far more wrong than the nodes were told break the guarantee, and the stub's record shows it: the
/// verdict can fail.
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
    let broken = (1..=6).any(|seed| {
        let wanted = LeaseScenario {
            shape: shape.clone(),
            rounds: 3,
            seed,
            only: only.clone(),
            script: vec![],
            rejects_old_epochs: false,
        };
        let found = play("drift", &wanted);
        let _ = std::fs::remove_dir_all(folder("drift"));
        !found.verdict.overlaps.is_empty()
    });
    assert!(broken);
}

/// Intervals of half a second, wall clocks up to a year wrong, the holder killed and stopped: each interval is reported
/// once, and all clocks that name intervals are the fleet's.
#[test]
fn each_interval_is_reported_once_despite_wrong_clocks_and_lost_holders() {
    let every = std::time::Duration::from_millis(500);
    let shape = FleetShape {
        nodes: 5,
        report_interval: every,
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
    let found = play(
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
        found.is_good(),
        "{:?} {:?}",
        found.verdict.overlaps,
        found.problems
    );
    assert_eq!(found.rounds, 3);
    assert!(
        found.max_interval_skew <= 3,
        "{} intervals named between the first and last report",
        found.max_interval_skew
    );
}
