//! The verdicts on given records, without any processes.

use poppykeel_testbed::fault_injection::{
    check_actions, check_budgets, ActionGap, FleetBudget, LeasedAction, ProcessName,
};
use poppykeel_testbed::sockets::Arrival;

#[test]
fn verdict_distinguishes_one_late_action_from_a_second_holder() {
    let action = |at, epoch, node: &str, is_accepted| LeasedAction {
        at,
        epoch,
        holder: ProcessName {
            node: node.to_string(),
            incarnation: "1".to_string(),
        },
        interval: at,
        is_accepted,
        is_duplicate: false,
    };
    // A holder stopped between its check and the action: one late action, which is rejected.
    let stopped = [
        action(1, 1, "a", true),
        action(2, 2, "b", true),
        action(3, 1, "a", false),
        action(4, 2, "b", true),
    ];
    let verdict = check_actions(&stopped);
    assert_eq!(
        (
            verdict.overlaps.len(),
            verdict.fenced_count,
            verdict.gaps[0]
        ),
        (
            0,
            1,
            ActionGap {
                duration: 2,
                began_at: 2
            }
        )
    );
    // A second late action under the same epoch: the holder continued after another check.
    let two_late = [&stopped[..], &[action(5, 1, "a", false)]].concat();
    assert_eq!(check_actions(&two_late).overlaps.len(), 1);
    // Two nodes act under the same epoch.
    assert_eq!(
        check_actions(&[action(1, 1, "a", true), action(2, 1, "b", true)])
            .overlaps
            .len(),
        1
    );
    // The target accepted an old epoch.
    assert_eq!(
        check_actions(&[action(1, 2, "a", true), action(2, 1, "b", true)])
            .overlaps
            .len(),
        1
    );
}

#[test]
fn verdict_counts_repeats_probes_and_cross_zone_traffic_in_every_window() {
    let arrival = |ms: u64, node: u64, number: u64, server: usize| {
        let id = Some(format!("{:016x}", node << 40 | number));
        Arrival {
            at: ms * 1000,
            server,
            id,
        }
    };
    // Allowed: a burst of 2, 2 per second, and a tolerance of 0.1 arrivals, which is 0.05 s at that rate.
    let checked = |arrivals: &[Arrival]| {
        check_budgets(
            arrivals,
            FleetBudget {
                rate: 2.0,
                burst: 2.0,
            },
            2,
        )
    };
    let firsts = [
        arrival(0, 1, 1, 0),
        arrival(1, 1, 2, 0),
        arrival(2, 2, 1, 1),
    ];
    assert_eq!(
        (
            checked(&firsts).repeats.count,
            checked(&firsts).cross_zone.count
        ),
        (0, 0)
    );
    let again = |ms| arrival(ms, 1, 1, 0);
    let within = [&firsts[..], &[again(5), again(5), again(600)]].concat();
    assert!(checked(&within).worst_window() <= 1.0);
    let beyond = [&firsts[..], &[again(5), again(6), again(7)]].concat();
    assert!(checked(&beyond).repeats.worst_window > 1.0 && checked(&beyond).cross_zone.count == 0);
    let crossed: Vec<Arrival> = (0..6).map(|n| arrival(n, 1, n, 1)).collect();
    assert!(checked(&crossed).cross_zone.worst_window > 1.0);
    let probes: Vec<Arrival> = (0..4)
        .map(|n| Arrival {
            at: n,
            server: 0,
            id: None,
        })
        .collect();
    assert!(checked(&probes).probes.worst_window > 1.0);
}
