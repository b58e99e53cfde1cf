//! The command line and its sub-commands.
//!
//! [`main`] parses the arguments, runs one command and reports an error as one line on standard error and an exit code.

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
    /// Route requests until SIGTERM or SIGINT, then finish the requests in flight and exit
    Serve(ServeCommand),
    /// Validate the node configuration, the operator file or both, and print a summary
    Check(CheckCommand),
    /// Query each endpoint source and show its answer and the combined endpoint list, with reasons
    Resolve(resolve::ResolveCommand),
    /// Show the newest summary of streams in a node's JSON log
    Streams(streams::StreamsCommand),
    /// Show the state of a fleet, or restart its nodes, through the admin address of a node
    Fleet(fleet::FleetCommand),
    /// Print the version
    Version,
}

#[derive(Args)]
struct ServeCommand {
    /// Node configuration (JSON)
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
    #[command(flatten)]
    overrides: ConfigOverrideArgs,
    #[command(flatten)]
    operator_file: OperatorFileArgs,
    /// Also log every event and command of the scheduler
    #[arg(long, env = "GW_VERBOSE")]
    verbose: bool,
    /// Format of the log on standard error
    #[arg(long, env = "POPPYKEEL_LOG_FORMAT", value_enum, default_value = "text")]
    log_format: LogFormat,
}

#[derive(Args)]
struct CheckCommand {
    /// Node configuration (JSON)
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

/// Why a command failed. Each message is one line.
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
            node: self.overrides.read_config(&self.config)?,
            operator: self.operator_file.read()?,
        };
        log::start(self.verbose, self.log_format);
        let reread_settings = || {
            Ok(ServeSettings {
                node: self.overrides.reread_config(&self.config)?,
                operator: self.operator_file.read()?,
            })
        };
        Ok(serve::serve(settings, reread_settings)?)
    }
}

impl CheckCommand {
    fn run(&self) -> Result<(), CommandError> {
        if let Some(path) = &self.config {
            println!("{}", self.overrides.read_config(path)?);
        }
        if self.operator_file.operator.is_some() {
            println!("{}", self.operator_file.read()?);
        }
        Ok(())
    }
}

/// Runs a command. `resolve` exits with a failure code and no message if no endpoint is usable, since its report already
/// shows that.
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

/// Parses the command line and runs its command. An error is printed as one line on standard error.
pub fn main() -> ExitCode {
    match run(&Cli::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("poppykeel: {error}");
            ExitCode::FAILURE
        }
    }
}
