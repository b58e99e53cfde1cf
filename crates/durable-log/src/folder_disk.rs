//! A [`Disk`] backed by a folder of the file system.
//!
//! A lock file prevents other processes from opening the folder during the lifetime of the [`FolderDisk`].

use super::disk::Disk;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file that a process locks while it uses the folder.
const LOCK_FILE: &str = "lock";

/// A folder of the file system, used by one process at a time.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    /// Files open for writing, by name.
    open_files: BTreeMap<String, File>,
    /// The lock file. Closing it unlocks the folder.
    _lock: File,
}

impl FolderDisk {
    /// Opens a folder, creating it if necessary, and locks it against other processes.
    ///
    /// # Errors
    /// Any I/O error; [`io::ErrorKind::WouldBlock`] if another process has locked the folder.
    pub fn open(folder: &Path) -> io::Result<FolderDisk> {
        fs::create_dir_all(folder)?;
        Ok(FolderDisk {
            folder: folder.to_path_buf(),
            open_files: BTreeMap::new(),
            _lock: lock_folder(folder)?,
        })
    }

    /// The file of this name, opened for appending if it is not open yet.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new()
                .append(true)
                .open(self.folder.join(name))?;
            self.open_files.insert(name.to_string(), file);
        }
        self.open_files
            .get_mut(name)
            .ok_or(io::ErrorKind::NotFound.into())
    }
}

/// Locks the folder until the returned file is closed.
fn lock_folder(folder: &Path) -> io::Result<File> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(folder.join(LOCK_FILE))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(io::Error::new(
            io::ErrorKind::WouldBlock,
            "another process has locked this folder",
        )),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

impl Disk for FolderDisk {
    fn file_names(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.folder)?.collect::<io::Result<Vec<_>>>()?;
        Ok(entries
            .into_iter()
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        File::create(self.folder.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.folder.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
