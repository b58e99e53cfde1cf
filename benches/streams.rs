//! Benchmarks of stream recovery: `cargo bench --bench streams -- seen|recovery|detection|cost`. `seen` and `recovery` run a
//! node and print the number of protocol violations but assert nothing; the others run without sockets. The figures in
//! `docs/streams.md` come from them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use oorandom::Rand64;
use poppykeel_stream_recovery::{
    GapHistogram, StallDetector, StallLimits, StreamLimits, StreamTranscript,
};
use poppykeel_stub_model_server::{
    check, ClientObservation, ClientOutcome, FaultRule, ReplyFault, ReplyScript, StubServers,
};
use std::sync::Mutex;
use std::time::Instant;
use support::Node;

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
    if is_selected("seen") {
        measure_client_outcomes();
    }
    if is_selected("recovery") {
        measure_recovery();
    }
    if is_selected("detection") {
        measure_stall_detection();
    }
    if is_selected("cost") {
        measure_cost_per_event();
    }
}

/// A quantile of `values`; NaN if there are none. Sorts `values`.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index =
        ((values.len() as f64 * fraction).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(index).copied().unwrap_or(f64::NAN)
}

fn script(rules: Vec<FaultRule>) -> ReplyScript {
    ReplyScript {
        first_token_ms: 5,
        token_gap_ms: 20,
        token_count: 12,
        rules,
    }
}

fn rule(every: u64, is_continuation: Option<bool>, fault: ReplyFault) -> FaultRule {
    FaultRule {
        prompt: None,
        is_continuation,
        every,
        first_of_prompt_only: false,
        max_count: None,
        fault,
    }
}

/// Measures the outcomes of 200 streams with three replicas, one of which truncates or stalls each of its streams. Streams are
/// not continued: the operator file is empty.
fn measure_client_outcomes() {
    let faults = [
        (
            "cuts after 6 of 12 events",
            ReplyFault::CutAfterBytes {
                after: 1000,
                reset: false,
            },
        ),
        (
            "is silent for 3 s in every stream",
            ReplyFault::Stall { after: 6, ms: 3050 },
        ),
        (
            "is silent for 20 s in every stream",
            ReplyFault::Stall {
                after: 6,
                ms: 20_000,
            },
        ),
    ];
    for (what, fault) in faults {
        let faulty = script(vec![rule(1, None, fault)]);
        let servers = StubServers::start(vec![faulty, script(vec![]), script(vec![])]).unwrap();
        let node = Node::builder("seen").replicas(servers.addrs()).start();
        let observations = support::run_clients(&node, 8, 200, 12, |n| format!("seen {n}"));
        let report = check(&observations, &servers.served_requests());
        let faulty_requests = servers
            .served_requests()
            .iter()
            .filter(|r| r.server == 0)
            .count();
        println!(
            "seen: one of three {what}: {} of 200 completed, {} failed, {} rejected; {faulty_requests} requests reached it; {} protocol violations",
            report.completed,
            report.failed,
            report.rejected,
            report.violations.len()
        );
    }
}

/// Measures 10,000 streams, without and with recovery. About one in twenty first attempts is faulty: half of those are
/// truncated, the others stall for a minute.
fn measure_recovery() {
    let faults = || {
        vec![
            rule(
                40,
                Some(false),
                ReplyFault::CutAfterBytes {
                    after: 1000,
                    reset: true,
                },
            ),
            rule(
                39,
                Some(false),
                ReplyFault::Stall {
                    after: 6,
                    ms: 60_000,
                },
            ),
        ]
    };
    let recovery_on = "[streams]\ncontinue = true\nshare = 0.2\n";
    for (what, operator) in [("off", ""), ("on", recovery_on)] {
        let script = ReplyScript {
            token_gap_ms: 2,
            ..script(faults())
        };
        let servers = StubServers::start(vec![script; 4]).unwrap();
        let node = Node::builder(&format!("recovery-{what}"))
            .replicas(servers.addrs())
            .operator(operator)
            .start();
        let durations: Mutex<Vec<(ClientOutcome, f64)>> = Mutex::new(Vec::new());
        let count = 10_000;
        let next = std::sync::atomic::AtomicUsize::new(0);
        let start = Instant::now();
        let observations: Vec<ClientObservation> = std::thread::scope(|scope| {
            let send_requests = || {
                let mut observations = Vec::new();
                loop {
                    let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if n >= count {
                        return observations;
                    }
                    let (prompt, started_at) = (format!("recovery {n}"), Instant::now());
                    let (id, mut stream) = support::send_request(&node, &prompt, 12);
                    let observation = support::read_response(id, &prompt, 12, &mut stream);
                    durations
                        .lock()
                        .unwrap()
                        .push((observation.outcome, started_at.elapsed().as_secs_f64()));
                    observations.push(observation);
                }
            };
            let threads: Vec<_> = (0..64).map(|_| scope.spawn(send_requests)).collect();
            threads
                .into_iter()
                .flat_map(|t| t.join().unwrap())
                .collect()
        });
        let report = check(&observations, &servers.served_requests());
        let durations = durations.into_inner().unwrap();
        let durations_of = |is_wanted: fn(&ClientOutcome) -> bool| -> Vec<f64> {
            durations
                .iter()
                .filter(|t| is_wanted(&t.0))
                .map(|t| t.1)
                .collect()
        };
        let mut failed = durations_of(|o| {
            matches!(o, ClientOutcome::FailedWithError | ClientOutcome::Truncated)
        });
        let mut completed = durations_of(|o| *o == ClientOutcome::Completed);
        println!(
            "recovery {what}: {:.2}% completed ({} continued), {:.2}% failed, {:.2}% rejected in {:.0} s; time to failure \
             p50 {:.2} s, p99 {:.2} s; time to completion p50 {:.3} s, p99 {:.3} s; {} protocol violations; \
             extra tokens {:.2}%",
            report.completed as f64 / count as f64 * 100.0,
            report.continued,
            report.failed as f64 / count as f64 * 100.0,
            report.rejected as f64 / count as f64 * 100.0,
            start.elapsed().as_secs_f64(),
            quantile(&mut failed, 0.5),
            quantile(&mut failed, 0.99),
            quantile(&mut completed, 0.5),
            quantile(&mut completed, 0.99),
            report.violations.len(),
            report.extra_tokens as f64 / (count as f64 * 12.0) * 100.0
        );
    }
}

/// Measures, in simulated time, how many healthy but slow streams are abandoned as stalled, and the silence after which a dead
/// stream is detected.
fn measure_stall_detection() {
    let limits_by_name = [
        ("default limits", StallLimits::default()),
        (
            "fixed 3 s",
            StallLimits {
                min_silence: 3_000_000,
                max_silence: 3_000_000,
                ..StallLimits::default()
            },
        ),
        (
            "fixed 4.6 s",
            StallLimits {
                min_silence: 4_600_000,
                max_silence: 4_600_000,
                ..StallLimits::default()
            },
        ),
    ];
    // Kinds of streams with 100 gaps: a label, the probability that a gap is a long pause, and the longest pause in seconds.
    for (what, pause_probability, max_pause_s) in [
        ("fast", 0.0, 0.0),
        ("slow, pauses to 3.5 s", 0.02, 3.5),
        ("slow, pauses to 4.4 s", 0.02, 4.4),
    ] {
        for (name, limits) in &limits_by_name {
            let (mut rng, mut gaps, mut false_stalls, mut limits_s) =
                (Rand64::new(7), GapHistogram::default(), 0, Vec::new());
            let streams = 2000;
            for _ in 0..streams {
                let limit = gaps.silence_limit(None, limits);
                for _ in 0..100 {
                    let is_pause = rng.rand_float() < pause_probability;
                    let gap = if is_pause {
                        0.5 + (max_pause_s - 0.5) * rng.rand_float()
                    } else {
                        0.08 * rng.rand_float()
                    };
                    let gap = (gap * 1e6) as u64;
                    if gap >= limit {
                        gaps.record_abandoned(limit);
                        false_stalls += 1;
                        break;
                    }
                    gaps.record(gap);
                }
                limits_s.push(gaps.silence_limit(None, limits) as f64 / 1e6);
            }
            println!(
                "detection: {what}, {name}: {:.2}% of healthy streams abandoned; dead streams detected after p50 {:.2} s",
                f64::from(false_stalls) / f64::from(streams) * 100.0,
                quantile(&mut limits_s, 0.5)
            );
        }
    }
}

/// Measures the processing time that stall detection and, for continued streams, the transcript add per forwarded event.
fn measure_cost_per_event() {
    let events = 1_000_000_u64;
    let (mut gaps, mut stall_detector) = (
        GapHistogram::default(),
        StallDetector::new(
            0,
            StreamLimits {
                silence: 3_000_000,
                event_gap: 4_600_000,
            },
            None,
        ),
    );
    let start = Instant::now();
    for n in 0..events {
        if let Some(gap) = stall_detector.record_event(n * 20_000) {
            gaps.record(gap);
        }
    }
    println!(
        "cost: {:.0} ns per event for stall detection",
        start.elapsed().as_nanos() as f64 / events as f64
    );
    let event = b"data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abc \"},\"finish_reason\":null}]}\n\n";
    let mut transcript = StreamTranscript::default();
    let start = Instant::now();
    let transcript_events = events / 40;
    for _ in 0..transcript_events {
        transcript.forward(0, event);
    }
    println!(
        "cost: {:.0} ns more per event if streams are continued",
        start.elapsed().as_nanos() as f64 / transcript_events as f64
    );
}
