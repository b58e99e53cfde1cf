//! A folder with faults that a test injects from outside the process, for tests that run the node as a process of its
//! own and so cannot pass it a [`SimulatedDisk`](crate::SimulatedDisk).

use super::disk::Disk;
use super::folder_disk::FolderDisk;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// Content of the request file that makes writes fail as on a full disk.
const DISK_FULL: &str = "full";
/// Content of the request file that makes syncs fail.
const SYNC_FAILURE: &str = "sync";

/// A [`FolderDisk`] with faults that a test requests through a file.
///
/// While the request file contains `full`, each write writes half of its bytes and then fails. While it contains
/// `sync`, syncs fail and the unsynced bytes are lost, as can happen on a real disk. Without a request file, or with
/// any other content, this behaves like the [`FolderDisk`] alone.
#[derive(Debug)]
pub struct FaultInjectingDisk {
    folder: FolderDisk,
    request_file: Option<PathBuf>,
    /// Number of durable bytes of each file, by file name.
    synced_bytes: BTreeMap<String, u64>,
}

impl FaultInjectingDisk {
    /// Wraps `folder`. No faults are injected if `request_file` is `None` or while the file does not exist.
    pub fn new(folder: FolderDisk, request_file: Option<PathBuf>) -> FaultInjectingDisk {
        FaultInjectingDisk {
            folder,
            request_file,
            synced_bytes: BTreeMap::new(),
        }
    }

    /// Whether the request file contains this fault now.
    fn is_requested(&self, fault: &str) -> bool {
        let request = self
            .request_file
            .as_ref()
            .and_then(|path| std::fs::read_to_string(path).ok());
        request.is_some_and(|text| text.trim() == fault)
    }

    /// Records that all current bytes of the file are durable.
    fn mark_synced(&mut self, name: &str) -> io::Result<()> {
        let length = self.folder.read(name)?.len() as u64;
        self.synced_bytes.insert(name.to_string(), length);
        Ok(())
    }
}

impl Disk for FaultInjectingDisk {
    fn file_names(&self) -> io::Result<Vec<String>> {
        self.folder.file_names()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.synced_bytes.insert(name.to_string(), 0);
        self.folder.create(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.request_file.is_some() && !self.synced_bytes.contains_key(name) {
            self.mark_synced(name)?;
        }
        if self.is_requested(DISK_FULL) {
            self.folder.append(name, &bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.folder.append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.folder.truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.is_requested(SYNC_FAILURE) {
            if let Some(length) = self.synced_bytes.get(name).copied() {
                self.folder.truncate(name, length)?;
            }
            return Err(io::Error::other("the sync failed (injected by a test)"));
        }
        self.folder.sync(name)?;
        if self.request_file.is_some() {
            self.mark_synced(name)?;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if let Some(length) = self.synced_bytes.remove(from) {
            self.synced_bytes.insert(to.to_string(), length);
        }
        self.folder.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.synced_bytes.remove(name);
        self.folder.remove(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.folder.sync_names()
    }
}
