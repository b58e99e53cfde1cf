//! Tests of the log on a faulty disk: no acknowledged record is lost, and no record is returned that was not appended.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_durable_log::{Disk, DurableLog, FolderDisk, LogError, RecoveredLog, SimulatedDisk};
use proptest::prelude::*;

fn record(number: u64) -> Vec<u8> {
    format!("record {number}").into_bytes()
}

/// Length of an encoded record with a single-digit number, in bytes: the frame and the payload.
fn record_bytes() -> usize {
    17 + record(0).len()
}

fn disk_with_records(count: u64) -> SimulatedDisk {
    let disk = SimulatedDisk::default();
    let mut log = DurableLog::open(disk.clone()).unwrap().log;
    for number in 0..count {
        log.append(&record(number)).unwrap();
        log.sync().unwrap();
    }
    disk
}

fn live_segment(disk: &SimulatedDisk) -> String {
    disk.file_names()
        .unwrap()
        .into_iter()
        .find(|name| name.ends_with(".log"))
        .unwrap()
}

#[test]
fn recovers_all_records_before_a_truncation_at_any_byte() {
    let disk = disk_with_records(5);
    let file = live_segment(&disk);
    let original = disk.read(&file).unwrap();
    let header_bytes = original.len() - 5 * record_bytes();
    for length in 0..original.len() {
        let torn = disk.snapshot();
        torn.corrupt(&file, |bytes| bytes.truncate(length));
        match DurableLog::open(torn) {
            Ok(RecoveredLog { records: found, .. }) => {
                let complete_count = (length - header_bytes) / record_bytes();
                assert_eq!(
                    found,
                    (0..complete_count as u64).map(record).collect::<Vec<_>>(),
                    "{length}"
                );
            }
            Err(LogError::Corrupt { .. }) => assert!(length < header_bytes, "{length}"),
            Err(other) => panic!("{length}: {other}"),
        }
    }
}

#[test]
fn rejects_or_drops_a_record_with_a_flipped_bit() {
    let disk = disk_with_records(5);
    let file = live_segment(&disk);
    let original = disk.read(&file).unwrap();
    let size = record_bytes();
    for offset in 0..original.len() {
        let corrupted = disk.snapshot();
        corrupted.corrupt(&file, |bytes| bytes[offset] ^= 0x10);
        match DurableLog::open(corrupted) {
            // Corruption of the last record cannot be distinguished from a torn write.
            Ok(RecoveredLog { records: found, .. }) => {
                assert!(offset >= original.len() - size, "{offset}");
                assert_eq!(found, (0..4).map(record).collect::<Vec<_>>());
            }
            Err(LogError::Corrupt { .. } | LogError::UnsupportedFormat { .. }) => {}
            Err(other) => panic!("{offset}: {other}"),
        }
    }
}

#[test]
fn accepts_no_records_after_a_failed_sync() {
    let disk = disk_with_records(2);
    let mut log = DurableLog::open(disk.clone()).unwrap().log;
    disk.fail_sync(Some(0));
    log.append(&record(2)).unwrap();
    assert!(matches!(log.sync(), Err(LogError::Io(_))));
    // Later syncs would succeed, but the kernel may have marked pages as clean that were not written.
    assert!(matches!(log.append(&record(3)), Err(LogError::Failed)));
    assert!(matches!(log.sync(), Err(LogError::Failed)));
    let found = DurableLog::open(disk.crash(0, false)).unwrap().records;
    assert_eq!(found, vec![record(0), record(1)]);
}

#[test]
fn keeps_acknowledged_records_when_the_disk_is_full() {
    let disk = disk_with_records(3);
    let mut log = DurableLog::open(disk.clone()).unwrap().log;
    disk.set_free_bytes(Some(9));
    log.append(&record(3)).unwrap();
    assert!(matches!(log.sync(), Err(LogError::Io(_))));
    let found = DurableLog::open(disk.crash(256, true)).unwrap().records;
    assert_eq!(found, (0..3).map(record).collect::<Vec<_>>());
}

#[test]
fn rejects_a_newer_format_and_names_the_file() {
    let disk = disk_with_records(1);
    let file = live_segment(&disk);
    disk.corrupt(&file, |bytes| bytes[7] = 9);
    let error = DurableLog::open(disk).err().unwrap().to_string();
    assert!(
        error.contains(&file) && error.contains("format 9"),
        "{error}"
    );
}

/// Loses power at each operation of two consecutive compactions, with several outcomes for unsynced bytes and names.
#[test]
fn keeps_old_or_new_records_after_a_crash_at_any_step_of_a_compaction() {
    let kept = vec![b"kept 1".to_vec(), b"kept 2".to_vec()];
    let kept_by_second = vec![b"kept 3".to_vec()];
    for step in 0..40 {
        for (unsynced_256ths, keeps_unsynced_names) in [
            (0, false),
            (0, true),
            (100, true),
            (256, true),
            (256, false),
        ] {
            let disk = disk_with_records(3);
            let RecoveredLog {
                mut log,
                records: before,
            } = DurableLog::open(disk.clone()).unwrap();
            disk.lose_power_after(Some(step));
            let first = log.replace(&kept).is_ok();
            let second = first && log.replace(&kept_by_second).is_ok();
            let found = DurableLog::open(disk.crash(unsynced_256ths, keeps_unsynced_names))
                .unwrap()
                .records;
            let is_consistent = match (first, second) {
                (false, _) => found == before || found == kept,
                (true, false) => found == kept || found == kept_by_second,
                (true, true) => found == kept_by_second,
            };
            assert!(
                is_consistent,
                "step {step}, {unsynced_256ths}, {keeps_unsynced_names}: {found:?}"
            );
        }
    }
}

#[test]
fn locks_the_folder_against_other_processes() {
    let folder = std::env::temp_dir().join(format!("poppykeel-durable-log-{}", std::process::id()));
    let disk = FolderDisk::open(&folder).unwrap();
    assert_eq!(
        FolderDisk::open(&folder).err().unwrap().kind(),
        std::io::ErrorKind::WouldBlock
    );
    let mut log = DurableLog::open(disk).unwrap().log;
    log.append(b"one").unwrap();
    log.sync().unwrap();
    log.replace(&[b"one".to_vec()]).unwrap();
    log.append(b"two").unwrap();
    log.sync().unwrap();
    drop(log);
    let found = DurableLog::open(FolderDisk::open(&folder).unwrap())
        .unwrap()
        .records;
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(found, vec![b"one".to_vec(), b"two".to_vec()]);
}

#[derive(Clone, Debug)]
enum Operation {
    Append(Vec<u8>),
    Sync,
    Compact,
    Crash {
        unsynced_256ths: usize,
        keeps_unsynced_names: bool,
    },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        5 => proptest::collection::vec(any::<u8>(), 0..40).prop_map(Operation::Append),
        3 => Just(Operation::Sync),
        1 => Just(Operation::Compact),
        1 => (0usize..=256, any::<bool>()).prop_map(|(unsynced_256ths, keeps_unsynced_names)| Operation::Crash { unsynced_256ths, keeps_unsynced_names }),
    ]
}

proptest! {
    /// After any crash the log contains all acknowledged records, followed only by records that were appended, in
    /// order.
    #[test]
    fn keeps_acknowledged_records_across_crashes(operations in proptest::collection::vec(operation(), 1..60)) {
        let mut disk = SimulatedDisk::default();
        let mut log = Some(DurableLog::open(disk.clone()).unwrap().log);
        let mut appended = Vec::new();
        let mut acknowledged = 0;
        for operation in operations {
            let open = log.as_mut().unwrap();
            match operation {
                Operation::Append(payload) => {
                    open.append(&payload).unwrap();
                    appended.push(payload);
                }
                Operation::Sync => {
                    open.sync().unwrap();
                    acknowledged = appended.len();
                }
                Operation::Compact => {
                    open.replace(&appended).unwrap();
                    acknowledged = appended.len();
                }
                Operation::Crash { unsynced_256ths, keeps_unsynced_names } => {
                    drop(log.take());
                    disk = disk.crash(unsynced_256ths, keeps_unsynced_names);
                    let RecoveredLog { log: reopened, records: found } = DurableLog::open(disk.clone()).unwrap();
                    prop_assert!(found.len() >= acknowledged, "recovered {} of {acknowledged} acknowledged records", found.len());
                    prop_assert_eq!(&found[..], &appended[..found.len()]);
                    appended = found;
                    acknowledged = appended.len();
                    log = Some(reopened);
                }
            }
        }
    }
}
