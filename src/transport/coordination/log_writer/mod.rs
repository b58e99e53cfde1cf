//! A keeper's disk: a thread of its own, so that no sync holds up the loop that routes.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_coordination::lease::Record;
use poppykeel_durable_log::{Fault, Files, Log, Troubled};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use tokio::sync::mpsc;

/// Writes that wait for the disk. Beyond this the keeper counts as broken.
pub const WAITING: usize = 4096;
/// The log is compacted when it is this long.
const COMPACT: u64 = 1 << 20;

/// For tests alone: the file with orders to this process's disk.
const ORDERS: &str = "POPPYKEEL_TEST_DISK";

/// What the thread tells: all writes up to this number are durable, or why none will be any more.
pub type Told = Result<u64, String>;

/// The way to the disk.
pub struct Disk {
    to: SyncSender<(u64, Vec<Record>)>,
}

/// The newest record of each task, and whether the memory counts.
#[derive(Default)]
struct Newest {
    entries: BTreeMap<String, Record>,
    whole: Option<Record>,
    starts: BTreeMap<usize, Record>,
}

impl Newest {
    fn take(&mut self, record: &Record) {
        match record {
            Record::Entry(entry) => drop(self.entries.insert(entry.task.clone(), record.clone())),
            Record::Whole(_) => self.whole = Some(record.clone()),
            Record::Start(keeper, _) => drop(self.starts.insert(*keeper, record.clone())),
        }
    }
    fn all(&self) -> impl Iterator<Item = Record> + '_ {
        self.entries
            .values()
            .chain(self.starts.values())
            .cloned()
            .chain(self.whole.clone())
    }
}

impl Disk {
    /// Opens a keeper's folder: the way to it, and what it holds; what comes of writes goes to `tell`. A damaged log is put aside,
    /// and the keeper begins with no memory: it then asks the others.
    ///
    /// # Errors
    /// Names the folder.
    pub fn open(folder: &Path, tell: mpsc::Sender<Told>) -> Result<(Disk, Vec<Record>), String> {
        let named = |e: &dyn std::fmt::Display| format!("fleet.folder: {}: {e}", folder.display());
        let orders = std::env::var_os(ORDERS).map(std::path::PathBuf::from);
        let files = || {
            let files = Files::open(folder).map_err(|e| named(&e))?;
            Ok::<_, String>(Troubled::new(files, orders.clone()))
        };
        let (log, kept) = match Log::open(files()?) {
            Ok(open) => open,
            Err(Fault::Rotten { file, at }) => {
                tracing::error!(%file, at, "the keeper's log is damaged: put aside, the other keepers are asked");
                let from = folder.join(&file);
                std::fs::rename(&from, from.with_extension("rotten")).map_err(|e| named(&e))?;
                Log::open(files()?).map_err(|e| named(&e))?
            }
            Err(e) => return Err(named(&e)),
        };
        let mut newest = Newest::default();
        for bytes in &kept {
            let record: Record = postcard::from_bytes(bytes).map_err(|e| named(&e))?;
            newest.take(&record);
        }
        let records = newest.all().collect();
        let (to, from) = sync_channel(WAITING);
        let run = move || {
            if let Err(why) = write(log, newest, &from, &tell) {
                let _ = tell.blocking_send(Err(why));
            }
        };
        std::thread::Builder::new()
            .name("keeper-disk".into())
            .spawn(run)
            .map_err(|e| named(&e))?;
        Ok((Disk { to }, records))
    }

    /// Writes this; false where the disk can take no more.
    pub fn write(&self, number: u64, records: Vec<Record>) -> bool {
        self.to.try_send((number, records)).is_ok()
    }
}

fn write(
    mut log: Log<Troubled>,
    mut newest: Newest,
    from: &Receiver<(u64, Vec<Record>)>,
    tell: &mpsc::Sender<Told>,
) -> Result<(), String> {
    let bytes = |record: &Record| postcard::to_stdvec(record).map_err(|e| e.to_string());
    while let Ok(first) = from.recv() {
        let mut last = 0;
        // All that waits goes with one sync.
        for (number, records) in std::iter::once(first).chain(from.try_iter().take(WAITING)) {
            for record in &records {
                log.append(&bytes(record)?).map_err(|e| e.to_string())?;
                newest.take(record);
            }
            last = number;
        }
        log.sync().map_err(|e| e.to_string())?;
        if tell.blocking_send(Ok(last)).is_err() {
            return Ok(());
        }
        if log.size() > COMPACT {
            let kept = newest
                .all()
                .map(|r| bytes(&r))
                .collect::<Result<Vec<_>, _>>()?;
            log.replace(&kept).map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
