//! A [`Disk`] in memory for tests, which can lose power, fail syncs, be full or hold corrupt bytes.

use super::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// The bytes of one file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct FileState {
    /// The bytes that are certain to survive a power loss.
    durable: Vec<u8>,
    /// The bytes that a process reads, including unsynced ones.
    current: Vec<u8>,
}

impl FileState {
    /// The file after a power loss in which this fraction of the unsynced bytes survived, in 256ths.
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
    /// The names that a process sees, mapped to indices in `files`.
    names: BTreeMap<String, usize>,
    /// The names that are certain to survive a power loss, mapped to indices in `files`.
    durable_names: BTreeMap<String, usize>,
    /// All files ever created, including removed ones.
    files: Vec<FileState>,
    /// Operations since the last call of [`SimulatedDisk::lose_power_after`].
    operation_count: usize,
    /// Number of operations that succeed before the power loss; `None` for no power loss.
    operations_before_power_loss: Option<usize>,
    /// Zero-based number of the sync that fails; the later ones succeed.
    failing_sync: Option<usize>,
    /// Syncs since the last call of [`SimulatedDisk::fail_sync`].
    sync_count: usize,
    /// Free space in bytes; `None` for unlimited.
    free_bytes: Option<usize>,
}

/// A disk in memory. Clones share the same disk, so a test can continue to use it after the log is dropped.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Rc<RefCell<DiskState>>);

impl SimulatedDisk {
    /// Simulates a power loss after this many operations: all later ones fail. `None` cancels the power loss.
    pub fn lose_power_after(&self, operations: Option<usize>) {
        let mut state = self.0.borrow_mut();
        state.operations_before_power_loss = operations;
        state.operation_count = 0;
    }

    /// Makes the sync with this number fail, counting from 0 at the next sync. `None` cancels the failure.
    pub fn fail_sync(&self, sync: Option<usize>) {
        let mut state = self.0.borrow_mut();
        state.failing_sync = sync;
        state.sync_count = 0;
    }

    /// Limits the free space to this many bytes; `None` for unlimited.
    pub fn set_free_bytes(&self, bytes: Option<usize>) {
        self.0.borrow_mut().free_bytes = bytes;
    }

    /// Number of operations since the last call of [`SimulatedDisk::lose_power_after`].
    pub fn operation_count(&self) -> usize {
        self.0.borrow().operation_count
    }

    /// The disk after a power loss. The first `unsynced_256ths` / 256 of the unsynced bytes of each file survive.
    /// `keeps_unsynced_names` selects whether unsynced changes of file names survive.
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

    /// An independent copy of the disk in its current state.
    pub fn snapshot(&self) -> SimulatedDisk {
        SimulatedDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Changes the bytes of a file without the log noticing. The change is durable.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.borrow_mut();
        if let Some(index) = state.names.get(name).copied() {
            let file = &mut state.files[index];
            change(&mut file.current);
            file.durable.clone_from(&file.current);
        }
    }

    /// Counts an operation towards the power loss.
    ///
    /// # Errors
    /// If the power has been lost.
    fn count_operation(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.operation_count += 1;
        let has_lost_power = state
            .operations_before_power_loss
            .is_some_and(|operations| state.operation_count > operations);
        if has_lost_power {
            return Err(io::Error::other("simulated power loss"));
        }
        Ok(())
    }

    /// Runs `action` on the file of this name.
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
    /// If a test has requested the failure of this sync.
    fn count_sync(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let sync = state.sync_count;
        state.sync_count += 1;
        if state.failing_sync == Some(sync) {
            return Err(io::Error::other("simulated sync failure"));
        }
        Ok(())
    }
}

impl Disk for SimulatedDisk {
    fn file_names(&self) -> io::Result<Vec<String>> {
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
        // A failed write may have written some of the bytes.
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
