//! Several processes of the program under injected faults. The verdicts come from the records of stubs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod budgets;
mod leases;
mod processes;
mod rolling_restart;
mod support;
mod verdicts;
