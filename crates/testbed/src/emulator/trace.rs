//! Every request's path, as one JSON object a line, compressed.

#![expect(clippy::missing_errors_doc, reason = "not yet converted")]

use super::measure::RequestEnd;
use crate::Micros;
use serde::Serialize;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

/// One attempt on a request's path.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct AttemptTrace {
    /// The server.
    pub server: u32,
    /// When it was sent.
    pub sent: Micros,
    /// How it ended, as the node heard it; none where that was after the client's end.
    pub ended: Option<&'static str>,
}

/// One try of a request.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct RequestTrace<'a> {
    /// The id on the wire.
    pub id: u64,
    /// Its class and tenant.
    pub class: usize,
    /// The tenant.
    pub tenant: usize,
    /// The session.
    pub session: u64,
    /// Which try of its client this is, from 1.
    pub tries: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// The node.
    pub node: u32,
    /// When the client sent it.
    pub sent: Micros,
    /// When the first token reached the client.
    pub first: Option<Micros>,
    /// When it was over for the client.
    pub over: Micros,
    /// How; none where the client comes again.
    pub end: Option<RequestEnd>,
    /// Its attempts.
    pub hops: &'a [AttemptTrace],
}

/// A file of paths.
pub struct TraceWriter {
    out: zstd::Encoder<'static, BufWriter<File>>,
    failed: Option<std::io::Error>,
}

impl TraceWriter {
    /// Begins a file.
    pub fn create(path: &Path) -> Result<TraceWriter, String> {
        let named = |e: std::io::Error| format!("trace {}: {e}", path.display());
        let out = zstd::Encoder::new(BufWriter::new(File::create(path).map_err(named)?), 3)
            .map_err(named)?;
        Ok(TraceWriter { out, failed: None })
    }

    /// Adds a path. A failure is kept for the end: the run itself is whole without its trace.
    pub fn add(&mut self, path: &RequestTrace) {
        if self.failed.is_none() {
            let line = serde_json::to_writer(&mut self.out, path).map_err(std::io::Error::from);
            self.failed = line.and_then(|()| self.out.write_all(b"\n")).err();
        }
    }

    /// Ends the file.
    pub fn finish(self) -> Result<(), String> {
        let done = match self.failed {
            Some(e) => Err(e),
            None => self.out.finish().and_then(|mut file| file.flush()),
        };
        done.map_err(|e| format!("trace: {e}"))
    }
}
