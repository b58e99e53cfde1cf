//! Fault injection: several processes of the node's program on this machine, and faults between them.
//!
//! Every link between two nodes goes through a relay that can cut, delay, repeat and lose what passes. What the
//! processes act upon is a stub that writes everything down, and the verdict comes from such records alone, not from
//! what the nodes say. One seed plays the faults of a run again. A scenario is started by a sub-command of
//! `poppykeel-testbed break`:
//!
//! - [`run_lease_scenario`]: a task under a lease never has two holders, and soon one again.
//! - [`run_rolling_restart_scenario`]: all nodes are taken out one after the other, never more than allowed at once.
//! - [`run_budget_scenario`]: all nodes together keep to the budgets of the fleet.
//!
//! Everything runs on one thread, in a `LocalSet` of tokio; only the nodes are processes of their own.

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

pub use budget_verdict::{judge_budgets, BudgetReport, BudgetWhole, WorkCount};
pub use budgets::{run_budget_scenario, BudgetScenario};
pub use error::FaultInjectionError;
pub use injected_fault::{InjectedFault, InjectedFaultKind};
pub use lease_verdict::{judge_actions, ActionGap, LeaseVerdict, LeasedAction, ProcessName};
pub use leases::{run_lease_scenario, LeaseReport, LeaseScenario};
pub use rolling_restart::{
    run_rolling_restart_scenario, RollingRestartReport, RollingRestartScenario,
};
pub use test_fleet::FleetShape;
