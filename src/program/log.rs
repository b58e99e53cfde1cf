//! The log on standard error: one line per event, with its details as fields.

use clap::ValueEnum;

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Human-readable text
    Text,
    /// One JSON object per line
    Json,
}

/// Installs the global log subscriber. A verbose log also has every event and command of the scheduler.
///
/// # Panics
/// If a subscriber is already installed.
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
