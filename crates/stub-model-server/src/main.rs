//! Runs stub model servers: `poppykeel-stub-model-server --script FILE --script FILE`. A line `NUMBER FILE` on standard
//! input replaces the script of the server with that number.

use clap::Parser;
use poppykeel_stub_model_server::{ReplyScript, StubServers};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "poppykeel-stub-model-server",
    version,
    about = "Runs scripted stub model servers on loopback addresses"
)]
struct StubModelServerCli {
    /// Script of a server, a TOML file; give the flag once per server
    #[arg(long = "script", value_name = "FILE", required = true)]
    scripts: Vec<PathBuf>,
    /// Exit after this many seconds
    #[arg(long = "for", default_value_t = 600, value_name = "SECONDS")]
    lifetime_s: u64,
}

/// Why the servers cannot start, or a script cannot be used.
#[derive(Debug, thiserror::Error)]
enum StubError {
    #[error("cannot read script {path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("invalid script {path}: {source}")]
    Parse {
        path: String,
        source: Box<toml::de::Error>,
    },
    #[error("cannot start the servers: {0}")]
    Start(#[from] std::io::Error),
}

fn read_script(path: &Path) -> Result<ReplyScript, StubError> {
    let path_text = || path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| StubError::Read {
        path: path_text(),
        source,
    })?;
    ReplyScript::parse(&text).map_err(|source| StubError::Parse {
        path: path_text(),
        source: Box::new(source),
    })
}

fn run(cli: &StubModelServerCli) -> Result<(), StubError> {
    let scripts = cli
        .scripts
        .iter()
        .map(|path| read_script(path))
        .collect::<Result<Vec<_>, _>>()?;
    let servers = StubServers::start(scripts)?;
    for (number, addr) in servers.addrs().iter().enumerate() {
        println!("server {number} on {addr}");
    }
    exit_after(Duration::from_secs(cli.lifetime_s));
    for line in std::io::stdin().lines().map_while(Result::ok) {
        handle_line(&line, &servers);
    }
    // The servers keep running after the end of the input, until their lifetime is over.
    loop {
        std::thread::park();
    }
}

fn exit_after(lifetime: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(lifetime);
        std::process::exit(0);
    });
}

/// Handles a line of standard input: the number of a server and the path of its new script.
fn handle_line(line: &str, servers: &StubServers) {
    let mut words = line.split_whitespace();
    let number = words
        .next()
        .and_then(|word| word.parse::<usize>().ok())
        .filter(|number| *number < servers.addrs().len());
    let script = words.next().map(|path| read_script(Path::new(path)));
    match (number, script) {
        (Some(number), Some(Ok(script))) => {
            servers.set_script(number, script);
            println!("server {number} has another script");
        }
        (_, Some(Err(e))) => eprintln!("script not replaced: {e}"),
        _ => eprintln!("invalid input '{line}': expected the number of a running server and the path of a script"),
    }
}

fn main() -> ExitCode {
    match run(&StubModelServerCli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("poppykeel-stub-model-server: {e}");
            ExitCode::FAILURE
        }
    }
}
