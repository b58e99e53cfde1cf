//! A disk in memory that goes wrong on purpose.

#![expect(clippy::match_bool, reason = "not yet converted")]

use super::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// One file: what is on the plate, and what is only in the system's memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct File {
    kept: Vec<u8>,
    now: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
struct Plate {
    /// Names as a process sees them.
    names: BTreeMap<String, usize>,
    /// Names as a crash leaves them.
    kept_names: BTreeMap<String, usize>,
    files: Vec<File>,
    /// Operations so far.
    done: usize,
    /// The operation of this number, and all after it, fail.
    dead_from: Option<usize>,
    /// The sync of this number fails, but the process goes on.
    bad_sync: Option<usize>,
    syncs: usize,
    room: Option<usize>,
}

/// The disk. Clones are the same disk, so that a test can go on with it after the log is gone.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Rc<RefCell<Plate>>);

impl SimDisk {
    /// The power goes at this operation: it and all after it fail.
    pub fn die_at(&self, operation: Option<usize>) {
        let mut plate = self.0.borrow_mut();
        plate.dead_from = operation;
        plate.done = 0;
    }
    /// This sync fails, counted from 0.
    pub fn fail_sync(&self, sync: Option<usize>) {
        let mut plate = self.0.borrow_mut();
        (plate.bad_sync, plate.syncs) = (sync, 0);
    }
    /// So many more bytes fit.
    pub fn room(&self, bytes: Option<usize>) {
        self.0.borrow_mut().room = bytes;
    }
    /// Operations since `die_at`.
    pub fn operations(&self) -> usize {
        self.0.borrow().done
    }
    /// What a power loss leaves. Of the unsynced bytes of each file the first `part` of 256 parts stay; `new_names`
    /// says whether names that no sync covered are there.
    pub fn crash(&self, part: usize, new_names: bool) -> SimDisk {
        let plate = self.0.borrow();
        let files = plate.files.iter().map(|f| {
            let kept = match f.now.starts_with(&f.kept) {
                true => f.now[..f.kept.len() + (f.now.len() - f.kept.len()) * part / 256].to_vec(),
                false => f.kept.clone(),
            };
            File {
                now: kept.clone(),
                kept,
            }
        });
        let names = if new_names {
            plate.names.clone()
        } else {
            plate.kept_names.clone()
        };
        let files = files.collect();
        SimDisk(Rc::new(RefCell::new(Plate {
            kept_names: names.clone(),
            names,
            files,
            ..Plate::default()
        })))
    }
    /// A copy as it is now, to be put back later.
    pub fn copy(&self) -> SimDisk {
        SimDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }
    /// Changes a file's bytes behind everybody's back.
    pub fn spoil(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut plate = self.0.borrow_mut();
        if let Some(file) = plate.names.get(name).copied() {
            let file = &mut plate.files[file];
            change(&mut file.now);
            file.kept.clone_from(&file.now);
        }
    }

    fn step(&self) -> io::Result<()> {
        let mut plate = self.0.borrow_mut();
        plate.done += 1;
        match plate.dead_from.is_some_and(|from| plate.done > from) {
            true => Err(io::Error::other("the power is gone")),
            false => Ok(()),
        }
    }
    fn at<T>(&self, name: &str, act: impl FnOnce(&mut File) -> T) -> io::Result<T> {
        let mut plate = self.0.borrow_mut();
        let file = plate
            .names
            .get(name)
            .copied()
            .ok_or(io::ErrorKind::NotFound)?;
        Ok(act(&mut plate.files[file]))
    }
}

impl Disk for SimDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.at(name, |f| f.now.clone())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut plate = self.0.borrow_mut();
        plate.files.push(File::default());
        let file = plate.files.len() - 1;
        plate.names.insert(name.to_string(), file);
        Ok(())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let dead = self.step();
        let room = self.0.borrow().room.unwrap_or(usize::MAX);
        let fits = bytes.len().min(room);
        // A write that fails may have written any part of itself.
        let fits = if dead.is_err() { fits / 2 } else { fits };
        self.at(name, |f| f.now.extend_from_slice(&bytes[..fits]))?;
        if let Some(room) = &mut self.0.borrow_mut().room {
            *room -= fits;
        }
        dead?;
        match fits < bytes.len() {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.at(name, |f| f.now.truncate(length as usize))
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        {
            let mut plate = self.0.borrow_mut();
            plate.syncs += 1;
            if plate.bad_sync == Some(plate.syncs - 1) {
                return Err(io::Error::other("the sync failed"));
            }
        }
        self.at(name, |f| f.kept.clone_from(&f.now))
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let mut plate = self.0.borrow_mut();
        let file = plate.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        plate.names.insert(to.to_string(), file);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut plate = self.0.borrow_mut();
        plate
            .names
            .remove(name)
            .map(drop)
            .ok_or(io::ErrorKind::NotFound.into())
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.step()?;
        let mut plate = self.0.borrow_mut();
        plate.kept_names = plate.names.clone();
        Ok(())
    }
}
