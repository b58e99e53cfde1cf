//! A real folder that goes wrong on order: for tests of whole processes, whose disks can't be replaced from outside.

use super::disk::{Disk, Files};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// [`Files`], and whatever a test orders: while the file of orders says `full`, half of each write fits and then no
/// more; while it says `sync`, syncs fail and what they should have kept is gone, as after a real one. Without a file
/// of orders, or while it says anything else, this is [`Files`] alone.
#[derive(Debug)]
pub struct Troubled {
    files: Files,
    orders: Option<PathBuf>,
    /// Bytes of each file that a sync has covered.
    kept: BTreeMap<String, u64>,
}

impl Troubled {
    /// A folder under these orders.
    pub fn new(files: Files, orders: Option<PathBuf>) -> Troubled {
        Troubled {
            files,
            orders,
            kept: BTreeMap::new(),
        }
    }

    fn ordered(&self, what: &str) -> bool {
        let orders = self
            .orders
            .as_ref()
            .and_then(|path| std::fs::read_to_string(path).ok());
        orders.is_some_and(|text| text.trim() == what)
    }
}

impl Disk for Troubled {
    fn names(&self) -> io::Result<Vec<String>> {
        self.files.names()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.read(name)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.kept.insert(name.to_string(), 0);
        self.files.create(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.orders.is_some() && !self.kept.contains_key(name) {
            self.kept
                .insert(name.to_string(), self.files.read(name)?.len() as u64);
        }
        if self.ordered("full") {
            self.files.append(name, &bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.append(name, bytes)
    }
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.files.cut(name, length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.ordered("sync") {
            if let Some(kept) = self.kept.get(name).copied() {
                self.files.cut(name, kept)?;
            }
            return Err(io::Error::other("the sync failed, as ordered"));
        }
        self.files.sync(name)?;
        if self.orders.is_some() {
            self.kept
                .insert(name.to_string(), self.files.read(name)?.len() as u64);
        }
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if let Some(kept) = self.kept.remove(from) {
            self.kept.insert(to.to_string(), kept);
        }
        self.files.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.kept.remove(name);
        self.files.remove(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.files.sync_names()
    }
}
