//! All nodes together keep to the budgets of the fleet.

use crate::support::{block_on, folder, program};
use poppykeel_testbed::emulator::description::BudgetDivision;
use poppykeel_testbed::fault_injection::{
    run_budget_scenario, BudgetReport, BudgetScenario, BudgetWhole, FleetShape, InjectedFaultKind,
};

fn play(name: &str, scenario: &BudgetScenario) -> BudgetReport {
    let folder = folder(name);
    let found = block_on(run_budget_scenario(scenario, program(), &folder));
    println!("{name}: {found:?}");
    std::fs::remove_dir_all(folder).unwrap();
    found
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
        retries: BudgetWhole {
            rate: 20.0,
            burst: 20.0,
        },
        division,
        first_node_load_factor: 1.0,
    }
}

#[test]
fn retries_probes_and_cross_zone_traffic_of_all_nodes_stay_within_the_budgets() {
    let found = play(
        "budgets-shares",
        &scenario(3, 5, &[], BudgetDivision::Shares),
    );
    assert!(found.worst_window() <= 1.0, "{found:?}");
    assert!(
        found.repeats.count > 0 && found.cross_zone.count > 0,
        "{found:?}"
    );
    // The record can show it: without budgets the same clients and servers go far beyond.
    let without = play("budgets-none", &scenario(3, 2, &[], BudgetDivision::None));
    assert!(without.worst_window() > 3.0, "{without:?}");
}

/// Half of the nodes leave in the same second and come back together, and all are restarted one after the other: who
/// is back under the same name is a new holder, and what the one before had runs out first.
#[test]
fn restarts_of_many_nodes_cause_no_burst_beyond_the_budgets() {
    let found = play(
        "budgets-waves",
        &scenario(
            5,
            2,
            &[InjectedFaultKind::HalfLeave, InjectedFaultKind::Rolling],
            BudgetDivision::Shares,
        ),
    );
    assert!(
        found.worst_window() <= 1.0 && found.repeats.count > 0,
        "{found:?}"
    );
}

/// While no process is killed, what the nodes report of cross-zone traffic is the servers' own count to the unit, and once all is
/// quiet nothing of the whole is lost.
#[test]
fn reported_cross_zone_traffic_equals_the_servers_count() {
    let only = [
        InjectedFaultKind::StopHolder,
        InjectedFaultKind::CutHolder,
        InjectedFaultKind::CutOneWay,
        InjectedFaultKind::DegradedLinks,
    ];
    let found = play(
        "budgets-crossings",
        &scenario(7, 3, &only, BudgetDivision::Shares),
    );
    assert!(
        found.worst_window() <= 1.0 && found.cross_zone.count > 50,
        "{found:?}"
    );
    assert_eq!(found.reported_cross_zone, found.cross_zone.count as u64);
    assert!(found.lost_retry_rate.abs() < 1.0, "{found:?}");
}
