//! Fault injection: runs several node processes on this machine and injects faults into them and the links between
//! them.
//!
//! Every link between two nodes goes through a relay that can cut the link and delay, duplicate or drop messages. Stub
//! servers record every request that they receive. The verdict is computed from these records and from readiness polls,
//! not from the state that the nodes report. A run is reproducible: its faults are drawn from one seed. Each scenario
//! is a sub-command of `poppykeel-testbed break`:
//!
//! - [`run_lease_scenario`]: a task never has two lease holders, and gets a new one soon after its holder is lost.
//! - [`run_rolling_restart_scenario`]: every node is taken out, never more of them at once than allowed.
//! - [`run_budget_scenario`]: all nodes together stay within the budgets of the fleet.
//!
//! Everything runs on one thread in a tokio `LocalSet`; only the nodes are separate processes.

mod admin_client;
mod budget_verdict;
mod budgets;
mod collector;
mod error;
mod injected_fault;
mod lease_verdict;
mod leases;
mod link_relay;
mod node_process;
mod ports;
mod rolling_restart;
mod run_history;
mod test_fleet;

pub use budget_verdict::{check_budgets, BudgetReport, FleetBudget, WorkCount};
pub use budgets::{run_budget_scenario, BudgetScenario};
pub use error::FaultInjectionError;
pub use injected_fault::{InjectedFault, InjectedFaultKind};
pub use lease_verdict::{check_actions, ActionGap, LeaseVerdict, LeasedAction, ProcessName};
pub use leases::{run_lease_scenario, LeaseReport, LeaseScenario};
pub use rolling_restart::{
    run_rolling_restart_scenario, RollingRestartReport, RollingRestartScenario,
};
pub use test_fleet::FleetShape;
