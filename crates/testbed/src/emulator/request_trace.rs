//! The trace of a run: the path of every try of every request, as one JSON object a line, compressed.
//!
//! The simulation writes one line when a try ends for its client. The names of fields are keys of the file.

use super::outcome::RequestEnd;
use crate::Micros;
use serde::Serialize;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

/// The level of the compression: zstd's default.
const COMPRESSION_LEVEL: i32 = 3;

/// A trace could not be written.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be made.
    #[error("trace {}: {source}", path.display())]
    Create {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A line, or the end of the file, could not be written.
    #[error("trace: {0}")]
    Write(#[source] std::io::Error),
}

/// One attempt on the path of a try.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct AttemptTrace {
    /// The index of the server.
    pub server: u32,
    /// When the node sent it.
    pub sent: Micros,
    /// How it ended, as the node heard it; `None` where that was after the try had ended for its client.
    pub ended: Option<&'static str>,
}

/// One try of a request. Times are microseconds since the beginning of the run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct RequestTrace<'a> {
    /// The id under which the node knows the try.
    pub id: u64,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// The id of its session.
    pub session: u64,
    /// Which try of its client this is, from 1.
    pub tries: u32,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The index of the node.
    pub node: u32,
    /// When the client sent it.
    pub sent: Micros,
    /// When the first token reached the client.
    pub first: Option<Micros>,
    /// When it ended for the client.
    pub over: Micros,
    /// How it ended; `None` where the client tries again.
    pub end: Option<RequestEnd>,
    /// Its attempts, in the order they were sent.
    pub hops: &'a [AttemptTrace],
}

/// Writes the traces of a run to a file.
pub struct TraceWriter {
    encoder: zstd::Encoder<'static, BufWriter<File>>,
    /// The first failure; nothing is written after it.
    error: Option<std::io::Error>,
}

impl TraceWriter {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// [`TraceError::Create`] where the file cannot be made.
    pub fn create(path: &Path) -> Result<TraceWriter, TraceError> {
        let create_error = |source| TraceError::Create {
            path: path.to_path_buf(),
            source,
        };
        let file = File::create(path).map_err(create_error)?;
        let encoder =
            zstd::Encoder::new(BufWriter::new(file), COMPRESSION_LEVEL).map_err(create_error)?;
        Ok(TraceWriter {
            encoder,
            error: None,
        })
    }

    /// Adds a trace. A failure is reported by [`TraceWriter::finish`]: the run itself is whole without its trace.
    pub fn add(&mut self, trace: &RequestTrace) {
        if self.error.is_none() {
            self.error = self.write_line(trace).err();
        }
    }

    /// Ends the file.
    ///
    /// # Errors
    ///
    /// [`TraceError::Write`] with the first failure to write a trace, or with that to end the file.
    pub fn finish(self) -> Result<(), TraceError> {
        if let Some(error) = self.error {
            return Err(TraceError::Write(error));
        }
        let mut file = self.encoder.finish().map_err(TraceError::Write)?;
        file.flush().map_err(TraceError::Write)
    }

    fn write_line(&mut self, trace: &RequestTrace) -> std::io::Result<()> {
        serde_json::to_writer(&mut self.encoder, trace)?;
        self.encoder.write_all(b"\n")
    }
}
