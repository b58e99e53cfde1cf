//! The seam between the log and what keeps its bytes.

#![expect(clippy::missing_errors_doc, reason = "not yet converted")]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder of files, as much of it as the log needs. Nothing counts as kept before its `sync`; a new or changed
/// name not before `sync_names`.
pub trait Disk {
    /// The names of all files.
    fn names(&self) -> io::Result<Vec<String>>;
    /// A file's bytes.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes a file empty, and it if need be.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Adds bytes to a file's end.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes what has been written to a file last.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, in place of what had that name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Takes a file away.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes new, changed and removed names last.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder on a real disk, held by one process.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
    open: BTreeMap<String, File>,
    /// Held as long as this lives.
    _lock: File,
}

impl Files {
    /// Opens a folder, makes it if need be, and keeps other processes out of it.
    ///
    /// # Errors
    /// As the system names them; `WouldBlock` where another process has it.
    pub fn open(folder: &Path) -> io::Result<Files> {
        fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => {
                return Err(io::Error::new(
                    io::ErrorKind::WouldBlock,
                    "another process holds this folder",
                ));
            }
            Err(fs::TryLockError::Error(e)) => return Err(e),
        }
        Ok(Files {
            folder: folder.to_path_buf(),
            open: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new()
                .append(true)
                .open(self.folder.join(name))?;
            self.open.insert(name.to_string(), file);
        }
        self.open
            .get_mut(name)
            .ok_or(io::ErrorKind::NotFound.into())
    }
}

impl Disk for Files {
    fn names(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.folder)?.collect::<io::Result<Vec<_>>>()?;
        Ok(entries
            .into_iter()
            .map(|e| e.file_name().to_string_lossy().into_owned())
            .collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        File::create(self.folder.join(name)).map(drop)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.folder.join(name))
    }
    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
