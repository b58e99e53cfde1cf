//! The command line: what `poppykeel` does for each sub-command.
//!
//! [`main`] parses the arguments, runs one command and turns its error into one line on standard error and an exit code.

pub mod config;
mod files;
mod fleet;
mod log;
mod resolve;
pub mod serve;
mod streams;

use clap::{Args, Parser, Subcommand};
use files::{ConfigOverrideArgs, OperatorFileArgs, SettingsFileError};
use log::LogFormat;
use serve::{ServeError, ServeSettings};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "poppykeel",
    version,
    about = "Routes requests to language-model servers"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT, then let what runs end
    Serve(ServeCommand),
    /// Read and check the configuration, the operators' file or both, and say what they come to
    Check(CheckCommand),
    /// Ask each source of servers and show what it says and the list that follows, with reasons
    Resolve(resolve::ResolveCommand),
    /// Show how streams fare, from a node's log in JSON
    Streams(streams::StreamsCommand),
    /// Ask a running node about its fleet
    Fleet(fleet::FleetCommand),
    /// Print the version
    Version,
}

#[derive(Args)]
struct ServeCommand {
    /// The configuration, as JSON
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
    #[command(flatten)]
    overrides: ConfigOverrideArgs,
    #[command(flatten)]
    operator_file: OperatorFileArgs,
    /// Log every event and command of the core, too
    #[arg(long, env = "GW_VERBOSE")]
    verbose: bool,
    /// How lines of the log look
    #[arg(long, env = "POPPYKEEL_LOG_FORMAT", value_enum, default_value = "text")]
    log_format: LogFormat,
}

#[derive(Args)]
struct CheckCommand {
    /// The configuration, as JSON
    #[arg(
        long,
        env = "GW_CONFIG",
        value_name = "FILE",
        required_unless_present = "operator"
    )]
    config: Option<PathBuf>,
    #[command(flatten)]
    operator_file: OperatorFileArgs,
    #[command(flatten)]
    overrides: ConfigOverrideArgs,
}

/// Why a command has failed. Each text is one line.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Settings(#[from] SettingsFileError),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Resolve(#[from] resolve::ResolveError),
    #[error(transparent)]
    Streams(#[from] streams::StreamsError),
    #[error(transparent)]
    Fleet(#[from] fleet::AdminCallError),
}

impl ServeCommand {
    fn run(&self) -> Result<(), CommandError> {
        let settings = ServeSettings {
            node: self.overrides.read(&self.config)?,
            operator: self.operator_file.read()?,
        };
        log::start(self.verbose, self.log_format);
        let read_again = || {
            Ok(ServeSettings {
                node: self.overrides.read_again(&self.config)?,
                operator: self.operator_file.read()?,
            })
        };
        Ok(serve::serve(settings, read_again)?)
    }
}

impl CheckCommand {
    fn run(&self) -> Result<(), CommandError> {
        if let Some(path) = &self.config {
            println!("{}", self.overrides.read(path)?);
        }
        if self.operator_file.operator.is_some() {
            println!("{}", self.operator_file.read()?);
        }
        Ok(())
    }
}

/// Runs a command. The exit code says whether it has succeeded; where it has shown what there is to say that is all.
fn run(command: &Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Serve(serve) => serve.run()?,
        Command::Check(check) => check.run()?,
        Command::Resolve(resolve) => {
            let has_usable_endpoint = resolve.run()?;
            if !has_usable_endpoint {
                return Ok(ExitCode::FAILURE);
            }
        }
        Command::Streams(streams) => streams.run()?,
        Command::Fleet(fleet) => fleet.run()?,
        Command::Version => println!("poppykeel {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the command line; an error is one line on standard error.
pub fn main() -> ExitCode {
    match run(&Cli::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("poppykeel: {error}");
            ExitCode::FAILURE
        }
    }
}
