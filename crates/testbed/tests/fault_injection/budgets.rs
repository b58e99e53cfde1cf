//! All nodes together stay within the budgets of the fleet.

use crate::support::{block_on, folder, program};
use poppykeel_testbed::emulator::description::BudgetDivision;
use poppykeel_testbed::fault_injection::{
    run_budget_scenario, BudgetReport, BudgetScenario, FleetBudget, FleetShape, InjectedFaultKind,
};

fn run(name: &str, scenario: &BudgetScenario) -> BudgetReport {
    let folder = folder(name);
    let report = block_on(run_budget_scenario(scenario, program(), &folder));
    println!("{name}: {report:?}");
    std::fs::remove_dir_all(folder).unwrap();
    report
}

fn scenario(
    seed: u64,
    rounds: usize,
    only: &[InjectedFaultKind],
    division: BudgetDivision,
) -> BudgetScenario {
    let shape = FleetShape {
        zones: 2,
        ..FleetShape::default()
    };
    BudgetScenario {
        shape,
        rounds,
        seed,
        only: only.to_vec(),
        retries: FleetBudget {
            rate: 20.0,
            burst: 20.0,
        },
        division,
        first_node_load_factor: 1.0,
    }
}

#[test]
fn retries_probes_and_cross_zone_traffic_of_all_nodes_stay_within_the_budgets() {
    let report = run(
        "budgets-shares",
        &scenario(3, 5, &[], BudgetDivision::Shares),
    );
    assert!(report.worst_window() <= 1.0, "{report:?}");
    assert!(
        report.repeats.count > 0 && report.cross_zone.count > 0,
        "{report:?}"
    );
    // Checks that the verdict can fail: without budgets the same load exceeds them by far.
    let without = run("budgets-none", &scenario(3, 2, &[], BudgetDivision::None));
    assert!(without.worst_window() > 3.0, "{without:?}");
}

/// Guards against a burst when half of the nodes restart at once or all restart one after the other. A restarted node is a new
/// holder of grants under the same name, and must not spend before the grant of its previous process has expired.
#[test]
fn restarts_of_many_nodes_cause_no_burst_beyond_the_budgets() {
    let report = run(
        "budgets-waves",
        &scenario(
            5,
            2,
            &[InjectedFaultKind::HalfLeave, InjectedFaultKind::Rolling],
            BudgetDivision::Shares,
        ),
    );
    assert!(
        report.worst_window() <= 1.0 && report.repeats.count > 0,
        "{report:?}"
    );
}

/// While no process is killed, the nodes' count of cross-zone attempts equals the servers' count exactly, and after the
/// load no part of the retry budget is lost.
#[test]
fn reported_cross_zone_traffic_equals_the_servers_count() {
    let only = [
        InjectedFaultKind::StopHolder,
        InjectedFaultKind::CutHolder,
        InjectedFaultKind::CutOneWay,
        InjectedFaultKind::DegradedLinks,
    ];
    let report = run(
        "budgets-crossings",
        &scenario(7, 3, &only, BudgetDivision::Shares),
    );
    assert!(
        report.worst_window() <= 1.0 && report.cross_zone.count > 50,
        "{report:?}"
    );
    assert_eq!(report.reported_cross_zone, report.cross_zone.count as u64);
    assert!(report.lost_retry_rate.abs() < 1.0, "{report:?}");
}
