//! The testbed: emulates a fleet to evaluate designs at sizes that sockets cannot reach, and tests nodes on loopback.
//!
//! - [`emulator`]: a discrete-event simulation of one run, with the project's own scheduler or a baseline policy;
//! - [`experiment`]: experiment descriptions in TOML, parameter sweeps, parallel runs, results and their tables;
//! - [`fault_injection`]: several node processes, with faults injected into them and the links between them;
//! - [`report`]: an HTML report of results with charts;
//! - [`sockets`]: the same fleet and load on loopback, with the node's own program;
//! - [`view`]: a simulation or a running node on the terminal.

pub mod emulator;
pub mod experiment;
pub mod fault_injection;
pub mod report;
pub mod sockets;
pub mod view;

/// Microseconds since the beginning of a run.
pub use poppykeel_coordination::Micros;
