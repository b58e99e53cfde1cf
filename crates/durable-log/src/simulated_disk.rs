//! A [`Disk`] in memory for tests, which loses power, fails syncs, is full or returns corrupt bytes on request.

use super::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// The bytes of one file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct FileState {
    /// What a power loss leaves for certain.
    durable: Vec<u8>,
    /// What a process reads, written bytes without a sync among it.
    current: Vec<u8>,
}

impl FileState {
    /// The file after a power loss that has kept this many 256ths of the unsynced bytes.
    fn after_power_loss(&self, unsynced_256ths: usize) -> FileState {
        let mut bytes = self.durable.clone();
        if let Some(unsynced) = self.current.strip_prefix(&self.durable[..]) {
            let surviving = unsynced.len() * unsynced_256ths / 256;
            bytes.extend_from_slice(&unsynced[..surviving]);
        }
        FileState {
            current: bytes.clone(),
            durable: bytes,
        }
    }
}

/// The files of a disk, and the faults that a test has requested.
#[derive(Clone, Debug, Default)]
struct DiskState {
    /// The names that a process sees, with their indices in `files`.
    names: BTreeMap<String, usize>,
    /// The names that a power loss leaves for certain, with their indices in `files`.
    durable_names: BTreeMap<String, usize>,
    /// All files that ever had a name.
    files: Vec<FileState>,
    /// Operations since the last request for a power loss.
    operation_count: usize,
    /// How many operations succeed before the power is lost.
    operations_before_power_loss: Option<usize>,
    /// The sync of this number, from 0, fails; the ones after it succeed.
    failing_sync: Option<usize>,
    /// Syncs since the last request for a failing one.
    sync_count: usize,
    /// How many more bytes fit.
    free_bytes: Option<usize>,
}

/// A disk in memory. Clones are the same disk, so that a test can go on with it after the log is dropped.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Rc<RefCell<DiskState>>);

impl SimulatedDisk {
    /// Lets this many operations succeed; the ones after them fail. `None` takes the request back.
    pub fn lose_power_after(&self, operations: Option<usize>) {
        let mut state = self.0.borrow_mut();
        state.operations_before_power_loss = operations;
        state.operation_count = 0;
    }

    /// Lets the sync of this number fail, counted from 0 and from now. `None` takes the request back.
    pub fn fail_sync(&self, sync: Option<usize>) {
        let mut state = self.0.borrow_mut();
        state.failing_sync = sync;
        state.sync_count = 0;
    }

    /// Lets this many more bytes fit; `None` for any number.
    pub fn set_free_bytes(&self, bytes: Option<usize>) {
        self.0.borrow_mut().free_bytes = bytes;
    }

    /// Operations since the last [`SimulatedDisk::lose_power_after`].
    pub fn operation_count(&self) -> usize {
        self.0.borrow().operation_count
    }

    /// The disk that a power loss leaves. Of the unsynced bytes of each file the first `unsynced_256ths` of 256 parts
    /// survive; `keeps_unsynced_names` says whether names that no sync covered survive.
    pub fn crash(&self, unsynced_256ths: usize, keeps_unsynced_names: bool) -> SimulatedDisk {
        let state = self.0.borrow();
        let files = state
            .files
            .iter()
            .map(|file| file.after_power_loss(unsynced_256ths))
            .collect();
        let names = if keeps_unsynced_names {
            state.names.clone()
        } else {
            state.durable_names.clone()
        };
        SimulatedDisk(Rc::new(RefCell::new(DiskState {
            durable_names: names.clone(),
            names,
            files,
            ..DiskState::default()
        })))
    }

    /// An independent copy of the disk as it is now.
    pub fn snapshot(&self) -> SimulatedDisk {
        SimulatedDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Changes a file's bytes without the log's knowledge; the change is durable.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.borrow_mut();
        if let Some(index) = state.names.get(name).copied() {
            let file = &mut state.files[index];
            change(&mut file.current);
            file.durable.clone_from(&file.current);
        }
    }

    /// Counts an operation.
    ///
    /// # Errors
    /// Where the power has been lost.
    fn count_operation(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.operation_count += 1;
        let has_lost_power = state
            .operations_before_power_loss
            .is_some_and(|operations| state.operation_count > operations);
        if has_lost_power {
            return Err(io::Error::other("the power is gone"));
        }
        Ok(())
    }

    /// Reads or changes the file of this name.
    fn with_file<T>(&self, name: &str, action: impl FnOnce(&mut FileState) -> T) -> io::Result<T> {
        let mut state = self.0.borrow_mut();
        let index = state
            .names
            .get(name)
            .copied()
            .ok_or(io::ErrorKind::NotFound)?;
        Ok(action(&mut state.files[index]))
    }

    /// Counts a sync.
    ///
    /// # Errors
    /// Where this is the one that a test wants to fail.
    fn count_sync(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let sync = state.sync_count;
        state.sync_count += 1;
        if state.failing_sync == Some(sync) {
            return Err(io::Error::other("the sync failed"));
        }
        Ok(())
    }
}

impl Disk for SimulatedDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.with_file(name, |file| file.current.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        let index = state.files.len();
        state.files.push(FileState::default());
        state.names.insert(name.to_string(), index);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let counted = self.count_operation();
        let free_bytes = self.0.borrow().free_bytes.unwrap_or(usize::MAX);
        let mut fitting = bytes.len().min(free_bytes);
        // A write that fails may have written any part of itself.
        if counted.is_err() {
            fitting /= 2;
        }
        self.with_file(name, |file| {
            file.current.extend_from_slice(&bytes[..fitting]);
        })?;
        if let Some(free_bytes) = &mut self.0.borrow_mut().free_bytes {
            *free_bytes -= fitting;
        }
        counted?;
        if fitting < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.count_operation()?;
        self.with_file(name, |file| file.current.truncate(length as usize))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.count_sync()?;
        self.with_file(name, |file| file.durable.clone_from(&file.current))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        let index = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_string(), index);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let removed = self.0.borrow_mut().names.remove(name);
        removed.map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        state.durable_names = state.names.clone();
        Ok(())
    }
}
