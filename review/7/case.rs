//! One of three model servers hangs (its process is stopped) while keyed requests with long bodies are sent, and goes on
//! later. Judged by the model servers' own record of when each request's last byte came.

#[path = "../harness-2.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: usize = 3;
/// `classes[].memorySpan`: for so long model servers recognise a repeat.
const MEMORY_SPAN: f64 = 2.0;
/// By so much the protocol page lengthens each time limit on sockets.
const SLACK: f64 = 0.05;
const HANG: f64 = 6.0;
const REQUESTS: usize = 24;
/// A body holds at most 256 KiB.
const PROMPT_BYTES: usize = 240 * 1024;

const SETTINGS_KEYED: &str = r#"{"balancers":BALANCERS,"me":ME,"zone":0,"zones":["a"],"hostTypes":["k"],"tenants":[],
"classes":[{"name":"order","goalTime":0.5,"giveUp":10.0,"gain":1.0,"lateValue":0.5,"semantics":"keyed","dedupScope":"all","memorySpan":2.0,"streaming":true}],
"limits":{"probes":true,"cancel":true,"secondCopies":true,"mostTries":6,"retryAfter":true,"maxRetryAfter":2.0,
 "dialTimeout":0.5,"keepalive":10.0},
"report":{"source":"off","fields":[]},
"rules":{"drainGrace":0.75,"cold":23.0,"coldFrom":0.15,"overloadFactor":4.0,"fall":1.0,"askEvery":10.0},
"costs":{},"membershipMode":"on_request"}"#;

/// The model servers' receive buffers, so that the case does not depend on the system's default.
const RECEIVE_BUFFER_BYTES: i32 = 64 * 1024;

extern "C" {
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
}

/// A model server: `case server`. Prints its port, then a line for each request whose last byte has come: its id. It begins
/// the request then and answers after 50 ms.
fn run_server() {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        std::process::exit(COULD_NOT_RUN);
    };
    // SAFETY: SO_RCVBUF (8) of SOL_SOCKET (1) takes a pointer to a number that lives throughout the call, and its length.
    unsafe { setsockopt(std::os::fd::AsRawFd::as_raw_fd(&listener), 1, 8, &RECEIVE_BUFFER_BYTES, 4) };
    println!("{}", listener.local_addr().map_or(0, |address| address.port()));
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve_connection(stream));
    }
}

fn serve_connection(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut pending = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut pending) {
        let answer = if request.start_line.starts_with("POST") {
            println!("{} {}", request.header("req-id"), request.body.len());
            thread::sleep(Duration::from_millis(50));
            let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ok\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n", event.len())
        } else {
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_string()
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn send_request(node: SocketAddr, number: usize, prompt_bytes: usize) -> String {
    let body = format!(r#"{{"model":"order","stream":true,"max_tokens":16,"messages":[{{"role":"user","content":"{}"}}]}}"#, "x".repeat(prompt_bytes));
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {:016x}\r\nReq-Kind: order\r\nReq-Key: {:016x}\r\nReq-Deadline: 8.000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        number, 0x7700 + number * 7919, body.len()
    );
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&node, secs(1.0))?;
        stream.set_read_timeout(Some(secs(9.0)))?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        let mut bytes = [0; 512];
        let length = stream.read(&mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap_or("").to_string())
    };
    exchange().unwrap_or_else(|error| error.to_string())
}

/// The bytes that wait at a port, by the kernel's table of sockets: received and not read, and sent and not taken.
fn note_queues(port: u16) {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let at_port = format!(":{port:04X}");
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if fields.len() < 5 || fields[4] == "00000000:00000000" {
            continue;
        }
        let side = if fields[1].ends_with(&at_port) { "received at the hung server, not read" } else if fields[2].ends_with(&at_port) { "held at the node's side, not taken by the hung server" } else { continue };
        let (sent, received) = fields[4].split_once(':').unwrap_or(("0", "0"));
        let hex = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
        note(&format!("{side}: {} bytes (state {})", hex(sent).max(hex(received)), fields[3]));
    }
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("server") {
        run_server();
        return;
    }
    begin();
    let runs: Arc<Mutex<Vec<(f64, usize, String)>>> = Arc::default();
    let mut entries = Vec::new();
    let mut processes = Vec::new();
    for number in 0..SERVERS {
        let mut command = Command::new(std::env::current_exe().unwrap_or_else(|_| "case".into()));
        command.arg("server").stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = start_child("a model server", command);
        let Some(output) = child.stdout.take() else {
            end(COULD_NOT_RUN, "a model server has no output");
        };
        processes.push(child.id());
        keep_child("a model server", child);
        let mut lines = BufReader::new(output).lines();
        let port = lines.next().and_then(Result::ok).and_then(|line| line.parse::<u16>().ok()).unwrap_or(0);
        entries.push(Entry::up(&format!("s-{}", number + 1), SocketAddr::from(([127, 0, 0, 1], port))));
        let runs = runs.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                note(&format!("s-{}: last byte came, request and body: {line}", number + 1));
                if let Ok(mut runs) = runs.lock() {
                    runs.push((now(), number, line.split(' ').next().unwrap_or("").to_string()));
                }
            }
        });
    }
    let hung_port = entries[0].address.port();
    let discovery = Discovery::start(entries);
    let node = FleetNode::new("n1");
    node.write_config_with(0, 1, &discovery, SETTINGS_KEYED);
    node.start_alone();
    wait_until_ready(&[&node]);
    for number in 0..30 {
        let answer = send_request(node.listen, 0x100 + number, 2000);
        if !answer.contains("200") {
            note(&format!("warm-up request: {answer}"));
        }
    }
    if trouble() {
        signal(processes[0], "STOP");
    }
    let hung_at = now();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let address = node.listen;
            sleep(0.03);
            thread::spawn(move || {
                let answer = send_request(address, 0x1000 + number, PROMPT_BYTES);
                note(&format!("request {:016x}: {answer}", 0x1000 + number));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    note_queues(hung_port);
    while now() < hung_at + HANG {
        sleep(0.05);
    }
    if trouble() {
        signal(processes[0], "CONT");
    }
    sleep(3.0);
    let runs = runs.lock().map(|runs| runs.clone()).unwrap_or_default();
    let mut by_request: BTreeMap<String, Vec<(f64, usize)>> = BTreeMap::new();
    for (at, server, id) in runs {
        by_request.entry(id).or_default().push((at, server));
    }
    let mut broken = Vec::new();
    for (id, times) in &by_request {
        let first = times.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
        let last = times.iter().map(|(at, _)| *at).fold(0.0, f64::max);
        if last - first > MEMORY_SPAN + SLACK {
            note(&format!("request {id} came whole {} times, {:.3} s apart", times.len(), last - first));
            broken.push(id.clone());
        }
    }
    if by_request.len() < REQUESTS {
        end(COULD_NOT_RUN, "too few requests came to the model servers");
    }
    match broken.len() {
        0 => end(HELD, "no request came to a second server later than the memory span after the first"),
        count => end(BROKEN, &format!("{count} of {REQUESTS} requests came whole to a second server later than {MEMORY_SPAN} s and {SLACK} s after the first")),
    }
}
