//! Tests that the scheduler has no input or output, no clock and no async runtime, and that the deploy file lists every
//! source file of the package.
//!
//! `clippy.toml` of this package forbids types and functions; these tests also cover macros and dependencies.

use std::path::{Path, PathBuf};

const ALLOWED_DEPENDENCIES: [&str; 3] = ["oorandom", "serde", "thiserror"];

/// Text that must not occur in sources: paths to files, sockets, clocks, threads, the environment or other processes.
const FORBIDDEN: [&str; 17] = [
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
    "unsafe",
];

fn package() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn repository() -> PathBuf {
    package()
        .join("../..")
        .canonicalize()
        .expect("the repository's root exists")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// All source files of the package except those of unit tests.
fn source_files() -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut folders = vec![repository().join("crates/scheduler/src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("the folder can be read") {
            let path = entry.expect("the entry can be read").path();
            if path.is_dir() {
                folders.push(path);
            } else if !path.ends_with("tests.rs") {
                files.push(path);
            }
        }
    }
    files.sort();
    files
}

#[test]
fn source_files_use_no_input_output_or_clock() {
    for file in source_files() {
        let text = read(&file);
        for forbidden in FORBIDDEN {
            assert!(!text.contains(forbidden), "{}: {forbidden}", file.display());
        }
    }
}

#[test]
fn package_depends_on_no_input_output_or_async_package() {
    let manifest: toml::Table = read(&package().join("Cargo.toml"))
        .parse()
        .expect("a manifest");
    let dependencies = manifest["dependencies"]
        .as_table()
        .expect("a table of dependencies");
    for name in dependencies.keys() {
        assert!(ALLOWED_DEPENDENCIES.contains(&name.as_str()), "{name}");
    }
}

#[test]
fn source_files_contain_no_tests() {
    for file in source_files() {
        assert!(!read(&file).contains("#[test]"), "{}", file.display());
    }
}

#[test]
fn deploy_file_lists_every_source() {
    let deploy: toml::Table = read(&repository().join("deploy/balancer.toml"))
        .parse()
        .expect("TOML");
    let policy = deploy["policy"].as_array().expect("policy is a list");
    let mut listed = Vec::new();
    for path in policy {
        listed.push(repository().join(path.as_str().expect("a path")));
    }
    listed.sort();
    assert_eq!(listed, source_files());
}
