//! Operators take all nodes out one after the other.

use crate::support::{block_on, folder, program};
use poppykeel_testbed::fault_injection::{
    run_rolling_restart_scenario, FleetShape, RollingRestartScenario,
};

#[test]
fn rolling_restart_takes_out_all_nodes_while_its_coordinator_is_lost() {
    let folder = folder("roll");
    let wanted = RollingRestartScenario {
        shape: FleetShape::default(),
        seed: 4,
        fault_count: 3,
        max_out: 2,
    };
    let found = block_on(run_rolling_restart_scenario(&wanted, program(), &folder));
    println!("{found:?}");
    assert!(found.max_out_at_once <= 2, "{found:?}");
    assert!(found.ready_at_end == 9 && found.seen_out >= 6, "{found:?}");
    std::fs::remove_dir_all(folder).unwrap();
}
