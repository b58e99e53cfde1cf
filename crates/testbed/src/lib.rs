//! The lab: a model of what is balanced, to try designs at sizes that sockets don't reach.
//!
//! - [`emulator`]: one run, by discrete events, around the project's own core and module or a policy to compare with;
//! - [`experiment`]: descriptions in TOML, sweeps, runs over the cores, results and their tables;
//! - [`fault_injection`]: several processes of the program, and faults between them;
//! - [`report`]: results as one page with pictures;
//! - [`sockets`]: the same fleet and load on loopback, round the node's own program;
//! - [`view`]: a run or a node on the terminal.

pub mod emulator;
pub mod experiment;
pub mod fault_injection;
pub mod report;
pub mod sockets;
pub mod view;

/// Microseconds since a run's beginning.
pub use poppykeel_coordination::Micros;
