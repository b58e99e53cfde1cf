//! Benchmarks of leases: lease grants per second with and without syncs of the log, message rates of a fleet, and request
//! latency with and without a `[fleet]` section. Run them with `cargo bench --bench leases`. The figures in `docs/leases.md`
//! come from them.

#[path = "../tests/support/mod.rs"]
mod support;

use poppykeel_coordination::lease::{
    AcquireRequest, LeaseLogRecord, LeaseRequest, LeaseResponse, LeaseServer, LeaseServerConfig,
};
use poppykeel_coordination::{Epoch, Incarnation, ProcessId};
use poppykeel_durable_log::{DurableLog, FolderDisk};
use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use support::{read_response, send_request, Node};

/// Duration of granted leases, in microseconds.
const LEASE_DURATION: u64 = 5_000_000;
/// Simulated time between grants in microseconds; longer than a lease, so that the previous lease of a task has expired.
const GRANT_INTERVAL: u64 = 6_000_000;
/// Number of tasks whose leases are granted in round-robin order.
const TASKS: u64 = 500;
/// Real time over which grants are counted.
const GRANTS_DURATION: Duration = Duration::from_secs(3);
/// Number of nodes of the fleet.
const NODES: usize = 9;
/// Number of nodes that are lease servers.
const LEASE_SERVERS: usize = 3;
/// Time from the start of a fleet until its message rates are steady.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Time over which messages are counted.
const MESSAGES_DURATION: Duration = Duration::from_secs(10);
/// Number of requests per round and node in the latency benchmark.
const REQUESTS: usize = 1500;
/// Number of rounds of the latency benchmark.
const ROUNDS: usize = 4;
/// Number of tokens of a stub server's response.
const TOKENS: usize = 3;

/// How often the log of grants is synced to disk.
#[derive(Clone, Copy)]
enum Durability {
    /// One sync per this number of grants.
    SyncEach(usize),
    /// No sync at all.
    NoSync,
}

impl Durability {
    /// Number of grants between two checks of the elapsed time. With `SyncEach(n)` for an `n` from 64 to 512, this is also
    /// the number of grants between two syncs.
    fn batch_size(self) -> usize {
        match self {
            Durability::SyncEach(grants) => grants.clamp(64, 512),
            Durability::NoSync => 512,
        }
    }
}

fn acquire(task: u64, epoch: u64) -> LeaseRequest {
    let requester = ProcessId {
        node: format!("n{task}"),
        incarnation: Incarnation(1),
    };
    LeaseRequest::Acquire(AcquireRequest {
        task: format!("task-{}", task % TASKS),
        requester,
        epoch: Epoch(epoch),
        round: epoch,
        duration: LEASE_DURATION,
    })
}

/// The only lease server of its fleet, which has recovered and grants leases.
fn granting_server() -> LeaseServer {
    let config = LeaseServerConfig {
        server_count: 1,
        server_index: 0,
        max_duration: LEASE_DURATION,
        trusts_log: true,
    };
    let recovered = LeaseLogRecord::RecoveryComplete {
        founders: Vec::new(),
    };
    LeaseServer::new(config, Incarnation(1), &[recovered], 0)
}

/// Path of a folder of this process, which does not exist yet.
fn bench_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("bench-{name}-{}", std::process::id()))
}

/// Removes a folder. Errors are ignored, because they do not affect the measurements.
fn remove_folder(folder: PathBuf) {
    let _ = std::fs::remove_dir_all(folder);
}

/// Measures the lease grants per second of one lease server.
fn grants_per_second(durability: Durability) -> f64 {
    let mut server = granting_server();
    let folder = bench_folder("leases");
    let mut log = DurableLog::open(FolderDisk::open(&folder).expect("folder"))
        .expect("log")
        .log;
    let started_at = Instant::now();
    let mut count = 0;
    let mut now = 0;
    while started_at.elapsed() < GRANTS_DURATION {
        for _ in 0..durability.batch_size() {
            count += 1;
            now += GRANT_INTERVAL;
            let output = server.handle(now, acquire(count, count));
            assert!(matches!(
                output.response,
                Some(LeaseResponse::Granted { .. })
            ));
            for record in output.log_records {
                let payload = postcard::to_stdvec(&record).expect("bytes");
                log.append(&payload).expect("append");
            }
            if let Durability::SyncEach(1) = durability {
                log.sync().expect("sync");
            }
        }
        if let Durability::SyncEach(2..) = durability {
            log.sync().expect("sync");
        }
    }
    drop(log);
    remove_folder(folder);
    count as f64 / started_at.elapsed().as_secs_f64()
}

/// An address whose port is free for both UDP and TCP.
fn free_address() -> SocketAddr {
    loop {
        let address = UdpSocket::bind("127.0.0.1:0")
            .and_then(|socket| socket.local_addr())
            .expect("address");
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The admin address of a node, read from its log; `None` if it is not logged yet.
fn admin_address(node: &Node) -> Option<SocketAddr> {
    let log = node.log.lock().ok()?;
    let text = log
        .iter()
        .find_map(|line| line.split("operators call at ").nth(1).map(String::from))?;
    text.split('"').next()?.parse().ok()
}

/// The body of a node's response to `GET /api/fleet`; `None` if the call fails.
fn fleet_status(admin: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(admin).ok()?;
    stream
        .write_all(b"GET /api/fleet HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}

/// Messages and bytes that a node sends: in total, or per second.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: f64,
    bytes: f64,
}

impl Traffic {
    /// Totals since the start of a node; `None` if the node does not report them.
    fn sent_by(node: &Node) -> Option<Traffic> {
        let status = fleet_status(admin_address(node)?)?;
        let counter = |key: &str| status["messages"][key].as_f64().unwrap_or(0.0);
        Some(Traffic {
            messages: counter("sent"),
            bytes: counter("sent_bytes"),
        })
    }

    /// Rate per second between two totals.
    fn rate(before: Traffic, after: Traffic, duration: Duration) -> Traffic {
        Traffic {
            messages: (after.messages - before.messages) / duration.as_secs_f64(),
            bytes: (after.bytes - before.bytes) / duration.as_secs_f64(),
        }
    }

    fn mean(rates: &[Traffic]) -> Traffic {
        let count = rates.len().max(1) as f64;
        Traffic {
            messages: rates.iter().map(|rate| rate.messages).sum::<f64>() / count,
            bytes: rates.iter().map(|rate| rate.bytes).sum::<f64>() / count,
        }
    }

    fn max(rates: &[Traffic]) -> Traffic {
        let mut max = Traffic::default();
        for rate in rates {
            max.messages = max.messages.max(rate.messages);
            max.bytes = max.bytes.max(rate.bytes);
        }
        max
    }
}

/// Starts a fleet of nine nodes, three of them lease servers. Its reports go to an address without a collector.
fn start_fleet(servers: &[SocketAddr], folder: &Path) -> Vec<Node> {
    let addresses: Vec<SocketAddr> = (0..NODES).map(|_| free_address()).collect();
    let lease_servers: Vec<String> = (0..LEASE_SERVERS)
        .map(|server| format!("n{server} = \"{}\"", addresses[server]))
        .collect();
    let start = |(index, address): (usize, &SocketAddr)| {
        let section = format!(
            "[fleet]\nname = \"f\"\nlisten = \"{address}\"\nfolder = {:?}\nkeepers = {{ {} }}\n[fleet.report]\nto = \"127.0.0.1:1\"\n",
            folder.join(index.to_string()).display().to_string(),
            lease_servers.join(", ")
        );
        Node::builder("bench")
            .name(&format!("n{index}"))
            .replicas(servers)
            .operator(&section)
            .start()
    };
    addresses.iter().enumerate().map(start).collect()
}

/// Prints the messages and bytes per second that nodes of an idle fleet send: the mean of all nodes, and those of the busiest
/// lease server.
fn print_message_rates(servers: &[SocketAddr]) {
    let folder = bench_folder("fleet");
    let nodes = start_fleet(servers, &folder);
    std::thread::sleep(SETTLE_TIME);
    let sent = || -> Vec<Traffic> { nodes.iter().filter_map(Traffic::sent_by).collect() };
    let before = sent();
    std::thread::sleep(MESSAGES_DURATION);
    let rates: Vec<Traffic> = sent()
        .into_iter()
        .zip(before)
        .map(|(after, before)| Traffic::rate(before, after, MESSAGES_DURATION))
        .collect();
    let mean = Traffic::mean(&rates);
    let busiest_lease_server = Traffic::max(&rates[..LEASE_SERVERS]);
    println!(
        "nine nodes, three lease servers, 5 s leases, 1 s probes, {} nodes reported:",
        rates.len()
    );
    println!(
        "  mean per node: {:.1} messages/s, {:.0} bytes/s sent",
        mean.messages, mean.bytes
    );
    println!(
        "  busiest lease server: {:.1} messages/s, {:.0} bytes/s sent",
        busiest_lease_server.messages, busiest_lease_server.bytes
    );
    drop(nodes);
    remove_folder(folder);
}

/// The 50th, 90th and 99th percentile of the time to a complete response, in milliseconds.
fn latency_quantiles(node: &Node) -> [f64; 3] {
    let mut latencies: Vec<f64> = Vec::new();
    for number in 0..REQUESTS {
        let prompt = format!("p {number}");
        let started_at = Instant::now();
        let (id, mut stream) = send_request(node, &prompt, TOKENS);
        let answer = read_response(id, &prompt, TOKENS, &mut stream);
        assert_eq!(answer.outcome, ClientOutcome::Completed);
        latencies.push(started_at.elapsed().as_secs_f64() * 1e3);
    }
    latencies.sort_by(f64::total_cmp);
    [0.5, 0.9, 0.99].map(|quantile| latencies[(REQUESTS as f64 * quantile) as usize])
}

/// Prints the latency of a node with `[fleet]` and of one without, in alternating rounds.
fn print_latencies(servers: &[SocketAddr]) {
    let folder = bench_folder("node");
    let address = free_address();
    let section = format!(
        "[fleet]\nname = \"f\"\nlisten = \"{address}\"\nfolder = {:?}\nlease = \"1s\"\nkeepers = {{ n0 = \"{address}\" }}\n\
         [fleet.report]\nto = \"127.0.0.1:1\"\nevery = \"50ms\"\n",
        folder.display().to_string()
    );
    let without = Node::builder("off").name("n0").replicas(servers).start();
    let with = Node::builder("on")
        .name("n0")
        .replicas(servers)
        .operator(&section)
        .start();
    println!("milliseconds to a complete response (p50 p90 p99) without and with [fleet], in alternating rounds:");
    for _ in 0..ROUNDS {
        for (name, node) in [("without", &without), ("with", &with)] {
            let [p50, p90, p99] = latency_quantiles(node);
            println!("  {name:<8} {p50:.2} {p90:.2} {p99:.2}");
        }
    }
    remove_folder(folder);
}

fn main() {
    println!("grants per second of one lease server:");
    for (name, durability) in [
        ("sync per grant", Durability::SyncEach(1)),
        ("sync per 64", Durability::SyncEach(64)),
        ("sync per 512", Durability::SyncEach(512)),
        ("no sync", Durability::NoSync),
    ] {
        let rate = grants_per_second(durability);
        println!("  {name:<14} {rate:>10.0}");
    }
    let script = ReplyScript {
        token_count: TOKENS,
        ..ReplyScript::default()
    };
    let servers = StubServers::start(vec![script]).expect("stub server");
    print_message_rates(servers.addrs());
    print_latencies(servers.addrs());
}
