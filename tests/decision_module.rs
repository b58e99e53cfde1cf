//! What must hold of the decision module's sources: no input or output, no clock, and the deploy file names every one.

use std::path::{Path, PathBuf};

/// Where the decision module's sources are: files, and folders that hold nothing else.
const SOURCES: [&str; 5] = [
    "crates/scheduler/src/brain.rs",
    "crates/scheduler/src/brain",
    "crates/scheduler/src/interface.rs",
    "crates/scheduler/src/state.rs",
    "crates/scheduler/src/state",
];

/// Paths through which a program reaches files, sockets, clocks, threads, the environment or other processes.
const FORBIDDEN: [&str; 16] = [
    "std::time",
    "std::fs",
    "std::io",
    "std::env",
    "std::process",
    "std::thread",
    "std::sync",
    "std::os",
    "TcpStream",
    "UdpSocket",
    "tokio",
    "futures",
    "socket2",
    "rustix",
    "tracing",
    "println!",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn source_files() -> Vec<PathBuf> {
    let mut files = Vec::new();
    for source in SOURCES {
        let path = root().join(source);
        if path.is_dir() {
            let entries = std::fs::read_dir(&path).expect("the folder can be read");
            files.extend(entries.map(|entry| entry.expect("the entry can be read").path()));
        } else {
            files.push(path);
        }
    }
    files.sort();
    files
}

#[test]
fn decision_module_uses_no_input_output_or_clock() {
    for file in source_files() {
        let text = std::fs::read_to_string(&file).expect("the source can be read");
        for forbidden in FORBIDDEN {
            assert!(!text.contains(forbidden), "{}: {forbidden}", file.display());
        }
    }
}

#[test]
fn decision_module_holds_no_tests() {
    for file in source_files() {
        let text = std::fs::read_to_string(&file).expect("the source can be read");
        assert!(!text.contains("#[cfg(test)]"), "{}", file.display());
    }
}

#[test]
fn deploy_file_lists_every_source_of_the_decision_module() {
    let text =
        std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the file can be read");
    let deploy: toml::Table = text.parse().expect("the deploy file is TOML");
    let listed = deploy["policy"].as_array().expect("policy is a list");
    let mut listed: Vec<PathBuf> = listed
        .iter()
        .map(|path| root().join(path.as_str().expect("a path")))
        .collect();
    listed.sort();
    assert_eq!(listed, source_files());
}
