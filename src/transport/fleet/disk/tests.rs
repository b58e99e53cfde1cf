#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::*;
use poppykeel_coordination::lease::{Entry, Holder};

fn entry(epoch: u64) -> Record {
    let holder = Some(Holder {
        node: "n1".into(),
        incarnation: 7,
    });
    Record::Entry(Entry {
        task: "t".into(),
        epoch,
        holder,
        length: 5,
    })
}

fn files(folder: &Path, ending: &str) -> Vec<std::path::PathBuf> {
    let all = std::fs::read_dir(folder)
        .unwrap()
        .map(|e| e.unwrap().path());
    all.filter(|p| p.extension().is_some_and(|e| e == ending))
        .collect()
}

/// What was told durable is there again; two processes never share the folder; a log with a damaged middle is put
/// aside, and the keeper begins with no memory.
#[test]
fn what_was_told_durable_is_found_again_and_a_damaged_log_is_put_aside() {
    let folder = std::env::temp_dir().join(format!("keeper-disk-{}", std::process::id()));
    let open = || {
        let (tell, told) = mpsc::channel(WAITING);
        Disk::open(&folder, tell).map(|(disk, kept)| (disk, kept, told))
    };
    let (disk, kept, mut told) = open().unwrap();
    assert!(kept.is_empty());
    assert!((1..=9).all(|n| disk.write(n, vec![entry(n)])));
    while told.blocking_recv().unwrap().unwrap() < 9 {}
    let error = open().err().unwrap();
    assert!(
        error.contains("fleet.folder") && error.contains("another process"),
        "{error}"
    );
    drop(disk);
    // Its thread ends, and with it the lock, once nobody can write any more.
    assert!(told.blocking_recv().is_none());
    let (disk, kept, mut told) = open().unwrap();
    assert_eq!(kept, [entry(9)]);
    drop(disk);
    assert!(told.blocking_recv().is_none());
    let log = files(&folder, "log").remove(0);
    let mut bytes = std::fs::read(&log).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&log, bytes).unwrap();
    let (_, kept, _) = open().unwrap();
    assert!(kept.is_empty());
    assert_eq!(files(&folder, "rotten").len(), 1);
    std::fs::remove_dir_all(folder).unwrap();
}

/// The committed log of a lease server's folder, relative to the package.
const GOLDEN_LOG: &str = "tests/golden/lease-server/0000000000000001.log";

/// The committed log's path.
fn golden_log() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(GOLDEN_LOG)
}

/// An empty folder for one golden test of this process.
fn golden_folder(name: &str) -> std::path::PathBuf {
    let folder =
        std::env::temp_dir().join(format!("golden-lease-server-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A grant, or, without a holder, an epoch that another lease server told of.
fn golden_entry(task: &str, epoch: u64, holder: Option<Holder>, length: u64) -> Record {
    Record::Entry(Entry {
        task: task.into(),
        epoch,
        holder,
        length,
    })
}

/// A holder of a lease.
fn golden_holder(node: &str, incarnation: u64) -> Option<Holder> {
    Some(Holder {
        node: node.into(),
        incarnation,
    })
}

/// The records of the committed log in the order written; later ones of a task or of a start replace earlier ones.
fn golden_records() -> Vec<Record> {
    let first_holder = golden_holder("node-a", 0x0123_4567_89ab_cdef);
    let second_holder = golden_holder("node-b", 0xfedc_ba98_7654_3210);
    vec![
        Record::Start(1, 11),
        Record::Whole(vec![(0, 12)]),
        golden_entry("budgets", 21, first_holder.clone(), 2_200_000),
        golden_entry("trials", 23, None, 24),
        golden_entry("roll", 2_500, second_holder.clone(), 5_000_000),
        Record::Start(0, 26),
        golden_entry("budgets", 270_000, second_holder, 2_800_000),
        Record::Start(1, 1_100),
        Record::Whole(vec![(0, 29), (2, 3_000)]),
        golden_entry("trials", 31, first_holder, 32),
        golden_entry("ejections", 33, None, 34),
        Record::Start(2, 35),
    ]
}

/// What a lease server finds of these records: the newest of each task by name, of each start by place, and whether its
/// memory counts.
fn golden_newest_records() -> Vec<Record> {
    let records = golden_records();
    [6, 10, 4, 9, 5, 7, 11, 8]
        .map(|index: usize| records[index].clone())
        .into()
}

/// Opens a lease server's folder.
fn open_golden_folder(folder: &Path) -> (Disk, Vec<Record>, mpsc::Receiver<Told>) {
    let (tell, told) = mpsc::channel(WAITING);
    let (disk, found) = Disk::open(folder, tell).unwrap();
    (disk, found, told)
}

/// Ends the writing thread, and with it the lock on the folder.
fn close_golden_folder(disk: Disk, mut told: mpsc::Receiver<Told>) {
    drop(disk);
    while told.blocking_recv().is_some() {}
}

#[test]
fn lease_server_folder_of_landed_version_stays_readable() {
    let folder = golden_folder("read");
    let copy = folder.join(golden_log().file_name().unwrap());
    std::fs::copy(golden_log(), &copy).unwrap();
    let (disk, found, told) = open_golden_folder(&folder);
    assert_eq!(found, golden_newest_records());
    close_golden_folder(disk, told);
    let after_opening = std::fs::read(copy).unwrap();
    assert_eq!(after_opening, std::fs::read(golden_log()).unwrap());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn same_lease_records_are_written_as_the_same_log() {
    let folder = golden_folder("write");
    let (disk, found, told) = open_golden_folder(&folder);
    assert!(found.is_empty());
    for (index, record) in golden_records().into_iter().enumerate() {
        assert!(disk.write(index as u64, vec![record]));
    }
    close_golden_folder(disk, told);
    let log = folder.join(golden_log().file_name().unwrap());
    let written = std::fs::read(log).unwrap();
    let committed = std::fs::read(golden_log()).unwrap();
    assert!(written == committed, "the bytes of the log differ");
    std::fs::remove_dir_all(folder).unwrap();
}
