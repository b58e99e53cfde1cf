//! What leases cost: grants a second by how they are kept, a fleet's messages, and a node's requests with and without
//! `[fleet]`. `cargo bench --bench leases`; the figures of docs/leases.md are from it.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

#[allow(dead_code)] // the rest is for tests
#[path = "../tests/support/mod.rs"]
mod support;

use poppykeel_coordination::lease::{
    AcquireRequest, LeaseLogRecord, LeaseRequest, LeaseResponse, LeaseServer, LeaseServerConfig,
};
use poppykeel_coordination::{Epoch, Incarnation, ProcessId};
use poppykeel_durable_log::{Files, Log};
use poppykeel_stub_model_server::{Outcome, Script, Standin};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use support::{ask, read, Node};

fn acquire(task: u64, epoch: u64) -> LeaseRequest {
    let requester = ProcessId {
        node: format!("n{task}"),
        incarnation: Incarnation(1),
    };
    LeaseRequest::Acquire(AcquireRequest {
        task: format!("task-{}", task % 500),
        requester,
        epoch: Epoch(epoch),
        round: epoch,
        duration: 5_000_000,
    })
}

/// Grants a second of one keeper, `group` of them behind one sync; without any at `usize::MAX`.
fn grants(group: usize, span: Duration) -> f64 {
    let config = LeaseServerConfig {
        server_count: 1,
        server_index: 0,
        max_duration: 5_000_000,
        trusts_log: true,
    };
    let recovered = LeaseLogRecord::RecoveryComplete {
        founders: Vec::new(),
    };
    let mut server = LeaseServer::new(config, Incarnation(1), &[recovered], 0);
    let folder = std::env::temp_dir().join(format!("bench-leases-{}", std::process::id()));
    let (mut log, _) = Log::open(Files::open(&folder).expect("folder")).expect("log");
    let (began, mut count, mut now) = (Instant::now(), 0u64, 0);
    while began.elapsed() < span {
        for _ in 0..group.clamp(64, 512) {
            count += 1;
            // Each finds the one before it over.
            now += 6_000_000;
            let output = server.handle(now, acquire(count, count));
            assert!(matches!(
                output.response,
                Some(LeaseResponse::Granted { .. })
            ));
            for record in output.log_records {
                log.append(&postcard::to_stdvec(&record).expect("bytes"))
                    .expect("append");
            }
            if group == 1 {
                log.sync().expect("sync");
            }
        }
        if group > 1 && group != usize::MAX {
            log.sync().expect("sync");
        }
    }
    drop(log);
    let _ = std::fs::remove_dir_all(folder);
    count as f64 / began.elapsed().as_secs_f64()
}

fn port() -> SocketAddr {
    loop {
        let addr = UdpSocket::bind("127.0.0.1:0")
            .and_then(|s| s.local_addr())
            .expect("port");
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn admin(node: &Node) -> Option<SocketAddr> {
    let log = node.log.lock().ok()?;
    let text = log
        .iter()
        .find_map(|l| l.split("operators call at ").nth(1).map(String::from))?;
    text.split('"').next()?.parse().ok()
}

fn status(at: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream
        .write_all(b"GET /api/fleet HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}

/// Messages and bytes a second that nodes of a fleet of nine send: the mean, and the busiest keeper.
fn messages(servers: &[SocketAddr]) {
    let at: Vec<SocketAddr> = (0..9).map(|_| port()).collect();
    let keepers: Vec<String> = (0..3).map(|k| format!("n{k} = \"{}\"", at[k])).collect();
    let folder = std::env::temp_dir().join(format!("bench-fleet-{}", std::process::id()));
    let node = |n: usize| {
        let operator = format!(
            "[fleet]\nname = \"f\"\nlisten = \"{}\"\nfolder = {:?}\nkeepers = {{ {} }}\n[fleet.report]\nto = \"127.0.0.1:1\"\n",
            at[n],
            folder.join(n.to_string()).display().to_string(),
            keepers.join(", ")
        );
        Node::named(&format!("n{n}"), "bench", servers, &operator)
    };
    let nodes: Vec<Node> = (0..9).map(node).collect();
    std::thread::sleep(Duration::from_secs(12));
    let sent = || -> Vec<(f64, f64)> {
        let all = nodes.iter().filter_map(|n| status(admin(n)?));
        let figure = |s: &Value, key: &str| s["messages"][key].as_f64().unwrap_or(0.0);
        all.map(|s| (figure(&s, "sent"), figure(&s, "sent_bytes")))
            .collect()
    };
    let (before, span) = (sent(), 10.0);
    std::thread::sleep(Duration::from_secs_f64(span));
    let rates: Vec<(f64, f64)> = sent()
        .iter()
        .zip(&before)
        .map(|(a, b)| ((a.0 - b.0) / span, (a.1 - b.1) / span))
        .collect();
    let mean = |all: &[(f64, f64)]| {
        let n = all.len().max(1) as f64;
        (
            all.iter().map(|r| r.0).sum::<f64>() / n,
            all.iter().map(|r| r.1).sum::<f64>() / n,
        )
    };
    let (all, keeper) = (
        mean(&rates),
        rates[..3]
            .iter()
            .fold((0.0f64, 0.0f64), |a, b| (a.0.max(b.0), a.1.max(b.1))),
    );
    println!(
        "nine nodes, three keepers, 5 s leases, 1 s probes, {} answered:",
        rates.len()
    );
    println!(
        "  a node sends {:.1} messages and {:.0} bytes a second",
        all.0, all.1
    );
    println!(
        "  the busiest keeper {:.1} messages and {:.0} bytes a second",
        keeper.0, keeper.1
    );
    drop(nodes);
    let _ = std::fs::remove_dir_all(folder);
}

/// Milliseconds to a whole answer, by quantile.
fn latency(node: &Node, count: usize) -> [f64; 3] {
    let mut all: Vec<f64> = (0..count)
        .map(|n| {
            let (prompt, began) = (format!("p {n}"), Instant::now());
            let (id, mut stream) = ask(node, &prompt, 3);
            assert_eq!(read(id, &prompt, 3, &mut stream).outcome, Outcome::Whole);
            began.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    all.sort_by(f64::total_cmp);
    [0.5, 0.9, 0.99].map(|part| all[(count as f64 * part) as usize])
}

fn main() {
    let span = Duration::from_secs(3);
    println!("grants a second of one keeper:");
    for (name, group) in [
        ("a sync each", 1),
        ("a sync for 64", 64),
        ("a sync for 512", 512),
        ("no sync", usize::MAX),
    ] {
        let rate = grants(group, span);
        println!("  {name:<14} {rate:>10.0}");
    }
    let servers = Standin::start(vec![Script {
        tokens: 3,
        ..Script::default()
    }])
    .expect("stand-in");
    messages(servers.addrs());
    let folder = std::env::temp_dir().join(format!("bench-node-{}", std::process::id()));
    let at = port();
    let operator = format!(
        "[fleet]\nname = \"f\"\nlisten = \"{at}\"\nfolder = {:?}\nlease = \"1s\"\nkeepers = {{ n0 = \"{at}\" }}\n\
         [fleet.report]\nto = \"127.0.0.1:1\"\nevery = \"50ms\"\n",
        folder.display().to_string()
    );
    let (without, with) = (
        Node::named("n0", "off", servers.addrs(), ""),
        Node::named("n0", "on", servers.addrs(), &operator),
    );
    println!("milliseconds to a whole answer, p50 p90 p99, by turns:");
    for _ in 0..4 {
        for (name, node) in [("without", &without), ("with", &with)] {
            let [p50, p90, p99] = latency(node, 1500);
            println!("  {name:<8} {p50:.2} {p90:.2} {p99:.2}");
        }
    }
    let _ = std::fs::remove_dir_all(folder);
}
