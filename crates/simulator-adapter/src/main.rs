//! Runs scheduler instances for the simulator, over a line protocol on standard input and output.
//!
//! The simulator sends batches of lines and gets one reply for each batch. On invalid input the program writes one line to
//! standard error and exits with a failure code.

#![forbid(unsafe_code)]

mod host;
mod protocol;

use host::{BatchStatus, Host, HostError};
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Last line of each reply.
const END_OF_REPLY: &str = "done\n";

/// Errors that end the program.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("line {number}: cannot read standard input: {source}")]
    Read { number: u64, source: std::io::Error },
    #[error("line {number}: expected UTF-8 text")]
    InvalidUtf8 { number: u64 },
    /// A line is invalid, or not allowed at its position in the input.
    #[error("line {number}: {source}")]
    Line { number: u64, source: HostError },
    /// The input ends within a batch.
    #[error("line {number}: end of input: expected eob")]
    EndOfInput { number: u64 },
    #[error("cannot write to standard output: {0}")]
    Write(#[source] std::io::Error),
}

/// Processes batches until the input ends.
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
        let text = std::str::from_utf8(&line).map_err(|_| AdapterError::InvalidUtf8 { number })?;
        let status = host
            .process_line(text.trim_end_matches(['\n', '\r']))
            .map_err(|source| AdapterError::Line { number, source })?;
        if status == BatchStatus::Complete {
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
