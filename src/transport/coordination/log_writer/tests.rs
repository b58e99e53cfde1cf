//! Tests of the lease server's log in a folder on disk.

use super::{LogWriter, LogWriterEvent, OpenLogError, QUEUE_CAPACITY};
use poppykeel_coordination::lease::{GrantRecord, LeaseLogRecord, ServerIncarnation};
use poppykeel_coordination::{Epoch, Incarnation, ProcessId};
use std::path::{Path, PathBuf};
use tokio::sync::mpsc;

fn grant(epoch: u64) -> LeaseLogRecord {
    let holder = ProcessId {
        node: "n1".into(),
        incarnation: Incarnation(7),
    };
    LeaseLogRecord::Grant(GrantRecord {
        task: "t".into(),
        epoch: Epoch(epoch),
        holder: Some(holder),
        duration: 5,
    })
}

fn files_with_extension(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    entries
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect()
}

/// An opened log with the receiver of its thread's events.
struct TestLog {
    writer: LogWriter,
    records: Vec<LeaseLogRecord>,
    events: mpsc::Receiver<LogWriterEvent>,
}

impl TestLog {
    fn open(folder: &Path) -> Result<TestLog, OpenLogError> {
        let (sender, events) = mpsc::channel(QUEUE_CAPACITY);
        let opened = LogWriter::open(folder, sender)?;
        Ok(TestLog {
            writer: opened.writer,
            records: opened.records,
            events,
        })
    }

    fn wait_until_durable(&mut self, until: u64) {
        loop {
            match self.events.blocking_recv().unwrap() {
                LogWriterEvent::Durable { write } if write >= until => return,
                LogWriterEvent::Durable { .. } => {}
                LogWriterEvent::Failed(error) => panic!("{error}"),
            }
        }
    }

    /// Closes the queue and waits until the thread has ended, which releases the lock.
    fn close(self) {
        let TestLog {
            writer, mut events, ..
        } = self;
        drop(writer);
        assert!(events.blocking_recv().is_none());
    }
}

/// Writes reported durable must be recovered, two processes must never share a folder, and a corrupt log must be renamed so
/// that the server starts without records.
#[test]
fn recovers_durable_records_and_renames_a_corrupt_log() {
    let folder = std::env::temp_dir().join(format!("lease-log-{}", std::process::id()));
    let mut log = TestLog::open(&folder).unwrap();
    assert!(log.records.is_empty());
    for number in 1..=9 {
        log.writer.write(number, vec![grant(number)]).unwrap();
    }
    log.wait_until_durable(9);
    let error = TestLog::open(&folder).err().unwrap().to_string();
    assert!(
        error.contains("fleet.folder") && error.contains("another process"),
        "{error}"
    );
    log.close();
    let log = TestLog::open(&folder).unwrap();
    assert_eq!(log.records, [grant(9)]);
    log.close();
    let segment = files_with_extension(&folder, "log").remove(0);
    let mut bytes = std::fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&segment, bytes).unwrap();
    let log = TestLog::open(&folder).unwrap();
    assert!(log.records.is_empty());
    assert_eq!(files_with_extension(&folder, "rotten").len(), 1);
    drop(log);
    std::fs::remove_dir_all(folder).unwrap();
}

/// The golden log of a lease server, relative to the package.
const GOLDEN_LOG: &str = "tests/golden/lease-server/0000000000000001.log";

fn golden_log() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(GOLDEN_LOG)
}

/// An empty folder for one golden test of this process.
fn golden_folder(name: &str) -> PathBuf {
    let name = format!("golden-lease-server-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    // Removes the folder of an earlier process with the same id; usually there is none.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A grant or, without a holder, an epoch reported by another lease server.
fn golden_grant(
    task: &str,
    epoch: u64,
    holder: Option<ProcessId>,
    duration: u64,
) -> LeaseLogRecord {
    LeaseLogRecord::Grant(GrantRecord {
        task: task.into(),
        epoch: Epoch(epoch),
        holder,
        duration,
    })
}

fn golden_holder(node: &str, incarnation: u64) -> Option<ProcessId> {
    Some(ProcessId {
        node: node.into(),
        incarnation: Incarnation(incarnation),
    })
}

fn server_incarnation(server: usize, incarnation: u64) -> ServerIncarnation {
    ServerIncarnation {
        server,
        incarnation: Incarnation(incarnation),
    }
}

fn golden_incarnation(server: usize, incarnation: u64) -> LeaseLogRecord {
    LeaseLogRecord::Incarnation(server_incarnation(server, incarnation))
}

fn golden_founders(founders: &[(usize, u64)]) -> LeaseLogRecord {
    let founders = founders.iter();
    LeaseLogRecord::RecoveryComplete {
        founders: founders
            .map(|(server, incarnation)| server_incarnation(*server, *incarnation))
            .collect(),
    }
}

/// The records of the golden log in the order written; later ones of a task or server replace earlier ones.
fn golden_records() -> Vec<LeaseLogRecord> {
    let first_holder = golden_holder("node-a", 0x0123_4567_89ab_cdef);
    let second_holder = golden_holder("node-b", 0xfedc_ba98_7654_3210);
    vec![
        golden_incarnation(1, 11),
        golden_founders(&[(0, 12)]),
        golden_grant("budgets", 21, first_holder.clone(), 2_200_000),
        golden_grant("trials", 23, None, 24),
        golden_grant("roll", 2_500, second_holder.clone(), 5_000_000),
        golden_incarnation(0, 26),
        golden_grant("budgets", 270_000, second_holder, 2_800_000),
        golden_incarnation(1, 1_100),
        golden_founders(&[(0, 29), (2, 3_000)]),
        golden_grant("trials", 31, first_holder, 32),
        golden_grant("ejections", 33, None, 34),
        golden_incarnation(2, 35),
    ]
}

/// The records that a lease server recovers from the golden log: the newest of each task by name, of each server by index,
/// and the completion of the recovery.
fn golden_newest_records() -> Vec<LeaseLogRecord> {
    let records = golden_records();
    [6, 10, 4, 9, 5, 7, 11, 8]
        .map(|index: usize| records[index].clone())
        .into()
}

/// Ends the thread, which releases the lock, and discards its events.
fn close_with_events(log: TestLog) {
    let TestLog {
        writer, mut events, ..
    } = log;
    drop(writer);
    while events.blocking_recv().is_some() {}
}

#[test]
fn golden_log_of_released_version_stays_readable() {
    let folder = golden_folder("read");
    let copy = folder.join(golden_log().file_name().unwrap());
    std::fs::copy(golden_log(), &copy).unwrap();
    let log = TestLog::open(&folder).unwrap();
    assert_eq!(log.records, golden_newest_records());
    close_with_events(log);
    let after_opening = std::fs::read(copy).unwrap();
    assert_eq!(after_opening, std::fs::read(golden_log()).unwrap());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn golden_records_are_written_as_the_golden_log() {
    let folder = golden_folder("write");
    let log = TestLog::open(&folder).unwrap();
    assert!(log.records.is_empty());
    for (number, record) in (0..).zip(golden_records()) {
        log.writer.write(number, vec![record]).unwrap();
    }
    close_with_events(log);
    let segment = folder.join(golden_log().file_name().unwrap());
    let written = std::fs::read(segment).unwrap();
    let committed = std::fs::read(golden_log()).unwrap();
    assert!(written == committed, "the bytes of the log differ");
    std::fs::remove_dir_all(folder).unwrap();
}
