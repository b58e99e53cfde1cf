//! Tests of the lease server's log on a real folder.

use super::{LogWriter, LogWriterEvent, OpenLogError, QUEUE_CAPACITY};
use poppykeel_coordination::lease::{GrantRecord, LeaseLogRecord};
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

/// An opened log with the reports of its thread.
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

    /// The thread ends, and with it the lock, once nobody can write any more.
    fn close(self) {
        let TestLog {
            writer, mut events, ..
        } = self;
        drop(writer);
        assert!(events.blocking_recv().is_none());
    }
}

/// What was reported durable is there again; two processes never share the folder; a log with a damaged middle is put
/// aside, and the server begins without a memory.
#[test]
fn finds_durable_records_again_and_puts_a_damaged_log_aside() {
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
