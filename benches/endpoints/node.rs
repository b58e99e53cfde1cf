//! The node in a process of its own, and its resource usage.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;

/// Clock ticks per second; `/proc` counts CPU time in ticks.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running node. Dropping it kills the process.
pub struct Node {
    child: Child,
    /// The address for clients.
    pub addr: SocketAddr,
    files: Vec<PathBuf>,
}

/// Resource usage of a process since its start.
pub struct Usage {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Peak resident memory in MiB.
    pub peak_memory_mb: f64,
}

impl Node {
    /// Starts a node and waits until it serves. `operator` is the text of the operator file; `None` starts it without one.
    pub fn start(discovery: SocketAddr, operator: Option<&str>) -> Node {
        let config = include_str!("../../tests/exchanges/config.json");
        let known = config.find("\"known\"").unwrap()..config.find("\"settings\"").unwrap();
        let config = config
            .replace(&config[known], "")
            .replace("DISCOVERY", &discovery.to_string());
        let mut files = vec![write_file("config.json", &config)];
        let mut command = Command::new(env!("CARGO_BIN_EXE_poppykeel"));
        command.args(["serve", "--config"]).arg(&files[0]);
        if let Some(text) = operator {
            files.push(write_file("operator.toml", text));
            command.arg("--operator").arg(&files[1]);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log_lines = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let line = log_lines.find(|line| line.contains("serving on")).unwrap();
        thread::spawn(move || log_lines.for_each(drop));
        let addr = line
            .split("serving on ")
            .nth(1)
            .and_then(|text| text.split(' ').next())
            .unwrap();
        Node {
            child,
            addr: addr.parse().unwrap(),
            files,
        }
    }

    /// Reads the resource usage of the process since its start.
    pub fn usage(&self) -> Usage {
        let read = |name: &str| {
            std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
        };
        let stat = read("stat");
        // After the process name, which may contain spaces, the 12th and 13th fields are user and system time.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        let status = read("status");
        let peak_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|value| value.split_whitespace().next())
            .and_then(|number| number.parse::<f64>().ok());
        Usage {
            cpu_s: ticks / TICKS_PER_SECOND,
            peak_memory_mb: peak_kb.unwrap_or(f64::NAN) / 1024.0,
        }
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("bench-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

impl Drop for Node {
    fn drop(&mut self) {
        // These calls fail if the process has ended or the files are already removed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}
