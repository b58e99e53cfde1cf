//! The trace of a run: one compressed line of JSON for each submission of a request, with its attempts.
//!
//! The simulation writes a line when a submission ends for its client. Field names are keys of the file.

use super::outcome::RequestEnd;
use crate::Micros;
use serde::Serialize;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

/// Compression level: the default of zstd.
const COMPRESSION_LEVEL: i32 = 3;

/// A trace could not be written.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file could not be created.
    #[error("cannot create trace {}: {source}", path.display())]
    Create {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A line or the end of the file could not be written.
    #[error("cannot write trace: {0}")]
    Write(#[source] std::io::Error),
}

/// One attempt of a submission.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct AttemptTrace {
    /// The index of the server.
    pub server: u32,
    /// When the node sent it, in microseconds since the beginning of the run.
    pub sent: Micros,
    /// The outcome reported to the node; `None` if the submission ended for its client before the node received one.
    pub ended: Option<&'static str>,
}

/// One submission of a request to a node. Times are in microseconds since the beginning of the run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct RequestTrace<'a> {
    /// The request id in the node.
    pub id: u64,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// The id of its session.
    pub session: u64,
    /// The number of this submission among those of the request, from 1.
    pub tries: u32,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The index of the node.
    pub node: u32,
    /// When the client sent it.
    pub sent: Micros,
    /// When the first token reached the client; `None` if the submission ended without one.
    pub first: Option<Micros>,
    /// When the submission ended for the client.
    pub over: Micros,
    /// How the request ended; `None` if the client retries.
    pub end: Option<RequestEnd>,
    /// Its attempts, in the order in which they were sent.
    pub hops: &'a [AttemptTrace],
}

/// Writes the traces of a run to a file.
pub struct TraceWriter {
    encoder: zstd::Encoder<'static, BufWriter<File>>,
    /// The first failure; nothing is written after it.
    error: Option<std::io::Error>,
}

impl TraceWriter {
    /// Creates the trace file.
    ///
    /// # Errors
    ///
    /// [`TraceError::Create`] if the file cannot be created.
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

    /// Writes a trace. A failure is reported by [`TraceWriter::finish`], because the run itself is complete without its
    /// trace.
    pub fn add(&mut self, trace: &RequestTrace) {
        if self.error.is_none() {
            self.error = self.write_line(trace).err();
        }
    }

    /// Completes the file.
    ///
    /// # Errors
    ///
    /// [`TraceError::Write`] with the first failure to write a trace or to complete the file.
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
