//! The stand-in by hand: `poppykeel-stub-dns-server --script FILE`. A line on standard input reads a script anew.

use clap::Parser;
use poppykeel_stub_dns_server::{Script, Standin};
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
struct Cli {
    /// The script, as TOML: records and rules
    #[arg(long, value_name = "FILE")]
    script: PathBuf,
    /// Where it listens, over UDP and TCP
    #[arg(long, default_value = "127.0.0.1:5353", value_name = "ADDRESS")]
    listen: SocketAddr,
    /// It ends by itself after so many seconds
    #[arg(long = "for", default_value_t = 600, value_name = "SECONDS")]
    span: u64,
}

fn read(path: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Script::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(cli: &Cli) -> Result<(), String> {
    let standin = Standin::start(cli.listen, read(&cli.script)?).map_err(|e| e.to_string())?;
    println!(
        "listening on {}; a line with a file's name reads another script",
        standin.addr()
    );
    let span = Duration::from_secs(cli.span);
    std::thread::spawn(move || {
        std::thread::sleep(span);
        std::process::exit(0);
    });
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let path = if line.trim().is_empty() {
            cli.script.clone()
        } else {
            PathBuf::from(line.trim())
        };
        match read(&path) {
            Ok(script) => {
                standin.set(script);
                println!("now by {}", path.display());
            }
            Err(e) => eprintln!("kept as it was: {e}"),
        }
    }
    // Without an input it serves on until its time is out.
    loop {
        std::thread::park();
    }
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("poppykeel-stub-dns-server: {text}");
            ExitCode::FAILURE
        }
    }
}
