//! Measurements of membership on loopback sockets, with the node as a process of its own:
//! `cargo bench --bench endpoints -- drains|records|scale|latency`. Nothing here is asserted; the figures of
//! `docs/membership.md` come from it. Every part is bounded in number and time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::single_match_else,
    reason = "not yet converted"
)]

use poppykeel_stub_dns_server::{Record, Script, Standin};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "_s._t";

fn main() {
    let parts: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let wanted = |name: &str| parts.is_empty() || parts.iter().any(|p| p == name);
    let cores = thread::available_parallelism().map_or(0, usize::from);
    println!("machine: {cores} cores");
    if wanted("drains") {
        drains(1000);
    }
    if wanted("records") {
        records(40);
    }
    if wanted("latency") {
        latency();
    }
    if wanted("scale") {
        scale();
    }
}

/// A percentile of times, in milliseconds.
fn at(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let place = ((times.len() as f64 * part).ceil() as usize).clamp(1, times.len().max(1)) - 1;
    times.get(place).copied().unwrap_or(f64::NAN)
}

/// A model server that answers each request with one event, and notes when requests came.
struct Replica {
    addr: SocketAddr,
    last: Arc<Mutex<Option<Instant>>>,
}

impl Replica {
    fn start() -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, last) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(None)));
        let noted = last.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let noted = noted.clone();
                thread::spawn(move || {
                    let _ = answer(stream, &noted);
                });
            }
        });
        Replica { addr, last }
    }
}

fn answer(stream: TcpStream, noted: &Mutex<Option<Instant>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut read, mut write) = (BufReader::new(stream.try_clone()?), stream);
    let mut line = String::new();
    loop {
        line.clear();
        if read.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if line == "\r\n" {
            *noted.lock().unwrap() = Some(Instant::now());
            let event =
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                         9\r\ndata: 1\n\n\r\n0\r\n\r\n";
            write.write_all(event.as_bytes())?;
        }
    }
}

/// A discovery whose list is changed here; watches wait for it.
#[derive(Clone)]
struct Discovery(Arc<(Mutex<(u64, String)>, Condvar)>);

impl Discovery {
    fn start() -> (Discovery, SocketAddr) {
        let own = Discovery(Arc::new((
            Mutex::new((1, "[]".to_string())),
            Condvar::new(),
        )));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, shared) = (listener.local_addr().unwrap(), own.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        (own, addr)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut read, mut write) = (BufReader::new(stream.try_clone()?), stream);
        let mut since = 0;
        loop {
            let mut line = String::new();
            if read.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(rest) = line.split("since=").nth(1) {
                since = rest
                    .split('&')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
            }
            if line == "\r\n" {
                let (lock, changed) = &*self.0;
                let limit = Duration::from_secs(15);
                let state = lock.lock().unwrap();
                let (state, _) = changed
                    .wait_timeout_while(state, limit, |s| s.0 <= since)
                    .unwrap();
                let full = since == 0;
                let body = format!(
                    r#"{{"version":{},"full":{full},"servers":{}}}"#,
                    state.0, state.1
                );
                drop(state);
                write!(
                    write,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )?;
            }
        }
    }

    fn set(&self, servers: String) {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        *state = (state.0 + 1, servers);
        changed.notify_all();
    }
}

fn server(n: usize, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

struct Node {
    child: Child,
    addr: SocketAddr,
    files: Vec<PathBuf>,
}

impl Node {
    fn start(discovery: SocketAddr, operator: Option<String>) -> Node {
        let file = |name: &str, text: String| {
            let path = std::env::temp_dir().join(format!("bench-{}-{name}", std::process::id()));
            std::fs::write(&path, text).unwrap();
            path
        };
        let config = include_str!("../../tests/exchanges/config.json");
        let known = config.find("\"known\"").unwrap()..config.find("\"settings\"").unwrap();
        let config = config
            .replace(&config[known], "")
            .replace("DISCOVERY", &discovery.to_string());
        let mut files = vec![file("config.json", config)];
        let mut command = Command::new(env!("CARGO_BIN_EXE_poppykeel"));
        command.args(["serve", "--config"]).arg(&files[0]);
        if let Some(text) = operator {
            files.push(file("operator.toml", text));
            command.arg("--operator").arg(&files[1]);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let line = log.find(|l| l.contains("serving on")).unwrap();
        thread::spawn(move || log.for_each(drop));
        let addr = line
            .split("serving on ")
            .nth(1)
            .and_then(|l| l.split(' ').next())
            .unwrap();
        Node {
            child,
            addr: addr.parse().unwrap(),
            files,
        }
    }

    /// Processor time used so far, in seconds, and the most memory held, in MB.
    fn used(&self) -> (f64, f64) {
        let read = |name: &str| {
            std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
        };
        let stat = read("stat");
        let after = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 = after
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|t| t.parse::<f64>().ok())
            .sum();
        let status = read("status");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak = peak
            .and_then(|l| l.split_whitespace().next())
            .and_then(|n| n.parse::<f64>().ok());
        (ticks / 100.0, peak.unwrap_or(f64::NAN) / 1024.0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files
            .iter()
            .for_each(|f| drop(std::fs::remove_file(f)));
    }
}

/// Clients that ask one after the other until told to stop; each answer's time, in milliseconds.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<f64>>>,
}

static IDS: AtomicU64 = AtomicU64::new(1);

impl Clients {
    fn start(node: SocketAddr, count: usize, pause: Duration) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let run = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let mut times = Vec::new();
                let mut stream = TcpStream::connect(node).unwrap();
                stream.set_nodelay(true).unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_secs(30)))
                    .unwrap();
                let mut held = [0; 4096];
                while !stop.load(Ordering::Relaxed) {
                    let id = IDS.fetch_add(1, Ordering::Relaxed);
                    let start = Instant::now();
                    let ask = format!(
                        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Kind: chat\r\n\
                         Req-Deadline: 20\r\nContent-Length: 0\r\n\r\n"
                    );
                    stream.write_all(ask.as_bytes()).unwrap();
                    let mut text = Vec::new();
                    while !text.ends_with(b"0\r\n\r\n") {
                        match stream.read(&mut held) {
                            Ok(n @ 1..) => text.extend_from_slice(&held[..n]),
                            end => panic!("{end:?} after {}", String::from_utf8_lossy(&text)),
                        }
                        if !text.starts_with(b"HTTP/1.1 2") {
                            break;
                        }
                    }
                    times.push(start.elapsed().as_secs_f64() * 1e3);
                    thread::sleep(pause);
                }
                times
            })
        };
        let threads = (0..count).map(run).collect();
        Clients { stop, threads }
    }

    fn stop(self) -> Vec<f64> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .flat_map(|t| t.join().unwrap())
            .collect()
    }
}

fn operator(dns: &Standin, sources: &str, floor: &str) -> String {
    format!(
        "[membership]\nsources = {sources}\nhold = 0\n[membership.srv]\nname = \"{SERVICE}\"\n\
         servers = [\"{}\"]\nttl_floor = \"{floor}\"\nflap_hold = 0\n",
        dns.addr()
    )
}

fn standin(script: Script) -> Standin {
    Standin::start("127.0.0.1:0".parse().unwrap(), script).unwrap()
}

/// From a drain told by discovery to the last new request at the server, while DNS lists it all along.
fn drains(count: usize) {
    let replicas: Vec<Replica> = (0..4).map(|_| Replica::start()).collect();
    let addrs: Vec<SocketAddr> = replicas.iter().map(|r| r.addr).collect();
    let (discovery, place) = Discovery::start();
    let all: Vec<String> = addrs
        .iter()
        .enumerate()
        .map(|(n, a)| server(n, *a, "up"))
        .collect();
    discovery.set(format!("[{}]", all.join(",")));
    let dns = standin(Script::service(SERVICE, 0, &addrs));
    let node = Node::start(place, Some(operator(&dns, "[\"list\", \"srv\"]", "50ms")));
    let clients = Clients::start(node.addr, 16, Duration::ZERO);
    thread::sleep(Duration::from_secs(1));
    let (mut times, mut unused) = (Vec::new(), 0);
    for n in 0..count {
        let (place, replica) = (n % addrs.len(), &replicas[n % addrs.len()]);
        let told = Instant::now();
        discovery.set(format!("[{}]", server(place, replica.addr, "draining")));
        thread::sleep(Duration::from_millis(40));
        let last = *replica.last.lock().unwrap();
        match last.filter(|l| *l > told) {
            Some(last) => times.push((last - told).as_secs_f64() * 1e3),
            None => {
                times.push(0.0);
                unused += 1;
            }
        }
        discovery.set(format!("[{}]", all[place]));
        thread::sleep(Duration::from_millis(10));
    }
    let served = clients.stop().len();
    let asked: u64 = dns.asked().values().sum();
    println!(
        "drains: {count} while DNS listed the server ({asked} questions, {served} requests); last new send after \
         p50 {:.2} ms, p99 {:.2} ms, most {:.2} ms ({unused} had none)",
        at(&mut times, 0.5),
        at(&mut times, 0.99),
        at(&mut times, 1.0)
    );
}

/// From a new record to the first request at its server.
fn records(count: usize) {
    let replicas: Vec<Replica> = (0..2).map(|_| Replica::start()).collect();
    let addrs: Vec<SocketAddr> = replicas.iter().map(|r| r.addr).collect();
    let (_discovery, place) = Discovery::start();
    for ttl in [1, 2] {
        let dns = standin(Script::service(SERVICE, ttl, &addrs[..1]));
        let node = Node::start(place, Some(operator(&dns, "[\"srv\"]", "1s")));
        let clients = Clients::start(node.addr, 4, Duration::from_millis(1));
        thread::sleep(Duration::from_millis(1500));
        let mut times = Vec::new();
        for n in 0..count / ttl as usize {
            thread::sleep(Duration::from_millis(37 * (n as u64 % 17)));
            let told = Instant::now();
            dns.set(Script::service(SERVICE, ttl, &addrs));
            while replicas[1].last.lock().unwrap().is_none_or(|l| l < told)
                && told.elapsed().as_secs() < 9
            {
                thread::sleep(Duration::from_millis(1));
            }
            times.push(told.elapsed().as_secs_f64() * 1e3);
            dns.set(Script::service(SERVICE, ttl, &addrs[..1]));
            thread::sleep(Duration::from_millis(1100 * u64::from(ttl)));
        }
        clients.stop();
        println!(
            "records: lifetime {ttl} s, first send after p50 {:.0} ms, most {:.0} ms of {} new records",
            at(&mut times, 0.5),
            at(&mut times, 1.0),
            times.len()
        );
    }
}

/// 2,000 records with short names, so that they fit into one message; `turn` of them are others each time.
fn many(round: usize, change: usize, addr: SocketAddr) -> Script {
    let mut script = Script {
        chase: true,
        ..Script::default()
    };
    for n in 0..2000_usize {
        // The last ones change: a new target with a new address.
        let name = if n < change {
            format!("{}.t", 2000 + round * change + n)
        } else {
            format!("{n}.t")
        };
        let number = if n < change {
            2000 + (round * change + n) % 30_000
        } else {
            n
        };
        let ip = format!(
            "127.{}.{}.{}",
            2 + number / 40_000,
            number / 200 % 200 + 1,
            number % 200 + 1
        );
        let data = format!("10 1 {} {name}", addr.port());
        script.record.push(Record {
            name: SERVICE.into(),
            kind: "SRV".into(),
            ttl: 1,
            data,
        });
        script.record.push(Record {
            name,
            kind: "A".into(),
            ttl: 300,
            data: ip,
        });
    }
    script
}

/// Processor time and memory of a node that looks up 2,000 servers each second.
fn scale() {
    let replica = Replica::start();
    let (_discovery, place) = Discovery::start();
    for (what, change) in [("none", None), ("0%", Some(0)), ("1%", Some(20))] {
        let dns = standin(many(0, change.unwrap_or(0), replica.addr));
        let text = change.map(|_| operator(&dns, "[\"srv\"]", "1s"));
        let node = Node::start(place, text);
        thread::sleep(Duration::from_secs(5));
        let (before, _) = node.used();
        let rounds = 20;
        for round in 0..rounds {
            if let Some(change) = change.filter(|c| *c > 0) {
                dns.set(many(round + 1, change, replica.addr));
            }
            thread::sleep(Duration::from_secs(1));
        }
        let (after, peak) = node.used();
        let asked: u64 = dns.asked().values().sum();
        println!(
            "scale: 2,000 servers, {what} of records changing a second: {:.1}% of a core, {peak:.1} MB at most, \
             {asked} questions",
            (after - before) / rounds as f64 * 100.0
        );
    }
}

/// What looking up adds to a request, list alone and list with 2,000 records in turn.
fn latency() {
    let replicas: Vec<Replica> = (0..4).map(|_| Replica::start()).collect();
    let addrs: Vec<SocketAddr> = replicas.iter().map(|r| r.addr).collect();
    let (discovery, place) = Discovery::start();
    let all: Vec<String> = addrs
        .iter()
        .enumerate()
        .map(|(n, a)| server(n, *a, "up"))
        .collect();
    discovery.set(format!("[{}]", all.join(",")));
    let (small, large) = (Script::service(SERVICE, 1, &addrs), many(0, 0, addrs[0]));
    // The large zone's servers are not there: the list's are, and only those may be asked.
    let (small_dns, large_dns) = (standin(small), standin(large));
    let small = operator(&small_dns, "[\"list\", \"srv\"]", "1s");
    let large = operator(&large_dns, "[\"list\", \"srv\"]", "1s").replacen(
        "hold",
        "standby = true\nhold",
        1,
    );
    for _ in 0..2 {
        for (what, text) in [
            ("list", None),
            ("list and 4 records", Some(&small)),
            ("list and 2,000", Some(&large)),
        ] {
            let node = Node::start(place, text.cloned());
            thread::sleep(Duration::from_secs(3));
            let clients = Clients::start(node.addr, 4, Duration::from_millis(2));
            thread::sleep(Duration::from_secs(8));
            let mut times = clients.stop();
            println!(
                "latency: {what}: p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms of {} requests",
                at(&mut times, 0.5),
                at(&mut times, 0.99),
                at(&mut times, 0.999),
                times.len()
            );
        }
    }
}
