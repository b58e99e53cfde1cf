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
