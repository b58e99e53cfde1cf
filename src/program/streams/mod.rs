//! `poppykeel streams`: shows the newest summary of streams in a node's log as a table.

mod summary;

use clap::Args;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use summary::StreamsSummary;

/// Stands for standard input on the command line.
const STANDARD_INPUT: &str = "-";

#[derive(Args)]
pub(super) struct StreamsCommand {
    /// Log of `serve --log-format json`; "-" reads standard input until its end
    log: PathBuf,
}

/// Why no summary can be shown.
#[derive(Debug, thiserror::Error)]
pub enum StreamsError {
    /// The log can't be read.
    #[error("cannot read the log {}: {source}", log.display())]
    Read {
        /// As given on the command line; "-" stands for standard input.
        log: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log has no summary of streams.
    #[error("log {}: no summary of streams; expected the log of `poppykeel serve --log-format json`", log.display())]
    NoSummary {
        /// As given on the command line; "-" stands for standard input.
        log: PathBuf,
    },
}

impl StreamsCommand {
    /// Reads the log and prints the table.
    ///
    /// # Errors
    /// If the log can't be read or has no summary.
    pub(super) fn run(&self) -> Result<(), StreamsError> {
        let summary = self.read_summary().map_err(|source| StreamsError::Read {
            log: self.log.clone(),
            source,
        })?;
        let table = summary
            .format_table()
            .ok_or_else(|| StreamsError::NoSummary {
                log: self.log.clone(),
            })?;
        print!("{table}");
        Ok(())
    }

    fn read_summary(&self) -> io::Result<StreamsSummary> {
        let mut summary = StreamsSummary::default();
        for line in self.open()?.lines() {
            summary.add_line(&line?);
        }
        Ok(summary)
    }

    fn open(&self) -> io::Result<Box<dyn BufRead>> {
        if self.log.as_os_str() == STANDARD_INPUT {
            return Ok(Box::new(io::stdin().lock()));
        }
        Ok(Box::new(BufReader::new(std::fs::File::open(&self.log)?)))
    }
}
