//! The admin API of a running node: readiness, evacuation and rejoin, metrics and reloads. Also a second process that takes
//! over the node's address.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{read_response, send_request, Node};

/// Time limit of each wait; exceeded only if the node hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn admin_address(node: &Node) -> SocketAddr {
    let mut address = None;
    wait_until("the admin address", || {
        let log = node.log.lock().unwrap();
        let text = log
            .iter()
            .find_map(|l| l.split("operators call at ").nth(1).map(String::from));
        address = text.and_then(|t| t.split('"').next().and_then(|a| a.parse().ok()));
        address.is_some()
    });
    address.unwrap()
}

/// Sends a request without a body and returns the status and the body of the response.
fn call(addr: SocketAddr, request_line: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    write!(
        stream,
        "{request_line} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    (
        text[9..12].parse().unwrap(),
        text.split("\r\n\r\n").nth(1).unwrap().to_string(),
    )
}

fn health_status(node: &Node) -> u16 {
    call(node.addr, "GET /healthz").0
}

fn metric(admin: SocketAddr, name: &str) -> Option<u64> {
    let text = call(admin, "GET /api/telemetry").1;
    text.lines()
        .find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
}

#[test]
fn evacuated_node_is_not_ready_closes_idle_connections_and_serves_again_after_rejoin() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::builder("evacuate").replicas(server.addrs()).start();
    let admin = admin_address(&node);
    assert_eq!(
        (call(admin, "GET /api/ready").0, send_health_check(&node).1),
        (200, 200)
    );
    let (mut idle, _) = send_health_check(&node);
    assert_eq!(call(admin, "POST /api/evacuate").0, 200);
    assert_eq!(
        (call(admin, "GET /api/ready").0, health_status(&node)),
        (503, 503)
    );
    // The node closes the idle connection.
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    assert_eq!(call(admin, "POST /api/rejoin").0, 200);
    assert_eq!(
        (call(admin, "GET /api/ready").0, send_health_check(&node).1),
        (200, 200)
    );
    let (id, mut stream) = send_request(&node, "after the drain", 5);
    assert_eq!(
        read_response(id, "after the drain", 5, &mut stream).outcome,
        ClientOutcome::Completed
    );
}

/// Sends `GET /healthz` on a new connection. Returns the connection, which stays open, and the status.
fn send_health_check(node: &Node) -> (TcpStream, u16) {
    let mut stream = TcpStream::connect(node.addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let mut received = Vec::new();
    while !received.ends_with(b"\"}") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
    let status = String::from_utf8_lossy(&received[9..12]).parse().unwrap();
    (stream, status)
}

#[test]
fn metrics_count_responses_and_invalid_calls_get_an_error_status() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::builder("metrics").replicas(server.addrs()).start();
    let admin = admin_address(&node);
    // Admin callers that send only part of a request do not delay others.
    let silent: Vec<_> = (0..40)
        .map(|_| TcpStream::connect(admin).unwrap())
        .collect();
    silent
        .iter()
        .for_each(|mut s| s.write_all(b"GET /api/re").unwrap());
    for n in 0..3 {
        let (id, mut stream) = send_request(&node, "count me", 5);
        assert_eq!(
            read_response(id, "count me", 5, &mut stream).outcome,
            ClientOutcome::Completed,
            "{n}"
        );
    }
    wait_until("three served requests", || {
        metric(admin, "app_replies{type=\"chat\",status=\"success\"}") == Some(3)
    });
    assert_eq!(metric(admin, "app_dispatches"), Some(3));
    assert_eq!(metric(admin, "app_concurrent"), Some(0));
    assert_eq!(
        (
            metric(admin, "app_targets"),
            metric(admin, "app_targets_disabled")
        ),
        (Some(1), Some(0))
    );
    assert_eq!(call(admin, "GET /api/nothing").0, 404);
    assert_eq!(call(admin, "GET /api/evacuate").0, 405);
    assert_eq!(metric(admin, "app_reload_success"), Some(0));
    assert!(Command::new("kill")
        .args(["-HUP", &node.child.id().to_string()])
        .status()
        .unwrap()
        .success());
    wait_until("the reload", || {
        metric(admin, "app_reload_success") == Some(1)
    });
}

/// An upgrade: the new process listens at the address of the old one and still serves after the old one is terminated.
#[test]
fn second_process_shares_the_address_and_takes_over() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let mut old = Node::builder("upgrade-old")
        .replicas(server.addrs())
        .start();
    let new = Node::builder("upgrade-new")
        .replicas(server.addrs())
        .listen(old.addr)
        .start();
    assert_eq!(
        (new.addr, call(admin_address(&new), "GET /api/ready").0),
        (old.addr, 200)
    );
    assert!(Command::new("kill")
        .args(["-TERM", &old.child.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert!(old.child.wait().unwrap().success());
    for n in 0..10 {
        let (id, mut stream) = send_request(&new, "to the new one", 5);
        let observation = read_response(id, "to the new one", 5, &mut stream);
        assert_eq!(observation.outcome, ClientOutcome::Completed, "{n}");
    }
}

/// Status of the response to a request of this class.
fn request_status(node: &Node, class: &str, id: u64) -> u16 {
    let mut stream = TcpStream::connect(node.addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let body = r#"{"model":"chat","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}"#;
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Kind: {class}\r\nReq-Deadline: 9\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text[9..12].parse().unwrap()
}

/// SIGHUP reloads the configuration file: classes are added and removed, and an invalid file is rejected as a whole.
#[test]
fn reload_changes_classes_and_rejects_invalid_files() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::builder("settings").replicas(server.addrs()).start();
    let admin = admin_address(&node);
    let original = std::fs::read_to_string(&node.files[0]).unwrap();
    let class = original
        .lines()
        .find(|l| l.starts_with("\"classes\""))
        .unwrap()
        .to_string();
    let entry = class
        .split_once('[')
        .unwrap()
        .1
        .trim_end_matches("],")
        .to_string();
    let reload_with = |text: &str| {
        std::fs::write(&node.files[0], text).unwrap();
        assert!(Command::new("kill")
            .args(["-HUP", &node.child.id().to_string()])
            .status()
            .unwrap()
            .success());
    };
    assert_eq!(
        (
            request_status(&node, "chat", 1),
            request_status(&node, "extra", 2)
        ),
        (200, 400)
    );
    // A second class with stricter semantics is added.
    let extra = entry
        .replace("\"chat\"", "\"extra\"")
        .replace("\"safe\"", "\"unsafe\"");
    let two_classes = original.replace(&entry, &format!("{entry},{extra}"));
    reload_with(&two_classes);
    wait_until("the first reload", || {
        metric(admin, "app_reload_success") == Some(1)
    });
    assert_eq!(
        (
            request_status(&node, "chat", 3),
            request_status(&node, "extra", 4)
        ),
        (200, 200)
    );
    // An invalid file is rejected as a whole, and the previous settings stay in force.
    let invalid = [
        String::new(),
        two_classes[..two_classes.len() / 2].to_string(),
        two_classes.replace("\"classes\"", "\"sorts\""),
        two_classes.replace("\"semantics\":\"safe\",", ""),
        two_classes.replace("\"goalTime\":15.0", "\"goalTime\":0"),
        two_classes.replace("\"giveUp\":30.0", "\"giveUp\":\"soon\""),
        two_classes.replace("\"mostTries\":3", "\"mostTries\":-1"),
        two_classes.replace("\"mostTries\":3,", ""),
        two_classes.replace("\"hostTypes\":[\"k\"]", "\"hostTypes\":[\"other\"]"),
    ];
    for (n, text) in invalid.iter().enumerate() {
        assert_ne!(*text, two_classes, "{n}");
        reload_with(text);
        wait_until("the rejection of the file", || {
            metric(admin, "app_reload_failure") == Some(n as u64 + 1)
        });
    }
    assert_eq!(
        (
            request_status(&node, "chat", 5),
            request_status(&node, "extra", 6)
        ),
        (200, 200)
    );
    // The first class is removed. Its counters keep their values.
    reload_with(&original.replace(&entry, &extra));
    wait_until("the second reload", || {
        metric(admin, "app_reload_success") == Some(2)
    });
    assert_eq!(
        (
            request_status(&node, "chat", 7),
            request_status(&node, "extra", 8)
        ),
        (400, 200)
    );
    wait_until("three served requests", || {
        metric(admin, "app_replies{type=\"extra\",status=\"success\"}") == Some(3)
    });
    assert_eq!(
        metric(admin, "app_replies{type=\"chat\",status=\"success\"}"),
        Some(3)
    );
}
