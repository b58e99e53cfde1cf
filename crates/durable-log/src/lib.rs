//! A durable log of small records: what is acknowledged is found again after a crash, and nothing else is invented.
//!
//! All file work goes through [`Disk`]: [`Files`] is the real one, [`SimDisk`] one that loses unsynced writes, tears
//! them, fails a sync, is full, or returns rotten bytes; [`Troubled`] is a real one that fails by a test's order. `docs/store.md` has the format.

mod disk;
mod log;
mod record;
mod sim;
mod troubled;

pub use disk::{Disk, Files};
pub use log::{Fault, Log};
pub use record::FORMAT;
pub use sim::SimDisk;
pub use troubled::Troubled;
