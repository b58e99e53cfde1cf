//! Errors of opening and writing a lease server's log.

use super::QUEUE_CAPACITY;
use poppykeel_durable_log::LogError;
use std::io;
use std::path::{Path, PathBuf};

/// Why a lease server's log can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("fleet.folder: {}: {failure}", folder.display())]
pub struct OpenLogError {
    folder: PathBuf,
    failure: OpenLogFailure,
}

/// The cause of an [`OpenLogError`].
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenLogFailure {
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The log failed.
    #[error("{0}")]
    Log(#[from] LogError),
    /// An intact record is not a record of a lease server.
    #[error("{0}")]
    Decode(#[from] postcard::Error),
}

/// Adds the folder to an error.
pub(super) trait WithFolder<T> {
    /// Converts the error to an [`OpenLogError`] of this folder.
    fn in_folder(self, folder: &Path) -> Result<T, OpenLogError>;
}

impl<T, E: Into<OpenLogFailure>> WithFolder<T> for Result<T, E> {
    fn in_folder(self, folder: &Path) -> Result<T, OpenLogError> {
        self.map_err(|e| OpenLogError {
            folder: folder.to_path_buf(),
            failure: e.into(),
        })
    }
}

/// Why a lease server's log can no longer be written.
#[derive(Debug, thiserror::Error)]
pub enum LogWriteError {
    /// A record could not be encoded.
    #[error("{0}")]
    Encode(#[from] postcard::Error),
    /// The log failed.
    #[error("{0}")]
    Log(#[from] LogError),
    /// [`QUEUE_CAPACITY`] writes are queued.
    #[error("log queue full ({QUEUE_CAPACITY} writes)")]
    QueueFull,
    /// The thread that writes the log has ended.
    #[error("log thread ended")]
    ThreadEnded,
    /// The settings have no folder for the log.
    #[error("fleet.folder is not set")]
    NoFolder,
}
