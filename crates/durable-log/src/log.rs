//! The log: one live segment, appended to in groups, and replaced as a whole by a compaction.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    reason = "not yet converted"
)]

use super::disk::Disk;
use super::record::{self, Kind, FORMAT, HEAD, MOST};
use std::fmt;
use std::io;

/// Why a log can't be had or can't go on.
#[derive(Debug)]
pub enum Fault {
    /// The disk failed. After this nothing is acknowledged any more.
    Disk(io::Error),
    /// What had been acknowledged is damaged at this byte of this file.
    Rotten {
        /// The file.
        file: String,
        /// Where the damage begins, in bytes.
        at: u64,
    },
    /// Written by a newer program.
    Newer {
        /// The file.
        file: String,
        /// Its format.
        format: u8,
    },
    /// A record of this many bytes is too long.
    TooLong(usize),
    /// An earlier failure ended this log's work.
    Broken,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Disk(e) => write!(f, "disk: {e}"),
            Fault::Rotten { file, at } => {
                write!(
                    f,
                    "{file}: damaged at byte {at}, and what follows it was kept"
                )
            }
            Fault::Newer { file, format } => {
                write!(
                    f,
                    "{file}: format {format}; this program reads formats up to {FORMAT}"
                )
            }
            Fault::TooLong(bytes) => write!(f, "a record of {bytes} bytes; at most {MOST}"),
            Fault::Broken => {
                write!(
                    f,
                    "an earlier write or sync failed: nothing more is kept until a restart"
                )
            }
        }
    }
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Self {
        Fault::Disk(e)
    }
}

/// A log on a disk.
#[derive(Debug)]
pub struct Log<D: Disk> {
    disk: D,
    segment: u64,
    /// The number of the next record.
    next: u64,
    /// Written at the next sync.
    group: Vec<u8>,
    /// Bytes in the live segment.
    size: u64,
    broken: bool,
}

fn name(segment: u64) -> String {
    format!("{segment:016}.log")
}

fn segment(name: &str) -> Option<u64> {
    name.strip_suffix(".log")
        .filter(|n| n.len() == 16)?
        .parse()
        .ok()
}

/// The records of a segment in their order, and how many bytes are sound.
type Found = (Vec<Vec<u8>>, u64, u64);

impl<D: Disk> Log<D> {
    /// Opens the log and reads what it holds, oldest first. A torn end, which no sync had covered, is cut off.
    ///
    /// # Errors
    /// [`Fault::Rotten`] where acknowledged records are damaged, [`Fault::Newer`], and the disk's own.
    pub fn open(mut disk: D) -> Result<(Log<D>, Vec<Vec<u8>>), Fault> {
        let names = disk.names()?;
        let mut segments: Vec<u64> = names.iter().filter_map(|n| segment(n)).collect();
        segments.sort_unstable();
        let Some(live) = segments.pop() else {
            let mut log = Log {
                disk,
                segment: 0,
                next: 1,
                group: Vec::new(),
                size: 0,
                broken: false,
            };
            log.begin(&[])?;
            return Ok((log, Vec::new()));
        };
        let file = name(live);
        let bytes = disk.read(&file)?;
        let (entries, last, sound) = scan(&file, &bytes)?;
        if sound < bytes.len() as u64 {
            disk.cut(&file, sound)?;
            disk.sync(&file)?;
        }
        // Leftovers of a compaction that a crash cut short.
        let stale = segments
            .into_iter()
            .map(name)
            .chain(names.into_iter().filter(|n| n.ends_with(".new")));
        for old in stale.collect::<Vec<_>>() {
            disk.remove(&old)?;
        }
        let log = Log {
            disk,
            segment: live,
            next: last + 1,
            group: Vec::new(),
            size: sound,
            broken: false,
        };
        Ok((log, entries))
    }

    /// Adds a record to the group that the next [`Log::sync`] makes last; its number.
    ///
    /// # Errors
    /// [`Fault::TooLong`], [`Fault::Broken`].
    pub fn append(&mut self, payload: &[u8]) -> Result<u64, Fault> {
        if self.broken {
            return Err(Fault::Broken);
        }
        if payload.len() > MOST {
            return Err(Fault::TooLong(payload.len()));
        }
        let number = self.next;
        self.next += 1;
        record::write(&mut self.group, number, Kind::Entry, payload);
        Ok(number)
    }

    /// Makes all that was appended last. Only what this has answered for may be acknowledged.
    ///
    /// # Errors
    /// The disk's; from then on [`Fault::Broken`].
    pub fn sync(&mut self) -> Result<(), Fault> {
        if self.broken {
            return Err(Fault::Broken);
        }
        if self.group.is_empty() {
            return Ok(());
        }
        let file = name(self.segment);
        let kept = self
            .disk
            .append(&file, &self.group)
            .and_then(|()| self.disk.sync(&file));
        // After a failed sync the system may call pages clean that never reached the disk.
        self.broken = kept.is_err();
        kept?;
        self.size += self.group.len() as u64;
        self.group.clear();
        Ok(())
    }

    /// Puts these records in place of all there were: they are whole on the disk before the old ones go.
    ///
    /// # Errors
    /// As [`Log::sync`].
    pub fn replace(&mut self, kept: &[Vec<u8>]) -> Result<(), Fault> {
        self.sync()?;
        let begun = self.begin(kept);
        self.broken = begun.is_err();
        begun
    }

    /// Bytes in the live segment.
    pub fn size(&self) -> u64 {
        self.size
    }

    fn begin(&mut self, kept: &[Vec<u8>]) -> Result<(), Fault> {
        let mut bytes = record::head().to_vec();
        for payload in kept {
            if payload.len() > MOST {
                return Err(Fault::TooLong(payload.len()));
            }
            record::write(&mut bytes, self.next, Kind::Kept, payload);
            self.next += 1;
        }
        record::write(&mut bytes, self.next, Kind::Complete, &[]);
        self.next += 1;
        let (old, new) = (self.segment, self.segment + 1);
        let draft = format!("{new:016}.new");
        self.disk.create(&draft)?;
        self.disk.append(&draft, &bytes)?;
        self.disk.sync(&draft)?;
        self.disk.rename(&draft, &name(new))?;
        self.disk.sync_names()?;
        (self.segment, self.size) = (new, bytes.len() as u64);
        if old > 0 {
            self.disk.remove(&name(old))?;
        }
        Ok(())
    }
}

/// Reads a segment. Bytes after the last sound record are a torn end, unless a sound record follows them: then
/// something in the middle is damaged.
fn scan(file: &str, bytes: &[u8]) -> Result<Found, Fault> {
    let rotten = |at: usize| {
        Err(Fault::Rotten {
            file: file.to_string(),
            at: at as u64,
        })
    };
    match record::format(bytes) {
        Some(FORMAT) => {}
        Some(format) if format > FORMAT => {
            return Err(Fault::Newer {
                file: file.to_string(),
                format,
            })
        }
        _ => return rotten(0),
    }
    let (mut entries, mut last, mut at, mut complete) = (Vec::new(), 0, HEAD, false);
    while let Some(found) = record::read(&bytes[at..]).filter(|r| last == 0 || r.number == last + 1)
    {
        match found.kind {
            Kind::Complete => complete = true,
            Kind::Kept | Kind::Entry => entries.push(found.payload.to_vec()),
        }
        (last, at) = (found.number, at + found.size);
    }
    // A segment gets its name only once all that the compaction kept is on the disk.
    if !complete {
        return rotten(at);
    }
    let later = (at + 1..bytes.len())
        .any(|from| record::read(&bytes[from..]).is_some_and(|r| r.number > last));
    match later {
        true => rotten(at),
        false => Ok((entries, last, at as u64)),
    }
}
