//! A durable log of small records: a record that was acknowledged is found again after a crash, and no record is found
//! that was never appended.
//!
//! A log is one live segment file in a folder. Records are appended to it in groups, each made durable by one sync; a
//! compaction replaces the segment as a whole. A lease server writes its grants here. All file work goes through
//! [`Disk`]: [`FolderDisk`] is a real folder, [`SimulatedDisk`] a folder in memory that loses unsynced writes, tears
//! them, fails a sync, is full or returns corrupt bytes, and [`FaultInjectingDisk`] a real folder that fails where a
//! test asks for it. `docs/store.md` describes the format.

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
