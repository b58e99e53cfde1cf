//! `poppykeel streams`: what a node's log last said of its streams, as a table.

mod summary;

use clap::Args;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use summary::StreamsSummary;

/// The name of standard input on the command line.
const STANDARD_INPUT: &str = "-";

#[derive(Args)]
pub(super) struct StreamsCommand {
    /// A log that `serve --log-format json` wrote; "-" reads standard input to its end
    log: PathBuf,
}

/// Why no table can be shown.
#[derive(Debug, thiserror::Error)]
pub enum StreamsError {
    /// The log can't be read.
    #[error("log {}: {source}", log.display())]
    Read {
        /// The log.
        log: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The log has no summary of streams.
    #[error("log {}: no summary of streams; expected the log of `poppykeel serve --log-format json`", log.display())]
    NoSummary {
        /// The log.
        log: PathBuf,
    },
}

impl StreamsCommand {
    /// Reads the log and prints the table.
    ///
    /// # Errors
    /// Where the log can't be read or has no summary.
    pub(super) fn run(&self) -> Result<(), StreamsError> {
        let summary = self.read_summary().map_err(|source| StreamsError::Read {
            log: self.log.clone(),
            source,
        })?;
        let table = summary.table().ok_or_else(|| StreamsError::NoSummary {
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
