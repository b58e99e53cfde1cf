//! The command line.

pub mod config;
mod files;
mod fleet;
mod log;
mod resolve;
pub mod serve;
mod streams;

use clap::{Args, Parser, Subcommand};
use files::{OperatorFile, Over};
use log::Format;
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
    Serve(Serve),
    /// Read and check the configuration, the operators' file or both, and say what they come to
    Check(Check),
    /// Ask each source of servers and show what it says and the list that follows, with reasons
    Resolve(resolve::ResolveCommand),
    /// Show how streams fare, from a node's log in JSON
    Streams(streams::Streams),
    /// Ask a running node about its fleet
    Fleet(fleet::FleetCommand),
    /// Print the version
    Version,
}

#[derive(Args)]
struct Serve {
    #[command(flatten)]
    source: Source,
    #[command(flatten)]
    operator: OperatorFile,
    /// Log every event and command of the core, too
    #[arg(long, env = "GW_VERBOSE")]
    verbose: bool,
    /// How lines of the log look
    #[arg(long, env = "POPPYKEEL_LOG_FORMAT", value_enum, default_value = "text")]
    log_format: Format,
}

#[derive(Args)]
struct Check {
    /// The configuration, as JSON
    #[arg(
        long,
        env = "GW_CONFIG",
        value_name = "FILE",
        required_unless_present = "operator"
    )]
    config: Option<PathBuf>,
    #[command(flatten)]
    operator: OperatorFile,
    #[command(flatten)]
    over: Over,
}

#[derive(Args)]
struct Source {
    /// The configuration, as JSON
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
    #[command(flatten)]
    over: Over,
}

impl Serve {
    fn run(&self) -> Result<(), String> {
        let path = &self.source.config;
        let (config, operator) = (self.source.over.read(path)?, self.operator.read()?);
        log::start(self.verbose, self.log_format);
        serve::serve(config, operator, || {
            Ok((self.source.over.reread(path)?, self.operator.read()?))
        })
    }
}

impl Check {
    fn run(&self) -> Result<(), String> {
        if let Some(path) = &self.config {
            println!("{}", self.over.read(path)?);
        }
        if self.operator.operator.is_some() {
            println!("{}", self.operator.read()?);
        }
        Ok(())
    }
}

/// Runs the command line; an error is one line on standard error.
pub fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve(serve) => serve.run(),
        Command::Check(check) => check.run(),
        Command::Resolve(resolve) => match resolve.run() {
            Ok(true) => Ok(()),
            // What there is to say has been shown.
            Ok(false) => return ExitCode::FAILURE,
            Err(e) => Err(e.to_string()),
        },
        Command::Streams(streams) => streams.run(),
        Command::Fleet(fleet) => fleet.run().map_err(|e| e.to_string()),
        Command::Version => {
            println!("poppykeel {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("poppykeel: {text}");
            ExitCode::FAILURE
        }
    }
}
