//! Clients that take much: floods of small or unsound requests at full speed, and hundreds of connections that are slow in each
//! direction at once. Guards against other clients that are served late or never, and against memory that grows beyond the limit.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use support::{format_request, read_response, send_request_within, Node};

/// Requests of other clients during a flood, one after the other.
const OTHER_REQUESTS: usize = 40;
/// The deadline of other clients' requests.
const DEADLINE_S: f64 = 2.0;
/// A third of the memory limit of the node, which is 192 MB.
const MAX_MEMORY_KB: u64 = 64 * 1024;
const FLOODS: u64 = 16;

/// A value of `/proc/PID/status` in kB.
fn memory_kb(node: &Node, key: &str) -> u64 {
    let path = format!("/proc/{}/status", node.child.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find(|line| line.starts_with(key)).unwrap();
    let value = line.split_whitespace().nth(1).unwrap();
    value.parse().unwrap()
}

fn start(test: &str) -> (StubServers, Node) {
    let script = ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    };
    let servers = StubServers::start(vec![script; 2]).unwrap();
    let node = Node::builder(test).replicas(servers.addrs()).start();
    (servers, node)
}

/// Asserts that other clients are served in time.
fn expect_others_served(node: &Node) {
    for number in 0..OTHER_REQUESTS {
        let prompt = format!("other {number}");
        let (id, mut client) = send_request_within(node, &prompt, 3, DEADLINE_S);
        let outcome = read_response(id, &prompt, 3, &mut client).outcome;
        assert_eq!(outcome, ClientOutcome::Completed, "request {number}");
    }
}

/// Writes `text(number)` at full speed, on a new connection whenever the peer ends one, until told to stop. Reads what comes.
fn flood(addr: SocketAddr, stop: &AtomicBool, text: impl Fn(u64) -> String) {
    static NEXT: AtomicU64 = AtomicU64::new(0x10_0000);
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(addr) else {
            continue;
        };
        stream.set_nonblocking(true).unwrap();
        let mut is_open = true;
        while is_open && !stop.load(Ordering::Relaxed) {
            let bytes = text(NEXT.fetch_add(1, Ordering::Relaxed));
            is_open = write_and_read(&mut stream, bytes.as_bytes(), stop);
        }
    }
}

/// Writes all bytes and discards what has arrived. Returns whether the connection is still open.
fn write_and_read(stream: &mut TcpStream, mut bytes: &[u8], stop: &AtomicBool) -> bool {
    let is_blocked = |e: &std::io::Error| e.kind() == ErrorKind::WouldBlock;
    while !bytes.is_empty() && !stop.load(Ordering::Relaxed) {
        match stream.write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(e) if is_blocked(&e) => std::thread::sleep(Duration::from_micros(100)),
            Err(_) => return false,
        }
        match stream.read(&mut [0; 4096]) {
            Ok(0) => return false,
            Err(e) if !is_blocked(&e) => return false,
            Ok(_) | Err(_) => {}
        }
    }
    true
}

/// Runs floods of this text to `addr` while other clients send requests.
fn expect_others_served_during(
    node: &Node,
    addr: SocketAddr,
    flood_count: u64,
    text: impl Fn(u64) -> String + Sync,
) {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..flood_count {
            scope.spawn(|| flood(addr, &stop, &text));
        }
        let served = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            expect_others_served(node);
        }));
        stop.store(true, Ordering::Relaxed);
        if let Err(panic) = served {
            std::panic::resume_unwind(panic);
        }
    });
    let peak_kb = memory_kb(node, "VmHWM");
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB");
}

fn health_check(_: u64) -> String {
    "GET /healthz HTTP/1.1\r\n\r\n".to_string()
}

/// A small request with an id, owner, session, class and path of its own.
fn request_with_new_names(number: u64) -> String {
    let headers = format!("Req-Owner: owner-{number}\r\nReq-Key: {number:016x}\r\n");
    let request = format_request(&format!("{number:016x}"), &headers, "{}", 0.2);
    request.replace("/completions", &format!("/completions?{number}"))
}

fn unsound_request(number: u64) -> String {
    match number % 4 {
        0 => format!(
            "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {number}\r\nContent-Length: x\r\n\r\n"
        ),
        1 => format!("{number} \r\n\r\n"),
        2 => request_with_new_names(number)
            .replace("Req-Kind: chat", &format!("Req-Kind: k{number}")),
        _ => format!("GET /{number} HTTP/1.1\r\n\r\n"),
    }
}

/// One connection at full speed, and many.
#[test]
fn others_are_served_during_a_flood_of_health_checks() {
    for count in [1, FLOODS] {
        let (_servers, node) = start(&format!("health-{count}"));
        expect_others_served_during(&node, node.addr, count, health_check);
    }
}

/// Requests under ever new names, on one connection.
#[test]
fn others_are_served_during_a_flood_of_requests_with_new_names() {
    let (_servers, node) = start("names");
    expect_others_served_during(&node, node.addr, 1, request_with_new_names);
}

#[test]
fn others_are_served_during_a_flood_of_unsound_requests() {
    for count in [1, FLOODS] {
        let (_servers, node) = start(&format!("unsound-{count}"));
        expect_others_served_during(&node, node.addr, count, unsound_request);
    }
}

/// The admin address, from the log.
fn admin_addr(node: &Node) -> SocketAddr {
    const ADMIN: &str = "operators call at ";
    node.wait_for_log(ADMIN);
    let log = node.log.lock().unwrap();
    let line = log.iter().find(|line| line.contains(ADMIN)).unwrap();
    let addr = line.split(ADMIN).nth(1).unwrap().split('"').next().unwrap();
    addr.parse().unwrap()
}

/// Calls at the admin address, sound and unsound.
#[test]
fn others_are_served_during_a_flood_of_admin_calls() {
    let (_servers, node) = start("admin");
    let admin = admin_addr(&node);
    let call = |number| match number % 2 {
        0 => "GET /api/telemetry HTTP/1.1\r\n\r\n".to_string(),
        _ => format!("GET /api/{number} HTTP/1.1\r\n\r\n"),
    };
    expect_others_served_during(&node, admin, FLOODS, call);
}

/// A replica that streams about 2.4 MB to each request.
fn start_long_answers() -> SocketAddr {
    const EVENT_BYTES: usize = 24 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for _ in 0..100 {
                    // The node does not read while its client does not.
                    if stream.write_all(chunk.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Clients of five kinds at once, 60 of each: half of a large request, half of a head of thousands of short fields, an answer that
/// is not read, two requests sent ahead of their turn, and all but the last byte of a request. All go on slowly.
#[test]
fn memory_stays_bounded_with_hundreds_of_slow_clients_of_all_kinds() {
    const CLIENTS_OF_A_KIND: u64 = 60;
    const BODY_BYTES: usize = 256 * 1024;
    let replica = start_long_answers();
    let node = Node::builder("slow-clients").replicas(&[replica]).start();
    let long_body = "x".repeat(BODY_BYTES);
    let mut clients = Vec::new();
    for number in 0..CLIENTS_OF_A_KIND {
        let id = |kind: u64| format!("{:016x}", kind << 32 | number);
        let large = format_request(&id(1), "", &long_body, 10.0);
        let fields: String = (0..9000).map(|field| format!("a{field}: 1\r\n")).collect();
        let many_fields = format_request(&id(2), &fields, "", 10.0);
        let unread = format_request(&id(3), "", "", 10.0);
        let ahead = format!(
            "{}{}",
            format_request(&id(4), "", "", 10.0),
            large.repeat(2)
        );
        for text in [
            &large[..large.len() / 2],
            &many_fields[..many_fields.len() / 2],
            &unread,
            &ahead,
            &large[..large.len() - 1],
        ] {
            let mut client = node.connect();
            client.set_nonblocking(true).unwrap();
            // The node may refuse the connection or read no more.
            let _ = client.write(text.as_bytes());
            clients.push(client);
        }
    }
    // Each client goes on slowly, byte by byte, while the node holds what the others have sent.
    for _ in 0..10 {
        for client in &mut clients {
            let _ = client.write(b"x");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let peak_kb = memory_kb(&node, "VmHWM");
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB");
    let mut health = node.connect();
    health.write_all(health_check(0).as_bytes()).unwrap();
    let mut answer = [0; 64];
    assert!(
        health.read(&mut answer).unwrap() > 0,
        "the node does not answer"
    );
}
