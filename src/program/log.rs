//! The log on standard error: one line an event, with its details as fields.

use clap::ValueEnum;

/// The format of the log's lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts the log. A verbose log has every event and command of the scheduler, too.
///
/// # Panics
/// Where the process already has a log.
pub fn start(is_verbose: bool, format: LogFormat) {
    let level = if is_verbose {
        tracing::Level::DEBUG
    } else {
        tracing::Level::INFO
    };
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
}
