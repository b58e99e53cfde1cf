//! The command line.

pub mod config;
pub mod serve;

use clap::{Parser, Subcommand};
use config::Config;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "poppykeel", version, about = "Routes requests to language-model servers")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT, then let what runs end
    Serve(Source),
    /// Read and check the configuration, and say what it comes to
    Check(Source),
    /// Print the version
    Version,
}

#[derive(clap::Args)]
struct Source {
    /// The configuration, as JSON
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// This node's name, in place of the configuration's
    #[arg(long, env = "GW_NAME")]
    name: Option<String>,
    /// Where clients connect, in place of the configuration's
    #[arg(long, env = "GW_LISTEN", value_name = "ADDRESS")]
    listen: Option<String>,
    /// Where discovery listens, in place of the configuration's
    #[arg(long, env = "GW_DISCOVERY", value_name = "ADDRESS")]
    discovery: Option<String>,
    /// Log every event and command of the core, too
    #[arg(long, env = "GW_VERBOSE")]
    verbose: bool,
}

impl Source {
    fn read(&self) -> Result<Config, String> {
        let over = [("name", &self.name), ("listen", &self.listen), ("discovery", &self.discovery)];
        self.read_over(&over.map(|(key, value)| (key, value.as_deref())))
    }

    /// Reads the file again, at SIGHUP. The environment is that of the start and says what discovery was then:
    /// it must not hide what the replaced file says now.
    fn reread(&self) -> Result<Config, String> {
        let over = [("name", &self.name), ("listen", &self.listen)];
        self.read_over(&over.map(|(key, value)| (key, value.as_deref())))
    }

    fn read_over(&self, over: &[(&str, Option<&str>)]) -> Result<Config, String> {
        let path: &Path = &self.config;
        let text = std::fs::read_to_string(path).map_err(|e| format!("config {}: {e}", path.display()))?;
        Config::read(&text, over)
    }
}

/// Runs the command line; an error is one line on standard error.
pub fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve(source) => {
            source.read().and_then(|config| serve::serve(config, source.verbose, || source.reread()))
        }
        Command::Check(source) => source.read().map(|config| println!("{config}")),
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
