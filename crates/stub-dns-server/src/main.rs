//! Command line of the stub server: `poppykeel-stub-dns-server --script FILE`. Each line on standard input loads a script:
//! the named file, or `FILE` again if the line is empty.

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
    about = "A stub name server on loopback with scripted faults"
)]
struct StubDnsServerCli {
    /// Script in TOML, with records and fault rules
    #[arg(long, value_name = "FILE")]
    script: PathBuf,
    /// Loopback address to listen on, over UDP and TCP
    #[arg(long, default_value = "127.0.0.1:5353", value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Exit after this many seconds
    #[arg(long = "for", default_value_t = 600, value_name = "SECONDS")]
    lifetime_s: u64,
}

/// The server can't start, or a script can't be loaded.
#[derive(Debug, thiserror::Error)]
enum StubError {
    #[error("cannot read script {}: {source}", path.display())]
    ReadScript { path: PathBuf, source: io::Error },
    #[error("invalid script {}: {source}", path.display())]
    Script { path: PathBuf, source: ScriptError },
    #[error("cannot listen: {0}")]
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
        "listening on {}; enter a file name to load another script",
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
                println!("loaded {}", path.display());
            }
            Err(error) => eprintln!("script not loaded, the previous one stays in use: {error}"),
        }
    }
    // At the end of standard input, keep serving until the lifetime is over.
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

fn main() -> ExitCode {
    match run(&StubDnsServerCli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poppykeel-stub-dns-server: {error}");
            ExitCode::FAILURE
        }
    }
}
