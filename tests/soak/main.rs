//! Soak test: a node process on loopback with draining replicas, a faulty discovery service, sequences of signals, and clients
//! that keep using a connection until the node closes it or is killed. A seed determines the faults of a run.
//!
//! Each run records what clients, replicas and discovery observed. `checker` then checks the rules: every request gets its
//! final response, a stream without events ends before its client gives up and a slow one is not cut off, a draining replica gets
//! no request after the drain grace, no attempt starts for a client that has disconnected, and no request of a class with
//! semantics `unsafe` runs twice.
//!
//! `cargo test --test soak` runs a few seeds. To run others:
//!
//!     SOAK_SEEDS=1..60 cargo test --release --test soak -- --nocapture

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod checker;
mod clients;
mod discovery;
mod node;
mod plan;
mod records;
mod replicas;
mod run;
mod streams;
#[path = "../support/mod.rs"]
mod support;

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The seeds that are run if `SOAK_SEEDS` is not set.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Number of concurrent runs. Each has a few dozen threads that mostly wait.
const CONCURRENT_RUNS: usize = 4;

/// The seeds in `SOAK_SEEDS`, given as `FIRST..END`.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS=FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

#[test]
fn rules_hold_under_random_faults() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_RUNS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if !seeds.contains(&seed) {
                    return;
                }
                let report = run::run_seed(seed);
                println!("seed {seed}: {}", report.summary);
                if !report.violations.is_empty() {
                    println!("{}", report.log);
                    failures.lock().unwrap().push((seed, report.violations));
                }
            });
        }
    });
    let failures = failures.into_inner().unwrap();
    assert!(failures.is_empty(), "rules were violated: {failures:#?}");
}
