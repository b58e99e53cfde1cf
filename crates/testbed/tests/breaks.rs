//! Several processes of the program under faults: never two holders, and soon one again. The verdict is the stand-in's.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::needless_pass_by_value, reason = "not yet converted")]

use poppykeel_testbed::breaks::{
    budgets, judge, judge_budget, roll, run, Act, Budgeted, Division, Fault, Found, Kind, Roll,
    Shape, Spent, Wanted,
};
use poppykeel_testbed::sockets::Arrival;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("lab-breaks-{name}-{}", std::process::id()))
}

/// Plays a run with the lab's own program as the node; what it leaves is kept where it was not good.
fn play(name: &str, wanted: &Wanted) -> Found {
    let (folder, program) = (
        folder(name),
        Path::new(env!("CARGO_BIN_EXE_poppykeel-testbed")),
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let found = tokio::task::LocalSet::new()
        .block_on(&runtime, run(wanted, program, &folder))
        .unwrap();
    println!("{}", found.line(wanted.seed));
    if found.good() {
        std::fs::remove_dir_all(folder).unwrap();
    }
    found
}

fn wanted(seed: u64, rounds: usize, only: &[Kind]) -> Wanted {
    Wanted {
        shape: Shape::default(),
        rounds,
        seed,
        only: only.to_vec(),
        script: vec![],
        fence: true,
    }
}

#[test]
fn nine_processes_under_drawn_faults_never_have_two_holders() {
    let found = play("drawn", &wanted(11, 9, &[]));
    assert!(
        found.good(),
        "{:?} {:?}",
        found.verdict.overlaps,
        found.wrong
    );
    assert!(found.verdict.acts > 300, "{}", found.verdict.acts);
}

#[test]
fn keepers_lost_one_by_one_with_old_and_empty_disks_forget_nothing() {
    let only = [
        Kind::OldDisk,
        Kind::EmptyDisk,
        Kind::KillKeepers,
        Kind::KillBoth,
    ];
    let found = play("disks", &wanted(5, 5, &only));
    assert!(
        found.good(),
        "{:?} {:?}",
        found.verdict.overlaps,
        found.wrong
    );
}

/// The holder looked, and what it sent is still on its way when another holds the task: what is acted upon refuses it,
/// and without the look at epochs there it would be taken.
#[test]
fn an_act_that_comes_late_is_refused_by_its_epoch_alone() {
    let late = |fence| Wanted {
        fence,
        ..wanted(6, 2, &[Kind::LateAct])
    };
    let found = play("late", &late(true));
    assert!(
        found.good() && found.verdict.refused > 0,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.wrong
    );
    let without = play("late-unfenced", &late(false));
    let _ = std::fs::remove_dir_all(folder("late-unfenced"));
    assert!(!without.verdict.overlaps.is_empty());
}

/// A script of one kind of fault, for so long each, by these numbers for whom.
fn script(kind: Kind, for_ms: u64, whom: &[u64]) -> Vec<Fault> {
    whom.iter()
        .map(|whom| Fault {
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
fn a_holder_stopped_for_ten_leases_in_mid_act_does_no_harm() {
    let lease = std::time::Duration::from_millis(500);
    let shape = Shape {
        nodes: 5,
        lease,
        ..Shape::default()
    };
    let script = script(Kind::StopMidAct, 5000, &[0, 1]);
    let found = play(
        "ten",
        &Wanted {
            shape,
            script,
            ..wanted(2, 0, &[])
        },
    );
    assert!(
        found.good() && found.rounds == 2,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.wrong
    );
    assert!(found.verdict.refused >= 2, "{:?}", found.verdict);
}

/// A write that did not fit and a sync that failed, each at a keeper that has to grant something: it says so, answers
/// nothing until it is started again with a sound disk, and the others go on.
#[test]
fn a_keeper_with_a_full_disk_or_a_failed_sync_grants_nothing_and_the_others_go_on() {
    let full = script(Kind::FullDisk, 500, &[0]);
    let script = [full, script(Kind::FailedSync, 500, &[1])].concat();
    let found = play(
        "bad-disk",
        &Wanted {
            script,
            ..wanted(3, 0, &[])
        },
    );
    assert!(
        found.good() && found.rounds == 2,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.wrong
    );
    assert_eq!(found.disks_failed, 2);
}

/// Of the holder, of a keeper and of another node: messages to the name reach one of the two processes.
#[test]
fn two_processes_of_one_name_never_hold_by_each_others_grants() {
    let mut script = script(Kind::NameTwice, 3000, &[0, 1, 7]);
    script[1].size = 0.9;
    script[2].size = 0.9;
    let found = play(
        "twice",
        &Wanted {
            script,
            ..wanted(4, 0, &[])
        },
    );
    assert!(
        found.good() && found.rounds == 3,
        "{:?} {:?}",
        found.verdict.overlaps,
        found.wrong
    );
}

/// Clocks that run far more wrong than the nodes were told break the guarantee, and the stand-in's record shows it: the
/// verdict can fail.
#[test]
fn clocks_beyond_the_stated_drift_are_found_by_the_record() {
    let shape = Shape {
        drift: 0,
        skew: 400_000,
        apart: true,
        keepers: 1,
        nodes: 5,
        ..Shape::default()
    };
    let only = vec![Kind::CutHolder];
    let broken = (1..=6).any(|seed| {
        let wanted = Wanted {
            shape: shape.clone(),
            rounds: 3,
            seed,
            only: only.clone(),
            script: vec![],
            fence: false,
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
fn each_interval_is_reported_once_whatever_clocks_and_holders_do() {
    let every = std::time::Duration::from_millis(500);
    let shape = Shape {
        nodes: 5,
        every,
        ..Shape::default()
    };
    let fault = |kind, for_ms| Fault {
        kind,
        for_ms,
        whom: 1,
        size: 0.5,
    };
    let script = vec![
        fault(Kind::KillHolder, 500),
        fault(Kind::StopHolder, 2500),
        fault(Kind::EndHolder, 300),
    ];
    let found = play(
        "slots",
        &Wanted {
            shape,
            rounds: 0,
            seed: 2,
            only: vec![],
            script,
            fence: true,
        },
    );
    assert!(
        found.good(),
        "{:?} {:?}",
        found.verdict.overlaps,
        found.wrong
    );
    assert_eq!(found.rounds, 3);
    assert!(
        found.slots_apart <= 3,
        "{} intervals named between the first and last report",
        found.slots_apart
    );
}

#[test]
fn the_verdict_tells_one_late_act_from_a_second_holder() {
    let act = |at, epoch, node: &str, taken| Act {
        at,
        epoch,
        holder: (node.to_string(), "1".to_string()),
        slot: at,
        taken,
        again: false,
    };
    // Stopped between look and act: one late act, refused.
    let stopped = [
        act(1, 1, "a", true),
        act(2, 2, "b", true),
        act(3, 1, "a", false),
        act(4, 2, "b", true),
    ];
    let verdict = judge(&stopped);
    assert_eq!(
        (verdict.overlaps.len(), verdict.refused, verdict.gaps[0]),
        (0, 1, (2, 2))
    );
    // It looked again and went on.
    let two = [&stopped[..], &[act(5, 1, "a", false)]].concat();
    assert_eq!(judge(&two).overlaps.len(), 1);
    // One epoch of two nodes.
    assert_eq!(
        judge(&[act(1, 1, "a", true), act(2, 1, "b", true)])
            .overlaps
            .len(),
        1
    );
    // What is acted upon did not look at the epoch.
    assert_eq!(
        judge(&[act(1, 2, "a", true), act(2, 1, "b", true)])
            .overlaps
            .len(),
        1
    );
}

#[test]
fn all_nodes_are_taken_out_in_turn_while_the_one_in_charge_is_lost_again_and_again() {
    let (folder, program) = (
        folder("roll"),
        Path::new(env!("CARGO_BIN_EXE_poppykeel-testbed")),
    );
    let wanted = Roll {
        shape: Shape::default(),
        seed: 4,
        faults: 3,
        out: 2,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let found = tokio::task::LocalSet::new()
        .block_on(&runtime, roll(&wanted, program, &folder))
        .unwrap();
    println!("{found:?}");
    assert!(found.most <= 2, "{found:?}");
    assert!(found.back == 9 && found.been >= 6, "{found:?}");
    std::fs::remove_dir_all(folder).unwrap();
}

fn spend(name: &str, wanted: Budgeted) -> Spent {
    let (folder, program) = (
        folder(name),
        Path::new(env!("CARGO_BIN_EXE_poppykeel-testbed")),
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let found = tokio::task::LocalSet::new()
        .block_on(&runtime, budgets(&wanted, program, &folder))
        .unwrap();
    println!("{name}: {found:?}");
    std::fs::remove_dir_all(folder).unwrap();
    found
}

fn budgeted(seed: u64, rounds: usize, only: &[Kind], division: Division) -> Budgeted {
    let shape = Shape {
        zones: 2,
        ..Shape::default()
    };
    Budgeted {
        shape,
        rounds,
        seed,
        only: only.to_vec(),
        whole: (20.0, 20.0),
        division,
        hot: 1.0,
    }
}

#[test]
fn retries_probes_and_crossings_of_nine_processes_never_exceed_the_whole_by_the_servers_records() {
    let found = spend("budgets-shares", budgeted(3, 5, &[], Division::Shares));
    assert!(found.worst() <= 1.0, "{found:?}");
    assert!(
        found.repeats.count > 0 && found.crossings.count > 0,
        "{found:?}"
    );
    // The record can show it: without budgets the same clients and servers go far beyond.
    let without = spend("budgets-none", budgeted(3, 2, &[], Division::None));
    assert!(without.worst() > 3.0, "{without:?}");
}

/// Half of the nodes leave in the same second and come back together, and all are restarted one after the other: who
/// is back under the same name is a new holder, and what the one before had runs out first.
#[test]
fn leaves_in_waves_and_rolling_restarts_bring_no_burst_along() {
    let found = spend(
        "budgets-waves",
        budgeted(5, 2, &[Kind::HalfLeave, Kind::Rolling], Division::Shares),
    );
    assert!(found.worst() <= 1.0 && found.repeats.count > 0, "{found:?}");
}

/// While no process is killed, what the nodes tell of crossings is the servers' own count to the unit, and once all is
/// quiet nothing of the whole is lost.
#[test]
fn crossings_told_are_the_servers_count_to_the_unit() {
    let only = [
        Kind::StopHolder,
        Kind::CutHolder,
        Kind::CutOneWay,
        Kind::Weather,
    ];
    let found = spend("budgets-crossings", budgeted(7, 3, &only, Division::Shares));
    assert!(
        found.worst() <= 1.0 && found.crossings.count > 50,
        "{found:?}"
    );
    assert_eq!(found.reported, found.crossings.count as u64);
    assert!(found.lost.abs() < 1.0, "{found:?}");
}

#[test]
fn the_servers_verdict_counts_repeats_probes_and_crossings_in_every_window() {
    let arrival = |ms: u64, node: u64, number: u64, server: usize| {
        let id = Some(format!("{:016x}", node << 40 | number));
        Arrival {
            at: ms * 1000,
            server,
            id,
        }
    };
    // Bound: 2 at once, 2 a second and a tenth for what comes late.
    let judged = |arrivals: &[Arrival]| judge_budget(arrivals, (2.0, 2.0), 2);
    let firsts = [
        arrival(0, 1, 1, 0),
        arrival(1, 1, 2, 0),
        arrival(2, 2, 1, 1),
    ];
    assert_eq!(
        (
            judged(&firsts).repeats.count,
            judged(&firsts).crossings.count
        ),
        (0, 0)
    );
    let again = |ms| arrival(ms, 1, 1, 0);
    let within = [&firsts[..], &[again(5), again(5), again(600)]].concat();
    assert!(judged(&within).worst() <= 1.0);
    let beyond = [&firsts[..], &[again(5), again(6), again(7)]].concat();
    assert!(judged(&beyond).repeats.worst > 1.0 && judged(&beyond).crossings.count == 0);
    let crossed: Vec<Arrival> = (0..6).map(|n| arrival(n, 1, n, 1)).collect();
    assert!(judged(&crossed).crossings.worst > 1.0);
    let probes: Vec<Arrival> = (0..4)
        .map(|n| Arrival {
            at: n,
            server: 0,
            id: None,
        })
        .collect();
    assert!(judged(&probes).probes.worst > 1.0);
}

/// Processes whose command line has this text.
fn running(text: &str) -> usize {
    let all = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|e| std::fs::read(e.ok()?.path().join("cmdline")).ok());
    all.filter(|line| String::from_utf8_lossy(line).contains(text))
        .count()
}

#[test]
fn a_lab_that_is_killed_leaves_no_process_behind() {
    let folder = folder("killed");
    let mut lab = std::process::Command::new(env!("CARGO_BIN_EXE_poppykeel-testbed"))
        .args([
            "break",
            "leases",
            "--nodes",
            "3",
            "--rounds",
            "9",
            "--only",
            "stop-holder",
            "--out",
        ])
        .arg(&folder)
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let config = folder.join("node-").display().to_string();
    let until = |wanted: &dyn Fn(usize) -> bool| {
        for _ in 0..1000 {
            if wanted(running(&config)) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        panic!("{} processes", running(&config));
    };
    until(&|count| count == 3);
    lab.kill().unwrap();
    lab.wait().unwrap();
    until(&|count| count == 0);
    std::fs::remove_dir_all(folder).unwrap();
}
