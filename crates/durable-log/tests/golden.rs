//! Golden file of the on-disk format: a segment written by an earlier version stays readable, and the current code
//! writes the same bytes for the same records.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_durable_log::{DurableLog, FolderDisk, RecoveredLog};
use std::fs;
use std::path::{Path, PathBuf};

/// File name of the segment, both in the golden folder and in the folder of a log.
const SEGMENT: &str = "0000000000000002.log";

/// Records written before the compaction, which drops them.
fn records_before_compaction() -> Vec<Vec<u8>> {
    vec![b"dropped by the compaction".to_vec(), payload(40)]
}

/// Records that the compaction retains.
fn kept_records() -> Vec<Vec<u8>> {
    vec![b"kept by the compaction".to_vec(), payload(300)]
}

/// Records appended after the compaction. Their lengths take zero to three bytes to encode.
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

/// All records of the golden segment, oldest first.
fn all_records() -> Vec<Vec<u8>> {
    [kept_records(), appended_records()].concat()
}

/// A payload of this length in which adjacent bytes differ.
fn payload(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index * 31 % 251) as u8).collect()
}

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Asserts that the bytes written by the current code equal those of the committed file.
fn assert_equals_golden_file(name: &str, written: &[u8]) {
    let committed = fs::read(golden_path(name)).unwrap();
    assert!(written == committed, "{name}: the bytes differ");
}

/// Creates an empty temporary folder. The name includes the process id, so parallel runs do not collide.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("golden-log-{name}-{}", std::process::id()));
    // Remove a folder left by an earlier process with the same id. Usually there is none, so errors are ignored.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes all records through the public API: append, compact, and append again in two groups.
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
fn log_segment_of_earlier_version_stays_readable() {
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
fn same_records_are_encoded_as_the_same_log_segment() {
    let folder = empty_folder("write");
    write_log(&folder);
    let written = fs::read(folder.join(SEGMENT)).unwrap();
    assert_equals_golden_file(SEGMENT, &written);
    fs::remove_dir_all(folder).unwrap();
}
