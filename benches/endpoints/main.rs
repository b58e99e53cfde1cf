//! Benchmarks of the endpoint sources on loopback sockets, with the node in a process of its own. Run them with
//! `cargo bench --bench endpoints -- drains|records|latency|scale`. They assert nothing; their numbers of rounds and their
//! waits are limited. The figures in `docs/membership.md` come from them.

#![allow(clippy::unwrap_used, reason = "a benchmark fails by panicking")]

mod load;
mod node;
mod stubs;

use load::{quantile, Clients};
use node::Node;
use poppykeel_stub_dns_server::{Script, StubDnsServer, ZoneRecord};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use stubs::{listed_endpoint, Discovery, Replica};

/// The SRV name that the node looks up.
const SERVICE: &str = "_s._t";
/// Number of drains to measure.
const DRAIN_COUNT: usize = 1000;
/// Number of new records to measure with a TTL of one second; divided by the TTL in seconds for longer ones.
const NEW_RECORD_COUNT: usize = 40;
/// Number of SRV records in a large zone.
const LARGE_ZONE_RECORD_COUNT: usize = 2000;
/// Number of rounds of one second over which CPU time is measured.
const SCALE_ROUND_COUNT: usize = 20;
/// Value of `sources` in the operator file for the discovery service's list and SRV records.
const LIST_AND_SRV: &str = "[\"list\", \"srv\"]";
/// Value of `sources` in the operator file for SRV records only.
const SRV_ALONE: &str = "[\"srv\"]";

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'))
        .collect();
    let is_selected =
        |name: &str| selected.is_empty() || selected.iter().any(|argument| argument == name);
    let core_count = thread::available_parallelism().map_or(0, usize::from);
    println!("machine: {core_count} cores");
    if is_selected("drains") {
        measure_drains();
    }
    if is_selected("records") {
        measure_new_records();
    }
    if is_selected("latency") {
        measure_latency();
    }
    if is_selected("scale") {
        measure_scale();
    }
}

/// Formats an operator file with these endpoint sources and this minimum TTL.
fn format_operator_file(dns: &StubDnsServer, sources: &str, ttl_floor: &str) -> String {
    format!(
        "[membership]\nsources = {sources}\nhold = 0\n[membership.srv]\nname = \"{SERVICE}\"\n\
         servers = [\"{}\"]\nttl_floor = \"{ttl_floor}\"\nflap_hold = 0\n",
        dns.addr()
    )
}

fn start_dns(script: Script) -> StubDnsServer {
    StubDnsServer::start("127.0.0.1:0".parse().unwrap(), script).unwrap()
}

fn start_replicas(count: usize) -> (Vec<Replica>, Vec<SocketAddr>) {
    let replicas: Vec<Replica> = (0..count).map(|_| Replica::start()).collect();
    let addrs = replicas.iter().map(|replica| replica.addr).collect();
    (replicas, addrs)
}

fn available_endpoints(addrs: &[SocketAddr]) -> Vec<String> {
    addrs
        .iter()
        .enumerate()
        .map(|(number, addr)| listed_endpoint(number, *addr, "up"))
        .collect()
}

/// Measures the time from a drain in discovery's list to the last request that reaches the replica. DNS lists the replica
/// throughout.
fn measure_drains() {
    let (replicas, addrs) = start_replicas(4);
    let (discovery, discovery_addr) = Discovery::start();
    let available = available_endpoints(&addrs);
    discovery.set_endpoints(&available);
    let dns = start_dns(Script::service(SERVICE, 0, &addrs));
    let operator = format_operator_file(&dns, LIST_AND_SRV, "50ms");
    let node = Node::start(discovery_addr, Some(&operator));
    let clients = Clients::start(node.addr, 16, Duration::ZERO);
    thread::sleep(Duration::from_secs(1));
    let mut latencies_ms = Vec::new();
    let mut without_request_count = 0;
    for round in 0..DRAIN_COUNT {
        let number = round % addrs.len();
        let replica = &replicas[number];
        let drained_at = Instant::now();
        discovery.set_endpoints(&[listed_endpoint(number, replica.addr, "draining")]);
        thread::sleep(Duration::from_millis(40));
        let last_request_at = replica.last_request_at();
        if let Some(last) = last_request_at.filter(|last| *last > drained_at) {
            latencies_ms.push((last - drained_at).as_secs_f64() * 1e3);
        } else {
            latencies_ms.push(0.0);
            without_request_count += 1;
        }
        discovery.set_endpoints(&available[number..=number]);
        thread::sleep(Duration::from_millis(10));
    }
    let served_count = clients.stop().len();
    let question_count: u64 = dns.question_counts().values().sum();
    println!(
        "drains: {DRAIN_COUNT} while DNS listed the replica ({question_count} DNS questions, {served_count} requests); \
         last request after p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms ({without_request_count} drains without a later request)",
        quantile(&mut latencies_ms, 0.5),
        quantile(&mut latencies_ms, 0.99),
        quantile(&mut latencies_ms, 1.0)
    );
}

/// Measures the time from the addition of a DNS record to the first request at its replica.
fn measure_new_records() {
    let (replicas, addrs) = start_replicas(2);
    let (_discovery, discovery_addr) = Discovery::start();
    for ttl_s in [1, 2] {
        let dns = start_dns(Script::service(SERVICE, ttl_s, &addrs[..1]));
        let operator = format_operator_file(&dns, SRV_ALONE, "1s");
        let node = Node::start(discovery_addr, Some(&operator));
        let clients = Clients::start(node.addr, 4, Duration::from_millis(1));
        thread::sleep(Duration::from_millis(1500));
        let mut latencies_ms = Vec::new();
        for round in 0..NEW_RECORD_COUNT / ttl_s as usize {
            // Varies when, within the TTL of the previous answer, the record is added.
            thread::sleep(Duration::from_millis(37 * (round as u64 % 17)));
            let added_at = Instant::now();
            dns.set_script(Script::service(SERVICE, ttl_s, &addrs));
            while replicas[1]
                .last_request_at()
                .is_none_or(|last| last < added_at)
                && added_at.elapsed().as_secs() < 9
            {
                thread::sleep(Duration::from_millis(1));
            }
            latencies_ms.push(added_at.elapsed().as_secs_f64() * 1e3);
            dns.set_script(Script::service(SERVICE, ttl_s, &addrs[..1]));
            thread::sleep(Duration::from_millis(1100 * u64::from(ttl_s)));
        }
        clients.stop();
        println!(
            "records: TTL {ttl_s} s, first request after p50 {:.0} ms, max {:.0} ms of {} new records",
            quantile(&mut latencies_ms, 0.5),
            quantile(&mut latencies_ms, 1.0),
            latencies_ms.len()
        );
    }
}

/// A zone of 2,000 SRV records, whose names are so short that one DNS message holds them all. In each round the first
/// `changing_count` records get new targets with new addresses; all have the port of `addr`.
fn large_zone(round: usize, changing_count: usize, addr: SocketAddr) -> Script {
    let mut script = Script {
        follows_aliases: true,
        ..Script::default()
    };
    for record in 0..LARGE_ZONE_RECORD_COUNT {
        let is_changing = record < changing_count;
        let change = round * changing_count + record;
        let name = if is_changing {
            format!("{}.t", 2000 + change)
        } else {
            format!("{record}.t")
        };
        let address_number = if is_changing {
            2000 + change % 30_000
        } else {
            record
        };
        let ip = format!(
            "127.{}.{}.{}",
            2 + address_number / 40_000,
            address_number / 200 % 200 + 1,
            address_number % 200 + 1
        );
        script.records.push(ZoneRecord {
            name: SERVICE.into(),
            record_type: "SRV".into(),
            ttl: 1,
            data: format!("10 1 {} {name}", addr.port()),
        });
        script.records.push(ZoneRecord {
            name,
            record_type: "A".into(),
            ttl: 300,
            data: ip,
        });
    }
    script
}

/// Measures CPU time and memory of a node that looks up 2,000 SRV records each second, and of one without look-ups.
fn measure_scale() {
    let replica = Replica::start();
    let (_discovery, discovery_addr) = Discovery::start();
    for (label, changing_count) in [
        ("without look-ups", None),
        ("0% changed per second", Some(0)),
        ("1% changed per second", Some(20)),
    ] {
        let dns = start_dns(large_zone(0, changing_count.unwrap_or(0), replica.addr));
        let operator = changing_count.map(|_| format_operator_file(&dns, SRV_ALONE, "1s"));
        let node = Node::start(discovery_addr, operator.as_deref());
        thread::sleep(Duration::from_secs(5));
        let before = node.usage();
        for round in 0..SCALE_ROUND_COUNT {
            if let Some(changing_count) = changing_count.filter(|count| *count > 0) {
                dns.set_script(large_zone(round + 1, changing_count, replica.addr));
            }
            thread::sleep(Duration::from_secs(1));
        }
        let after = node.usage();
        let question_count: u64 = dns.question_counts().values().sum();
        println!(
            "scale: 2,000 SRV records, {label}: {:.1}% of a core, peak memory {:.1} MB, \
             {question_count} DNS questions",
            (after.cpu_s - before.cpu_s) / SCALE_ROUND_COUNT as f64 * 100.0,
            after.peak_memory_mb
        );
    }
}

/// Measures the effect of DNS look-ups on request latency: with discovery's list only, with the list and 4 SRV records, and
/// with the list and 2,000.
fn measure_latency() {
    let (_replicas, addrs) = start_replicas(4);
    let (discovery, discovery_addr) = Discovery::start();
    discovery.set_endpoints(&available_endpoints(&addrs));
    let small_zone = start_dns(Script::service(SERVICE, 1, &addrs));
    let large_zone = start_dns(large_zone(0, 0, addrs[0]));
    let small = format_operator_file(&small_zone, LIST_AND_SRV, "1s");
    // Nothing listens at the addresses of the large zone: with `standby`, all requests go to the endpoints of the list.
    let large = format_operator_file(&large_zone, LIST_AND_SRV, "1s").replacen(
        "hold",
        "standby = true\nhold",
        1,
    );
    for _ in 0..2 {
        for (label, operator) in [
            ("list", None),
            ("list and 4 records", Some(small.as_str())),
            ("list and 2,000", Some(large.as_str())),
        ] {
            let node = Node::start(discovery_addr, operator);
            thread::sleep(Duration::from_secs(3));
            let clients = Clients::start(node.addr, 4, Duration::from_millis(2));
            thread::sleep(Duration::from_secs(8));
            let mut latencies_ms = clients.stop();
            println!(
                "latency: {label}: p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms of {} requests",
                quantile(&mut latencies_ms, 0.5),
                quantile(&mut latencies_ms, 0.99),
                quantile(&mut latencies_ms, 0.999),
                latencies_ms.len()
            );
        }
    }
}
