//! Speed of the emulator and cost of scheduling decisions: `cargo bench -p poppykeel-testbed --bench emulator -- speed|decisions|large`.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_testbed::emulator::description::RunDescription;
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::Simulation;
use rayon::prelude::*;
use std::time::Instant;

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let is_selected = |name: &str| selected.is_empty() || selected.iter().any(|p| p == name);
    println!(
        "machine: {} cores",
        std::thread::available_parallelism().map_or(0, usize::from)
    );
    if is_selected("speed") {
        speed();
    }
    if is_selected("decisions") {
        decisions();
    }
    if is_selected("large") {
        large();
    }
}

fn run(servers: usize, nodes: usize, requests: f64) -> RunDescription {
    let mut run = RunDescription::default();
    (run.fleet.servers, run.fleet.nodes) = (servers, nodes);
    run.load.seconds = requests / (run.load.per_server * servers as f64);
    run.check().expect("the description is valid")
}

/// Executes a run. Returns its duration in seconds, its requests and its events.
fn execute(run: &RunDescription, policy: Policy, seed: u64) -> (f64, u64, u64) {
    let start = Instant::now();
    let outcome = Simulation::new(run, policy, seed)
        .and_then(Simulation::finish)
        .expect("a run");
    (
        start.elapsed().as_secs_f64(),
        outcome.all.request_count(),
        outcome.events,
    )
}

fn speed() {
    let run = run(24, 4, 100_000.0);
    for policy in [Policy::Poppykeel, Policy::Random] {
        let (duration_s, requests, events) = execute(&run, policy, 1);
        println!(
            "speed: {policy}, 24 servers, 4 nodes, one core: {:.0} requests/s, {:.0} events/s",
            requests as f64 / duration_s,
            events as f64 / duration_s
        );
        let start = Instant::now();
        let all: u64 = (1..=8u64)
            .into_par_iter()
            .map(|seed| execute(&run, policy, seed).1)
            .sum();
        println!(
            "speed: {policy}, eight seeds over all cores: {:.0} requests/s",
            all as f64 / start.elapsed().as_secs_f64()
        );
    }
}

/// Measures the cost of a request for a growing number of servers, at the same load for each server.
fn decisions() {
    for servers in [10, 100, 1000, 5000] {
        let run = run(servers, 4, 20_000.0);
        let (own, requests, _) = execute(&run, Policy::Poppykeel, 1);
        let (simple, _, _) = execute(&run, Policy::Random, 1);
        println!(
            "decisions: {servers} servers: {:.1} µs a request in all, {:.1} with a random choice, {:.1} more",
            own / requests as f64 * 1e6,
            simple / requests as f64 * 1e6,
            (own - simple) / requests as f64 * 1e6
        );
    }
}

fn large() {
    let run = run(2000, 200, 1_000_000.0);
    let (duration_s, requests, events) = execute(&run, Policy::Poppykeel, 1);
    let process_status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak_memory = process_status
        .lines()
        .find(|l| l.starts_with("VmHWM"))
        .unwrap_or("VmHWM: unknown");
    println!("large: 2,000 servers, 200 nodes, {requests} requests, {events} events: {duration_s:.1} s on one core, {peak_memory}");
}
