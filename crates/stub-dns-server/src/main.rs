//! The stub server by hand: `poppykeel-stub-dns-server --script FILE`. A line on standard input reads a script again.

use clap::Parser;
use poppykeel_stub_dns_server::{Script, ScriptError, StubDnsServer};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "poppykeel-stub-dns-server",
    version,
    about = "A name server on loopback that lies by a script"
)]
struct StubDnsServerCli {
    /// The script, as TOML: records and rules
    #[arg(long, value_name = "FILE")]
    script: PathBuf,
    /// Where it listens, over UDP and TCP
    #[arg(long, default_value = "127.0.0.1:5353", value_name = "ADDRESS")]
    listen: SocketAddr,
    /// It ends by itself after so many seconds
    #[arg(long = "for", default_value_t = 600, value_name = "SECONDS")]
    lifetime_s: u64,
}

/// Why the server can't start, or a script is not taken. Each text is shown to people.
#[derive(Debug, thiserror::Error)]
enum StubError {
    #[error("{}: {source}", path.display())]
    ReadScript { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Script { path: PathBuf, source: ScriptError },
    #[error("{0}")]
    Listen(#[source] io::Error),
}

fn read_script(path: &Path) -> Result<Script, StubError> {
    let text = std::fs::read_to_string(path).map_err(|source| StubError::ReadScript {
        path: path.to_path_buf(),
        source,
    })?;
    Script::read(&text).map_err(|source| StubError::Script {
        path: path.to_path_buf(),
        source,
    })
}

fn run(cli: &StubDnsServerCli) -> Result<(), StubError> {
    let script = read_script(&cli.script)?;
    let server = StubDnsServer::start(cli.listen, script).map_err(StubError::Listen)?;
    println!(
        "listening on {}; a line with a file's name reads another script",
        server.addr()
    );
    exit_after(Duration::from_secs(cli.lifetime_s));
    for line in io::stdin().lines().map_while(Result::ok) {
        let path = match line.trim() {
            "" => cli.script.clone(),
            name => PathBuf::from(name),
        };
        match read_script(&path) {
            Ok(script) => {
                server.set_script(script);
                println!("now by {}", path.display());
            }
            Err(error) => eprintln!("kept as it was: {error}"),
        }
    }
    // Without an input it serves until its time is over.
    loop {
        std::thread::park();
    }
}

/// Ends the process after this time.
fn exit_after(lifetime: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(lifetime);
        std::process::exit(0);
    });
}

fn main() -> ExitCode {
    match run(&StubDnsServerCli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poppykeel-stub-dns-server: {error}");
            ExitCode::FAILURE
        }
    }
}
