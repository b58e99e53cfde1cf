//! The log, on standard error: one line an event, its particulars as fields.

use clap::ValueEnum;

/// How lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts the log; `verbose` has every event and command of the core, too.
pub fn start(verbose: bool, format: Format) {
    let level = if verbose {
        tracing::Level::DEBUG
    } else {
        tracing::Level::INFO
    };
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr);
    match format {
        Format::Text => log.init(),
        Format::Json => log.json().flatten_event(true).init(),
    }
}
