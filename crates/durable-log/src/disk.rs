//! The file operations that the log uses, as a trait.

use std::io;

/// A folder of files.
///
/// Written bytes are durable only after [`Disk::sync`]; created, renamed and removed file names only after
/// [`Disk::sync_names`].
pub trait Disk {
    /// The names of all files.
    ///
    /// # Errors
    /// If the folder cannot be read.
    fn file_names(&self) -> io::Result<Vec<String>>;

    /// The bytes of a file.
    ///
    /// # Errors
    /// If the file does not exist or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file. An existing file of this name is truncated.
    ///
    /// # Errors
    /// If the file cannot be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends bytes to a file. A failed write may have written some of the bytes.
    ///
    /// # Errors
    /// If the file does not exist or not all bytes could be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to this length in bytes.
    ///
    /// # Errors
    /// If the file does not exist or cannot be truncated.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes all bytes written to a file durable.
    ///
    /// # Errors
    /// If the sync fails. Bytes written since the last successful sync may then be lost, even if a later sync succeeds.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file that already has the new name.
    ///
    /// # Errors
    /// If the file does not exist or cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// If the file does not exist or cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed file names durable.
    ///
    /// # Errors
    /// If the sync of the folder fails.
    fn sync_names(&mut self) -> io::Result<()>;
}
