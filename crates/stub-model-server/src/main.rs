//! Stub model servers from the command line: `poppykeel-stub-model-server --script FILE --script FILE`. A line on
//! standard input, with a server's number and the name of a file, gives that server another script.

use clap::Parser;
use poppykeel_stub_model_server::{ReplyScript, StubServers};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "poppykeel-stub-model-server",
    version,
    about = "Model servers on loopback that answer by scripts"
)]
struct StubModelServerCli {
    /// A server's script, as TOML; one server for each
    #[arg(long = "script", value_name = "FILE", required = true)]
    scripts: Vec<PathBuf>,
    /// The servers end by themselves after this many seconds
    #[arg(long = "for", default_value_t = 600, value_name = "SECONDS")]
    lifetime_s: u64,
}

/// Why the program ends, or a script is not used.
#[derive(Debug, thiserror::Error)]
enum StubError {
    #[error("{path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: {source}")]
    Parse {
        path: String,
        source: Box<toml::de::Error>,
    },
    #[error(transparent)]
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
    end_after(Duration::from_secs(cli.lifetime_s));
    for line in std::io::stdin().lines().map_while(Result::ok) {
        handle_line(&line, &servers);
    }
    // After the end of the input the servers go on until their time is over.
    loop {
        std::thread::park();
    }
}

/// Ends the process after a time.
fn end_after(lifetime: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(lifetime);
        std::process::exit(0);
    });
}

/// Carries out a line of the input: a server's number and the name of its new script.
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
        (_, Some(Err(e))) => eprintln!("the script was not changed: {e}"),
        _ => eprintln!("expected the number of a server and a file's name, not '{line}'"),
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
