//! Measurements of streams on loopback sockets and without: `cargo bench --bench streams -- seen|recovery|detection|cost`.
//! Nothing here is asserted but the checker's rules; the figures of `docs/streams.md` come from it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use oorandom::Rand64;
use poppykeel_stream_recovery::{GapHistogram, StallDetector, StallLimits, StreamTranscript};
use poppykeel_stub_model_server::{
    check, ClientObservation, ClientOutcome, FaultRule, ReplyFault, ReplyScript, StubServers,
};
use std::sync::Mutex;
use std::time::Instant;
use support::Node;

fn main() {
    let parts: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let wanted = |name: &str| parts.is_empty() || parts.iter().any(|p| p == name);
    println!(
        "machine: {} cores",
        std::thread::available_parallelism().map_or(0, usize::from)
    );
    if wanted("seen") {
        seen();
    }
    if wanted("recovery") {
        recovery();
    }
    if wanted("detection") {
        detection();
    }
    if wanted("cost") {
        cost();
    }
}

/// A percentile, in the unit of the values.
fn at(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = ((values.len() as f64 * part).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(place).copied().unwrap_or(f64::NAN)
}

fn script(rules: Vec<FaultRule>) -> ReplyScript {
    ReplyScript {
        first_token_ms: 5,
        token_gap_ms: 20,
        token_count: 12,
        rules,
    }
}

fn rule(every: u64, continued: Option<bool>, fault: ReplyFault) -> FaultRule {
    FaultRule {
        prompt: None,
        is_continuation: continued,
        every,
        first_of_prompt_only: false,
        max_count: None,
        fault,
    }
}

/// 200 streams over three servers, one of which cuts or silences every stream of its own; platform's settings.
fn seen() {
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
        let seen = support::run_clients(&node, 8, 200, 12, |n| format!("seen {n}"));
        let verdict = check(&seen, &servers.served_requests());
        let share = servers
            .served_requests()
            .iter()
            .filter(|r| r.server == 0)
            .count();
        println!(
            "seen: one of three {what}: {} of 200 whole, {} half, {} refused; {share} requests went to it; {} broken rules",
            verdict.completed,
            verdict.failed,
            verdict.rejected,
            verdict.violations.len()
        );
    }
}

/// 10,000 streams with one in twenty faulty: half of those cut, half silent for ever.
fn recovery() {
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
    let on = "[streams]\ncontinue = true\nshare = 0.2\n";
    for (what, operator) in [("off", ""), ("on", on)] {
        let script = ReplyScript {
            token_gap_ms: 2,
            ..script(faults())
        };
        let servers = StubServers::start(vec![script; 4]).unwrap();
        let node = Node::builder(&format!("recovery-{what}"))
            .replicas(servers.addrs())
            .operator(operator)
            .start();
        let times: Mutex<Vec<(ClientOutcome, f64)>> = Mutex::new(Vec::new());
        let count = 10_000;
        let next = std::sync::atomic::AtomicUsize::new(0);
        let start = Instant::now();
        let seen: Vec<ClientObservation> = std::thread::scope(|scope| {
            let work = || {
                let mut seen = Vec::new();
                loop {
                    let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if n >= count {
                        return seen;
                    }
                    let (prompt, begun) = (format!("recovery {n}"), Instant::now());
                    let (id, mut stream) = support::send_request(&node, &prompt, 12);
                    let one = support::read_response(id, &prompt, 12, &mut stream);
                    times
                        .lock()
                        .unwrap()
                        .push((one.outcome, begun.elapsed().as_secs_f64()));
                    seen.push(one);
                }
            };
            let threads: Vec<_> = (0..64).map(|_| scope.spawn(work)).collect();
            threads
                .into_iter()
                .flat_map(|t| t.join().unwrap())
                .collect()
        });
        let verdict = check(&seen, &servers.served_requests());
        let times = times.into_inner().unwrap();
        let of = |wanted: fn(&ClientOutcome) -> bool| -> Vec<f64> {
            times.iter().filter(|t| wanted(&t.0)).map(|t| t.1).collect()
        };
        let mut failed =
            of(|o| matches!(o, ClientOutcome::FailedWithError | ClientOutcome::Truncated));
        let mut whole = of(|o| *o == ClientOutcome::Completed);
        println!(
            "recovery {what}: {:.2}% whole ({} continued), {:.2}% failed, {:.2}% refused in {:.0} s; a failure known after \
             p50 {:.2} s, p99 {:.2} s; whole ones p50 {:.3} s, p99 {:.3} s; {} broken rules; extra tokens {:.2}%",
            verdict.completed as f64 / count as f64 * 100.0,
            verdict.continued,
            verdict.failed as f64 / count as f64 * 100.0,
            verdict.rejected as f64 / count as f64 * 100.0,
            start.elapsed().as_secs_f64(),
            at(&mut failed, 0.5),
            at(&mut failed, 0.99),
            at(&mut whole, 0.5),
            at(&mut whole, 0.99),
            verdict.violations.len(),
            verdict.extra_tokens as f64 / (count as f64 * 12.0) * 100.0
        );
    }
}

/// False stalls among healthy but slow streams, and the time until a dead one is noticed, in fed time.
fn detection() {
    let rules = [
        ("the rule", StallLimits::default()),
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
    // Of a slow replica's streams of 100 gaps, so many long pauses of this many seconds.
    for (what, chance, most) in [
        ("fast", 0.0, 0.0),
        ("slow, pauses to 3.5 s", 0.02, 3.5),
        ("slow, to 4.4 s", 0.02, 4.4),
    ] {
        for (name, limits) in &rules {
            let (mut rng, mut gaps, mut lost, mut found) =
                (Rand64::new(7), GapHistogram::default(), 0, Vec::new());
            let streams = 2000;
            for _ in 0..streams {
                let limit = gaps.silence_limit(None, limits);
                for _ in 0..100 {
                    let pause = rng.rand_float() < chance;
                    let gap = if pause {
                        0.5 + (most - 0.5) * rng.rand_float()
                    } else {
                        0.08 * rng.rand_float()
                    };
                    let gap = (gap * 1e6) as u64;
                    if gap >= limit {
                        gaps.record_abandoned(limit);
                        lost += 1;
                        break;
                    }
                    gaps.record(gap);
                }
                found.push(gaps.silence_limit(None, limits) as f64 / 1e6);
            }
            println!(
                "detection: {what}, {name}: {:.2}% of healthy streams given up; a dead one noticed after p50 {:.2} s",
                f64::from(lost) / f64::from(streams) * 100.0,
                at(&mut found, 0.5)
            );
        }
    }
}

/// What is added to each event that passes.
fn cost() {
    let events = 1_000_000_u64;
    let (mut gaps, mut health) = (
        GapHistogram::default(),
        StallDetector::new(0, 3_000_000, None),
    );
    let start = Instant::now();
    for n in 0..events {
        if let Some(gap) = health.record_event(n * 20_000) {
            gaps.record(gap);
        }
    }
    println!(
        "cost: {:.0} ns an event for its gap",
        start.elapsed().as_nanos() as f64 / events as f64
    );
    let event = b"data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abc \"},\"finish_reason\":null}]}\n\n";
    let mut story = StreamTranscript::default();
    let start = Instant::now();
    let some = events / 40;
    for _ in 0..some {
        story.forward(0, event);
    }
    println!(
        "cost: {:.0} ns an event more where streams are continued",
        start.elapsed().as_nanos() as f64 / some as f64
    );
}
