//! Several node processes under injected faults. The verdicts are computed from the records of stub servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod budgets;
mod leases;
mod processes;
mod rolling_restart;
mod support;
mod verdicts;
