//! A soak: a node as a process of its own on loopback, with replicas that drain, a discovery service that fails, signals in
//! series and clients that go on using their connections until the process is killed, all drawn from a seed.
//!
//! Each run records what clients, replicas and discovery saw, and `checker` holds it against the rules: every request has
//! its final response, nothing goes to a draining replica after the grace, no request of a client that has left begins, and
//! no request that may not be repeated runs twice.
//!
//! `cargo test --test soak` plays a few seeds. More are played by hand:
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
#[path = "../support/mod.rs"]
mod support;

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The seeds that are played where `SOAK_SEEDS` names no others.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Runs that are played at once: each has a few dozen threads that mostly wait.
const PARALLEL_RUNS: usize = 4;

/// The seeds of `SOAK_SEEDS`, as `FIRST..END`.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS=FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

#[test]
fn rules_hold_under_drawn_faults() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if !seeds.contains(&seed) {
                    return;
                }
                let report = run::play(seed);
                println!("seed {seed}: {}", report.summary);
                if !report.violations.is_empty() {
                    println!("{}", report.log);
                    failures.lock().unwrap().push((seed, report.violations));
                }
            });
        }
    });
    let failures = failures.into_inner().unwrap();
    assert!(failures.is_empty(), "rules were broken: {failures:#?}");
}
