//! A durable log of small records. Acknowledged records survive a crash, and recovery never returns a record that was
//! not appended.
//!
//! A log consists of one live segment file in a folder. Records are appended in groups, and one sync makes a group
//! durable. A compaction replaces the whole segment. Lease servers store their grants in such a log. `docs/store.md`
//! describes the format.
//!
//! All file operations go through [`Disk`]:
//!
//! - [`FolderDisk`]: a folder of the file system.
//! - [`SimulatedDisk`]: a disk in memory that can lose or tear unsynced writes, fail a sync, be full or corrupt.
//! - [`FaultInjectingDisk`]: a folder of the file system with faults that a test requests.

mod disk;
mod error;
mod fault_injecting_disk;
mod folder_disk;
mod log;
mod record;
mod segment;
mod simulated_disk;

pub use disk::Disk;
pub use error::LogError;
pub use fault_injecting_disk::FaultInjectingDisk;
pub use folder_disk::FolderDisk;
pub use log::{DurableLog, RecoveredLog};
pub use record::FORMAT_VERSION;
pub use simulated_disk::SimulatedDisk;
