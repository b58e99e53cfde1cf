//! The verdicts on records, without any process.

use poppykeel_testbed::fault_injection::{
    judge_actions, judge_budgets, ActionGap, BudgetWhole, LeasedAction, ProcessName,
};
use poppykeel_testbed::sockets::Arrival;

#[test]
fn verdict_tells_one_late_action_from_a_second_holder() {
    let act = |at, epoch, node: &str, taken| LeasedAction {
        at,
        epoch,
        holder: ProcessName {
            node: node.to_string(),
            incarnation: "1".to_string(),
        },
        interval: at,
        is_accepted: taken,
        is_duplicate: false,
    };
    // Stopped between look and act: one late act, refused.
    let stopped = [
        act(1, 1, "a", true),
        act(2, 2, "b", true),
        act(3, 1, "a", false),
        act(4, 2, "b", true),
    ];
    let verdict = judge_actions(&stopped);
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
    // It looked again and went on.
    let two = [&stopped[..], &[act(5, 1, "a", false)]].concat();
    assert_eq!(judge_actions(&two).overlaps.len(), 1);
    // One epoch of two nodes.
    assert_eq!(
        judge_actions(&[act(1, 1, "a", true), act(2, 1, "b", true)])
            .overlaps
            .len(),
        1
    );
    // What is acted upon did not look at the epoch.
    assert_eq!(
        judge_actions(&[act(1, 2, "a", true), act(2, 1, "b", true)])
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
    // Bound: 2 at once, 2 a second and a tenth for what comes late.
    let judged = |arrivals: &[Arrival]| {
        judge_budgets(
            arrivals,
            BudgetWhole {
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
            judged(&firsts).repeats.count,
            judged(&firsts).cross_zone.count
        ),
        (0, 0)
    );
    let again = |ms| arrival(ms, 1, 1, 0);
    let within = [&firsts[..], &[again(5), again(5), again(600)]].concat();
    assert!(judged(&within).worst_window() <= 1.0);
    let beyond = [&firsts[..], &[again(5), again(6), again(7)]].concat();
    assert!(judged(&beyond).repeats.worst_window > 1.0 && judged(&beyond).cross_zone.count == 0);
    let crossed: Vec<Arrival> = (0..6).map(|n| arrival(n, 1, n, 1)).collect();
    assert!(judged(&crossed).cross_zone.worst_window > 1.0);
    let probes: Vec<Arrival> = (0..4)
        .map(|n| Arrival {
            at: n,
            server: 0,
            id: None,
        })
        .collect();
    assert!(judged(&probes).probes.worst_window > 1.0);
}
