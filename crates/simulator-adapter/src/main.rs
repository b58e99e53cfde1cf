//! Hosts instances of the scheduler on the simulator's line protocol: standard input to standard output.
//!
//! The simulator sends batches of lines and gets one reply a batch. Input that cannot be read ends the program with one
//! line on standard error, and a failure as its exit code.

#![forbid(unsafe_code)]

mod host;
mod protocol;

use host::{Host, HostError, Progress};
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Ends each reply.
const END_OF_REPLY: &str = "done\n";

/// Why the program ends before its input does.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// A line cannot be read from standard input.
    #[error("line {number}: {source}")]
    Read { number: u64, source: std::io::Error },
    /// A line is not text.
    #[error("line {number}: expected UTF-8 text")]
    NotText { number: u64 },
    /// A line makes no sense where it stands.
    #[error("line {number}: {source}")]
    Line { number: u64, source: HostError },
    /// The input has ended within a batch.
    #[error("line {number}: end of input: expected eob")]
    EndOfInput { number: u64 },
    /// A reply cannot be written.
    #[error("standard output: {0}")]
    Write(#[source] std::io::Error),
}

/// Reads batches and writes replies until the input ends.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut number = 0;
    loop {
        line.clear();
        number += 1;
        let length = input
            .read_until(b'\n', &mut line)
            .map_err(|source| AdapterError::Read { number, source })?;
        if length == 0 {
            return if host.is_within_batch() {
                Err(AdapterError::EndOfInput { number })
            } else {
                Ok(())
            };
        }
        let text = std::str::from_utf8(&line).map_err(|_| AdapterError::NotText { number })?;
        let progress = host
            .take_line(text.trim_end_matches(['\n', '\r']))
            .map_err(|source| AdapterError::Line { number, source })?;
        if progress == Progress::BatchComplete {
            let reply = host.take_reply() + END_OF_REPLY;
            output
                .write_all(reply.as_bytes())
                .map_err(AdapterError::Write)?;
            output.flush().map_err(AdapterError::Write)?;
        }
    }
}

fn main() -> ExitCode {
    match run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poppykeel-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
