//! The log of the lease server that this process hosts, written by a thread of its own, so that no sync holds up the loop
//! that routes.
//!
//! The thread takes writes in their order, makes all that wait durable with one sync, and reports up to which write that
//! is. Once a write or a sync has failed it reports that and ends: nothing after that counts as durable. It also ends when
//! the [`LogWriter`] is dropped, and with it goes the lock on the folder.

mod error;
#[cfg(test)]
mod tests;

use poppykeel_coordination::lease::LeaseLogRecord;
use poppykeel_durable_log::{DurableLog, FaultInjectingDisk, FolderDisk, LogError, RecoveredLog};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use tokio::sync::mpsc;

use error::WithFolder;
pub use error::{LogWriteError, OpenLogError};

/// How many writes may wait for the disk. Where one more comes the log counts as failed, since the sender must not wait.
/// As many reports may wait for the event loop; the thread waits where there are more.
pub const QUEUE_CAPACITY: usize = 4096;
/// The log is compacted when it is this long, in bytes.
const COMPACTION_BYTES: u64 = 1 << 20;
/// The extension of a damaged log that was put aside.
const DAMAGED_EXTENSION: &str = "rotten";
/// The thread's name.
const THREAD_NAME: &str = "lease-log";

/// For tests alone: the file with orders to this process's disk.
const TEST_ORDERS_VARIABLE: &str = "POPPYKEEL_TEST_DISK";

/// What the thread reports.
#[derive(Debug)]
pub enum LogWriterEvent {
    /// All writes up to this number are durable.
    Durable {
        /// The write's number.
        write: u64,
    },
    /// None will be durable any more.
    Failed(LogWriteError),
}

struct Write {
    number: u64,
    records: Vec<LeaseLogRecord>,
}

/// The way to the thread that writes the log.
pub struct LogWriter {
    writes: SyncSender<Write>,
}

/// A log that has been opened.
pub struct OpenedLog {
    /// The way to the log.
    pub writer: LogWriter,
    /// What it holds.
    pub records: Vec<LeaseLogRecord>,
}

impl LogWriter {
    /// Opens a lease server's folder; what comes of writes goes to `events`. A damaged log is put aside, and the server
    /// begins without a memory: it then asks the others.
    ///
    /// # Errors
    /// Where the folder can't be used, for one because another process has it, or its log can't be read.
    pub fn open(
        folder: &Path,
        events: mpsc::Sender<LogWriterEvent>,
    ) -> Result<OpenedLog, OpenLogError> {
        let RecoveredLog {
            log,
            records: payloads,
        } = open_or_put_aside(folder)?;
        let mut newest = NewestRecords::default();
        for payload in &payloads {
            let record = postcard::from_bytes(payload).in_folder(folder)?;
            newest.add(record);
        }
        let records = newest.iter().cloned().collect();
        let (writes, queue) = sync_channel(QUEUE_CAPACITY);
        let run = move || {
            if let Err(error) = write_until_closed(log, newest, &queue, &events) {
                // An error says that the event loop has ended, and then nobody needs the report.
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

    /// Hands a write to the thread.
    ///
    /// # Errors
    /// [`LogWriteError::QueueFull`] where the queue is full or the thread has ended.
    pub fn write(&self, number: u64, records: Vec<LeaseLogRecord>) -> Result<(), LogWriteError> {
        let write = Write { number, records };
        self.writes
            .try_send(write)
            .map_err(|_| LogWriteError::QueueFull)
    }
}

/// Opens the log in a folder; a damaged one is put aside and an empty one opened.
fn open_or_put_aside(folder: &Path) -> Result<RecoveredLog<FaultInjectingDisk>, OpenLogError> {
    match DurableLog::open(open_folder(folder)?) {
        Err(LogError::Corrupt { file, offset }) => {
            tracing::error!(%file, at = offset, "the lease server's log is damaged: put aside, the other lease servers are asked");
            let damaged = folder.join(&file);
            std::fs::rename(&damaged, damaged.with_extension(DAMAGED_EXTENSION))
                .in_folder(folder)?;
            DurableLog::open(open_folder(folder)?).in_folder(folder)
        }
        opened => opened.in_folder(folder),
    }
}

fn open_folder(folder: &Path) -> Result<FaultInjectingDisk, OpenLogError> {
    let orders = std::env::var_os(TEST_ORDERS_VARIABLE).map(PathBuf::from);
    let files = FolderDisk::open(folder).in_folder(folder)?;
    Ok(FaultInjectingDisk::new(files, orders))
}

/// The records that a compaction keeps: the newest grant of each task, the newest incarnation of each server, and whether
/// the recovery is complete.
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

/// Writes until the way to the thread is closed.
fn write_until_closed(
    mut log: DurableLog<FaultInjectingDisk>,
    mut newest: NewestRecords,
    queue: &Receiver<Write>,
    events: &mpsc::Sender<LogWriterEvent>,
) -> Result<(), LogWriteError> {
    while let Ok(first) = queue.recv() {
        let mut last_number = 0;
        // All that waits goes with one sync.
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
