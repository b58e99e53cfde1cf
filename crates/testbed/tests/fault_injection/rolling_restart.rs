//! A rolling restart of all nodes.

use crate::support::{block_on, folder, program};
use poppykeel_testbed::fault_injection::{
    run_rolling_restart_scenario, FleetShape, RollingRestartScenario,
};

#[test]
fn rolling_restart_completes_despite_faults_of_its_coordinator() {
    let folder = folder("roll");
    let scenario = RollingRestartScenario {
        shape: FleetShape::default(),
        seed: 4,
        fault_count: 3,
        max_out: 2,
    };
    let report = block_on(run_rolling_restart_scenario(&scenario, program(), &folder));
    println!("{report:?}");
    assert!(report.max_out_at_once <= 2, "{report:?}");
    assert!(
        report.ready_at_end == 9 && report.seen_out >= 6,
        "{report:?}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}
