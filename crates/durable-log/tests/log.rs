//! The log against a disk that goes wrong: nothing acknowledged is lost, nothing is invented.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_durable_log::{Disk, Fault, Files, Log, SimDisk};
use proptest::prelude::*;

fn record(n: u64) -> Vec<u8> {
    format!("record {n}").into_bytes()
}

fn filled(count: u64) -> SimDisk {
    let disk = SimDisk::default();
    let (mut log, _) = Log::open(disk.clone()).unwrap();
    for n in 0..count {
        log.append(&record(n)).unwrap();
        log.sync().unwrap();
    }
    disk
}

fn live(disk: &SimDisk) -> String {
    disk.names()
        .unwrap()
        .into_iter()
        .find(|n| n.ends_with(".log"))
        .unwrap()
}

#[test]
fn cut_at_every_byte_the_records_before_the_cut_are_there() {
    let disk = filled(5);
    let (file, whole) = (live(&disk), disk.read(&live(&disk)).unwrap());
    let first = whole.len() - 5 * (17 + record(0).len());
    for length in 0..whole.len() {
        let torn = disk.copy();
        torn.spoil(&file, |bytes| bytes.truncate(length));
        match Log::open(torn) {
            Ok((_, found)) => {
                let sound = (length - first) / (17 + record(0).len());
                assert_eq!(
                    found,
                    (0..sound as u64).map(record).collect::<Vec<_>>(),
                    "{length}"
                );
            }
            Err(Fault::Rotten { .. }) => assert!(length < first, "{length}"),
            Err(other) => panic!("{length}: {other}"),
        }
    }
}

#[test]
fn a_byte_flipped_anywhere_is_never_read_as_something_else() {
    let disk = filled(5);
    let (file, whole) = (live(&disk), disk.read(&live(&disk)).unwrap());
    let size = 17 + record(0).len();
    for at in 0..whole.len() {
        let bad = disk.copy();
        bad.spoil(&file, |bytes| bytes[at] ^= 0x10);
        match Log::open(bad) {
            // Only the last record can't be told from one that a crash tore.
            Ok((_, found)) => {
                assert!(at >= whole.len() - size, "{at}");
                assert_eq!(found, (0..4).map(record).collect::<Vec<_>>());
            }
            Err(Fault::Rotten { .. } | Fault::Newer { .. }) => {}
            Err(other) => panic!("{at}: {other}"),
        }
    }
}

#[test]
fn after_a_failed_sync_nothing_is_acknowledged() {
    let disk = filled(2);
    let (mut log, _) = Log::open(disk.clone()).unwrap();
    disk.fail_sync(Some(0));
    log.append(&record(2)).unwrap();
    assert!(matches!(log.sync(), Err(Fault::Disk(_))));
    // The disk is well again, but what the system calls written may not be.
    assert!(matches!(log.append(&record(3)), Err(Fault::Broken)));
    assert!(matches!(log.sync(), Err(Fault::Broken)));
    let (_, found) = Log::open(disk.crash(0, false)).unwrap();
    assert_eq!(found, vec![record(0), record(1)]);
}

#[test]
fn a_full_disk_loses_nothing_that_was_acknowledged() {
    let disk = filled(3);
    let (mut log, _) = Log::open(disk.clone()).unwrap();
    disk.room(Some(9));
    log.append(&record(3)).unwrap();
    assert!(matches!(log.sync(), Err(Fault::Disk(_))));
    let (_, found) = Log::open(disk.crash(256, true)).unwrap();
    assert_eq!(found, (0..3).map(record).collect::<Vec<_>>());
}

#[test]
fn a_newer_format_is_refused_with_its_name() {
    let disk = filled(1);
    let file = live(&disk);
    disk.spoil(&file, |bytes| bytes[7] = 9);
    let error = Log::open(disk).err().unwrap().to_string();
    assert!(
        error.contains(&file) && error.contains("format 9"),
        "{error}"
    );
}

/// The power goes at every single operation of two compactions in a row, with every outcome of unsynced names.
#[test]
fn a_crash_at_any_step_of_a_compaction_leaves_the_old_or_the_new() {
    let kept = vec![b"kept 1".to_vec(), b"kept 2".to_vec()];
    let again = vec![b"kept 3".to_vec()];
    for step in 0..40 {
        for (part, new_names) in [
            (0, false),
            (0, true),
            (100, true),
            (256, true),
            (256, false),
        ] {
            let disk = filled(3);
            let (mut log, before) = Log::open(disk.clone()).unwrap();
            disk.die_at(Some(step));
            let first = log.replace(&kept).is_ok();
            let second = first && log.replace(&again).is_ok();
            let (_, found) = Log::open(disk.crash(part, new_names)).unwrap();
            let good = match (first, second) {
                (false, _) => found == before || found == kept,
                (true, false) => found == kept || found == again,
                (true, true) => found == again,
            };
            assert!(good, "step {step}, {part}, {new_names}: {found:?}");
        }
    }
}

#[test]
fn two_processes_can_not_have_one_folder() {
    let folder = std::env::temp_dir().join(format!("poppykeel-durable-log-{}", std::process::id()));
    let files = Files::open(&folder).unwrap();
    assert_eq!(
        Files::open(&folder).err().unwrap().kind(),
        std::io::ErrorKind::WouldBlock
    );
    let (mut log, _) = Log::open(files).unwrap();
    log.append(b"one").unwrap();
    log.sync().unwrap();
    log.replace(&[b"one".to_vec()]).unwrap();
    log.append(b"two").unwrap();
    log.sync().unwrap();
    drop(log);
    let (_, found) = Log::open(Files::open(&folder).unwrap()).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(found, vec![b"one".to_vec(), b"two".to_vec()]);
}

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<u8>),
    Sync,
    Compact,
    Crash { part: usize, new_names: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => proptest::collection::vec(any::<u8>(), 0..40).prop_map(Step::Append),
        3 => Just(Step::Sync),
        1 => Just(Step::Compact),
        1 => (0usize..=256, any::<bool>()).prop_map(|(part, new_names)| Step::Crash { part, new_names }),
    ]
}

proptest! {
    /// After any crash the log holds all that was acknowledged, and beyond that only what was appended, in order.
    #[test]
    fn acknowledged_records_outlive_crashes(steps in proptest::collection::vec(step(), 1..60)) {
        let mut disk = SimDisk::default();
        let mut log = Some(Log::open(disk.clone()).unwrap().0);
        let (mut all, mut acknowledged) = (Vec::new(), 0);
        for step in steps {
            let open = log.as_mut().unwrap();
            match step {
                Step::Append(payload) => {
                    open.append(&payload).unwrap();
                    all.push(payload);
                }
                Step::Sync => {
                    open.sync().unwrap();
                    acknowledged = all.len();
                }
                Step::Compact => {
                    open.replace(&all).unwrap();
                    acknowledged = all.len();
                }
                Step::Crash { part, new_names } => {
                    drop(log.take());
                    disk = disk.crash(part, new_names);
                    let (again, found) = Log::open(disk.clone()).unwrap();
                    prop_assert!(found.len() >= acknowledged, "{} of {acknowledged}", found.len());
                    prop_assert_eq!(&found[..], &all[..found.len()]);
                    all = found;
                    acknowledged = all.len();
                    log = Some(again);
                }
            }
        }
    }
}
