//! Folders, the program under test, and the runtime of scenarios.

use poppykeel_testbed::fault_injection::FaultInjectionError;
use std::future::Future;
use std::path::{Path, PathBuf};

/// The folder of a scenario, unique to this process.
pub fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("lab-breaks-{name}-{}", std::process::id()))
}

/// The program whose `serve` is the node.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poppykeel-testbed"))
}

/// Runs a scenario to its end on one thread.
pub fn block_on<T>(scenario: impl Future<Output = Result<T, FaultInjectionError>>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new()
        .block_on(&runtime, scenario)
        .unwrap()
}
