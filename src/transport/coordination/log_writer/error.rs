//! Why a lease server's log can't be opened or written.

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

/// What failed in the folder.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenLogFailure {
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The log's own failure.
    #[error("{0}")]
    Log(#[from] LogError),
    /// A record that is whole and sound is none of a lease server.
    #[error("{0}")]
    Decode(#[from] postcard::Error),
}

/// Names the folder in which something failed.
pub(super) trait WithFolder<T> {
    /// The result with the folder's name in its error.
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

/// Why a lease server's log can't be written any more.
#[derive(Debug, thiserror::Error)]
pub enum LogWriteError {
    /// A record could not be encoded.
    #[error("{0}")]
    Encode(#[from] postcard::Error),
    /// The log's own failure.
    #[error("{0}")]
    Log(#[from] LogError),
    /// The queue is full, or the thread that writes has ended.
    #[error("more writes wait than there is room for")]
    QueueFull,
}
