//! The log of the lease server hosted by this process. A separate thread writes it, so that syncs do not block the routing
//! loop.
//!
//! The thread processes writes in order, makes all queued writes durable with one sync, and reports the number of the last
//! write. After a failed write or sync it reports the error and ends: no later write counts as durable. It also ends when
//! the [`LogWriter`] is dropped, which releases the lock on the folder.

mod error;
#[cfg(test)]
mod tests;

use poppykeel_coordination::lease::LeaseLogRecord;
use poppykeel_durable_log::{DurableLog, FaultInjectingDisk, FolderDisk, LogError, RecoveredLog};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use tokio::sync::mpsc;

use error::WithFolder;
pub use error::{LogWriteError, OpenLogError};

/// Maximum number of queued writes. If the queue is full the log counts as failed, since the sender must not block. The same
/// number of events may wait for the event loop; the thread blocks if there are more.
pub const QUEUE_CAPACITY: usize = 4096;
/// The log is compacted when it exceeds this size.
const COMPACTION_BYTES: u64 = 1 << 20;
/// The extension given to a corrupt log file.
const CORRUPT_EXTENSION: &str = "rotten";
const THREAD_NAME: &str = "lease-log";

/// For tests only: the file with the faults to inject into this process's disk.
const TEST_FAULTS_VARIABLE: &str = "POPPYKEEL_TEST_DISK";

/// An event reported by the thread.
#[derive(Debug)]
pub enum LogWriterEvent {
    /// All writes up to this number are durable.
    Durable {
        /// The number passed to [`LogWriter::write`].
        write: u64,
    },
    /// The log has failed; no further write becomes durable.
    Failed(LogWriteError),
}

struct Write {
    number: u64,
    records: Vec<LeaseLogRecord>,
}

/// A handle to the thread that writes the log.
pub struct LogWriter {
    writes: SyncSender<Write>,
}

/// A log that has been opened.
pub struct OpenedLog {
    /// The handle for writing to the log.
    pub writer: LogWriter,
    /// The newest record of each task and of each server in the log, and that of a completed recovery.
    pub records: Vec<LeaseLogRecord>,
}

impl LogWriter {
    /// Opens a lease server's folder and starts the thread, which reports to `events`. A corrupt log is renamed, and the
    /// server starts without records; it then recovers from the other lease servers.
    ///
    /// # Errors
    /// Fails if the folder can't be used, for example because another process has locked it, or if its log can't be read.
    pub fn open(
        folder: &Path,
        events: mpsc::Sender<LogWriterEvent>,
    ) -> Result<OpenedLog, OpenLogError> {
        let RecoveredLog {
            log,
            records: payloads,
        } = open_or_set_aside(folder)?;
        let mut newest = NewestRecords::default();
        for payload in &payloads {
            let record = postcard::from_bytes(payload).in_folder(folder)?;
            newest.add(record);
        }
        let records = newest.iter().cloned().collect();
        let (writes, queue) = sync_channel(QUEUE_CAPACITY);
        let run = move || {
            if let Err(error) = write_until_closed(log, newest, &queue, &events) {
                // Sending fails only if the event loop has ended; the report is then not needed.
                let _ = events.blocking_send(LogWriterEvent::Failed(error));
            }
        };
        std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(run)
            .in_folder(folder)?;
        Ok(OpenedLog {
            writer: LogWriter { writes },
            records,
        })
    }

    /// Queues a write for the thread.
    ///
    /// # Errors
    /// [`LogWriteError::QueueFull`] if the queue is full, or [`LogWriteError::ThreadEnded`] if the thread has ended.
    pub fn write(&self, number: u64, records: Vec<LeaseLogRecord>) -> Result<(), LogWriteError> {
        let write = Write { number, records };
        self.writes.try_send(write).map_err(|error| match error {
            TrySendError::Full(_) => LogWriteError::QueueFull,
            TrySendError::Disconnected(_) => LogWriteError::ThreadEnded,
        })
    }
}

/// Opens the log in a folder. A corrupt log is renamed and an empty one opened.
fn open_or_set_aside(folder: &Path) -> Result<RecoveredLog<FaultInjectingDisk>, OpenLogError> {
    match DurableLog::open(open_folder(folder)?) {
        Err(LogError::Corrupt { file, offset }) => {
            tracing::error!(%file, at = offset, "the lease server's log is corrupt: file renamed, recovering from the other lease servers");
            let corrupt = folder.join(&file);
            std::fs::rename(&corrupt, corrupt.with_extension(CORRUPT_EXTENSION))
                .in_folder(folder)?;
            DurableLog::open(open_folder(folder)?).in_folder(folder)
        }
        opened => opened.in_folder(folder),
    }
}

fn open_folder(folder: &Path) -> Result<FaultInjectingDisk, OpenLogError> {
    let faults = std::env::var_os(TEST_FAULTS_VARIABLE).map(PathBuf::from);
    let files = FolderDisk::open(folder).in_folder(folder)?;
    Ok(FaultInjectingDisk::new(files, faults))
}

/// The records kept by a compaction: the newest grant of each task, the newest incarnation of each server, and the
/// completion of the recovery.
#[derive(Default)]
struct NewestRecords {
    grants: BTreeMap<String, LeaseLogRecord>,
    incarnations: BTreeMap<usize, LeaseLogRecord>,
    recovery_complete: Option<LeaseLogRecord>,
}

impl NewestRecords {
    fn add(&mut self, record: LeaseLogRecord) {
        match &record {
            LeaseLogRecord::Grant(grant) => {
                self.grants.insert(grant.task.clone(), record);
            }
            LeaseLogRecord::Incarnation(incarnation) => {
                self.incarnations.insert(incarnation.server, record);
            }
            LeaseLogRecord::RecoveryComplete { .. } => self.recovery_complete = Some(record),
        }
    }

    fn iter(&self) -> impl Iterator<Item = &LeaseLogRecord> {
        self.grants
            .values()
            .chain(self.incarnations.values())
            .chain(&self.recovery_complete)
    }
}

/// Writes queued records until the queue or the channel of events is closed.
fn write_until_closed(
    mut log: DurableLog<FaultInjectingDisk>,
    mut newest: NewestRecords,
    queue: &Receiver<Write>,
    events: &mpsc::Sender<LogWriterEvent>,
) -> Result<(), LogWriteError> {
    while let Ok(first) = queue.recv() {
        let mut last_number = 0;
        // All queued writes share one sync.
        let waiting = queue.try_iter().take(QUEUE_CAPACITY);
        for write in std::iter::once(first).chain(waiting) {
            for record in write.records {
                log.append(&postcard::to_stdvec(&record)?)?;
                newest.add(record);
            }
            last_number = write.number;
        }
        log.sync()?;
        let durable = LogWriterEvent::Durable { write: last_number };
        if events.blocking_send(durable).is_err() {
            return Ok(());
        }
        if log.size_bytes() > COMPACTION_BYTES {
            compact(&mut log, &newest)?;
        }
    }
    Ok(())
}

fn compact(
    log: &mut DurableLog<FaultInjectingDisk>,
    newest: &NewestRecords,
) -> Result<(), LogWriteError> {
    let payloads = newest
        .iter()
        .map(postcard::to_stdvec)
        .collect::<Result<Vec<_>, _>>()?;
    log.replace(&payloads)?;
    Ok(())
}
