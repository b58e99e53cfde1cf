//! Golden file of the log's on-disk format: a segment that a landed version wrote must stay readable, and the present
//! code must write the same bytes for the same records.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_durable_log::{DurableLog, FolderDisk, RecoveredLog};
use std::fs;
use std::path::{Path, PathBuf};

/// The segment's file name, in the golden folder and in a log's own folder.
const SEGMENT: &str = "0000000000000002.log";

/// Records that are written before the compaction and dropped by it.
fn records_before_compaction() -> Vec<Vec<u8>> {
    vec![b"dropped by the compaction".to_vec(), payload(40)]
}

/// Records that the compaction keeps.
fn kept_records() -> Vec<Vec<u8>> {
    vec![b"kept by the compaction".to_vec(), payload(300)]
}

/// Records that are appended after the compaction: empty, one byte, and lengths of one, two and three bytes.
fn appended_records() -> Vec<Vec<u8>> {
    vec![
        Vec::new(),
        vec![0xff],
        b"a short record".to_vec(),
        payload(255),
        payload(256),
        payload(4_097),
        payload(70_000),
    ]
}

/// All records that the golden segment holds, oldest first.
fn all_records() -> Vec<Vec<u8>> {
    [kept_records(), appended_records()].concat()
}

/// A payload of this length in which neighbouring bytes differ.
fn payload(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index * 31 % 251) as u8).collect()
}

/// The committed file of this name.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Asserts that what the present code has written equals the committed file.
fn assert_equals_golden_file(name: &str, written: &[u8]) {
    let committed = fs::read(golden_path(name)).unwrap();
    assert!(written == committed, "{name}: the bytes differ");
}

/// An empty folder for one test of this process.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("golden-log-{name}-{}", std::process::id()));
    // A folder of an earlier process with this id may be left; usually there is none.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes all records through the public interface: appended, compacted, and appended again in two groups.
fn write_log(folder: &Path) {
    let RecoveredLog {
        mut log,
        records: found,
    } = DurableLog::open(FolderDisk::open(folder).unwrap()).unwrap();
    assert!(found.is_empty());
    for record in records_before_compaction() {
        log.append(&record).unwrap();
    }
    log.replace(&kept_records()).unwrap();
    let appended = appended_records();
    let (first_group, second_group) = appended.split_at(3);
    for group in [first_group, second_group] {
        for record in group {
            log.append(record).unwrap();
        }
        log.sync().unwrap();
    }
}

#[test]
fn log_segment_of_landed_version_stays_readable() {
    let folder = empty_folder("read");
    fs::copy(golden_path(SEGMENT), folder.join(SEGMENT)).unwrap();
    let RecoveredLog {
        log,
        records: found,
    } = DurableLog::open(FolderDisk::open(&folder).unwrap()).unwrap();
    assert_eq!(found, all_records());
    drop(log);
    let after_opening = fs::read(folder.join(SEGMENT)).unwrap();
    assert_equals_golden_file(SEGMENT, &after_opening);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn same_records_are_written_as_the_same_log_segment() {
    let folder = empty_folder("write");
    write_log(&folder);
    let written = fs::read(folder.join(SEGMENT)).unwrap();
    assert_equals_golden_file(SEGMENT, &written);
    fs::remove_dir_all(folder).unwrap();
}
