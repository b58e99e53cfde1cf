//! Stand-ins by hand: `poppykeel-stub-model-server --script FILE --script FILE`. A line on standard input, the number of a
//! server and a file's name, gives that server another script.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use clap::Parser;
use poppykeel_stub_model_server::{Script, Standin};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "poppykeel-stub-model-server",
    version,
    about = "Model servers on loopback that answer by scripts"
)]
struct Cli {
    /// A server's script, as TOML; one server for each
    #[arg(long, value_name = "FILE", required = true)]
    script: Vec<PathBuf>,
    /// They end by themselves after so many seconds
    #[arg(long = "for", default_value_t = 600, value_name = "SECONDS")]
    span: u64,
}

fn read(path: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Script::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(cli: &Cli) -> Result<(), String> {
    let scripts = cli
        .script
        .iter()
        .map(|p| read(p))
        .collect::<Result<Vec<_>, _>>()?;
    let standin = Standin::start(scripts).map_err(|e| e.to_string())?;
    for (number, addr) in standin.addrs().iter().enumerate() {
        println!("server {number} on {addr}");
    }
    let span = Duration::from_secs(cli.span);
    std::thread::spawn(move || {
        std::thread::sleep(span);
        std::process::exit(0);
    });
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let mut words = line.split_whitespace();
        let number = words.next().and_then(|n| n.parse::<usize>().ok());
        let number = number.filter(|n| *n < standin.addrs().len());
        match (number, words.next().map(|p| read(Path::new(p)))) {
            (Some(number), Some(Ok(script))) => {
                standin.set(number, script);
                println!("server {number} goes by another script");
            }
            (_, Some(Err(e))) => eprintln!("kept as it was: {e}"),
            _ => eprintln!("expected the number of a server and a file's name, not '{line}'"),
        }
    }
    // Without an input they serve on until their time is out.
    loop {
        std::thread::park();
    }
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("poppykeel-stub-model-server: {text}");
            ExitCode::FAILURE
        }
    }
}
