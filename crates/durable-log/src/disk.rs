//! The interface between the log and the files that hold its bytes.

use std::io;

/// A folder of files, with the operations that the log needs.
///
/// What was written to a file is durable only after [`Disk::sync`]; a new, changed or removed name only after
/// [`Disk::sync_names`].
pub trait Disk {
    /// The names of all files.
    ///
    /// # Errors
    /// Where the folder can't be read.
    fn names(&self) -> io::Result<Vec<String>>;

    /// The bytes of a file.
    ///
    /// # Errors
    /// Where there is no such file or it can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties the one of this name.
    ///
    /// # Errors
    /// Where the file can't be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends bytes to a file. A write that fails may have written any part of them.
    ///
    /// # Errors
    /// Where there is no such file, or not all bytes could be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to this length in bytes.
    ///
    /// # Errors
    /// Where there is no such file or it can't be truncated.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes durable what has been written to a file.
    ///
    /// # Errors
    /// Where the sync fails. What was written since the last sync may then be lost, even if a later sync succeeds.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file; a file that already has the new name is replaced.
    ///
    /// # Errors
    /// Where there is no such file or it can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Where there is no such file or it can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes new, changed and removed names durable.
    ///
    /// # Errors
    /// Where the sync of the folder fails.
    fn sync_names(&mut self) -> io::Result<()>;
}
