//! The operators' address of a running node: its calls, the drain they order, the figures, a second process.

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

/// Only a hang runs into this.
const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until something holds.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "{what} never came");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn address(node: &Node) -> SocketAddr {
    let mut found = None;
    until("the operators' address", || {
        let log = node.log.lock().unwrap();
        let text = log
            .iter()
            .find_map(|l| l.split("operators call at ").nth(1).map(String::from));
        found = text.and_then(|t| t.split('"').next().and_then(|a| a.parse().ok()));
        found.is_some()
    });
    found.unwrap()
}

fn call(at: SocketAddr, line: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    write!(
        stream,
        "{line} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    (
        text[9..12].parse().unwrap(),
        text.split("\r\n\r\n").nth(1).unwrap().to_string(),
    )
}

fn health(node: &Node) -> u16 {
    call(node.addr, "GET /healthz").0
}

fn figure(at: SocketAddr, name: &str) -> Option<u64> {
    let text = call(at, "GET /api/telemetry").1;
    text.lines()
        .find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
}

#[test]
fn an_evacuated_node_says_no_lets_its_clients_go_and_comes_back() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::builder("evacuate").replicas(server.addrs()).start();
    let at = address(&node);
    assert_eq!(
        (call(at, "GET /api/ready").0, health_kept(&node).1),
        (200, 200)
    );
    let (mut idle, _) = health_kept(&node);
    assert_eq!(call(at, "POST /api/evacuate").0, 200);
    assert_eq!((call(at, "GET /api/ready").0, health(&node)), (503, 503));
    // The connection that is kept without a request is closed by the node.
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    assert_eq!(call(at, "POST /api/rejoin").0, 200);
    assert_eq!(
        (call(at, "GET /api/ready").0, health_kept(&node).1),
        (200, 200)
    );
    let (id, mut stream) = send_request(&node, "after the drain", 5);
    assert_eq!(
        read_response(id, "after the drain", 5, &mut stream).outcome,
        ClientOutcome::Completed
    );
}

/// A health check on a connection that stays open.
fn health_kept(node: &Node) -> (TcpStream, u16) {
    let mut stream = TcpStream::connect(node.addr).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let mut have = Vec::new();
    while !have.ends_with(b"\"}") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        have.push(byte[0]);
    }
    let status = String::from_utf8_lossy(&have[9..12]).parse().unwrap();
    (stream, status)
}

#[test]
fn the_figures_count_what_clients_got_and_bad_calls_are_told_so() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::builder("figures").replicas(server.addrs()).start();
    let at = address(&node);
    // Callers that say nothing, or half a call, hold nobody up.
    let silent: Vec<_> = (0..40).map(|_| TcpStream::connect(at).unwrap()).collect();
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
    until("three served", || {
        figure(at, "app_replies{type=\"chat\",status=\"success\"}") == Some(3)
    });
    assert_eq!(figure(at, "app_dispatches"), Some(3));
    assert_eq!(figure(at, "app_concurrent"), Some(0));
    assert_eq!(
        (
            figure(at, "app_targets"),
            figure(at, "app_targets_disabled")
        ),
        (Some(1), Some(0))
    );
    assert_eq!(call(at, "GET /api/nothing").0, 404);
    assert_eq!(call(at, "GET /api/evacuate").0, 405);
    assert_eq!(figure(at, "app_reload_success"), Some(0));
    assert!(Command::new("kill")
        .args(["-HUP", &node.child.id().to_string()])
        .status()
        .unwrap()
        .success());
    until("the reload", || figure(at, "app_reload_success") == Some(1));
}

/// A new version starts beside the old one at the same address and goes on when that is told to end.
#[test]
fn a_second_process_shares_the_address_and_takes_over() {
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
        (new.addr, call(address(&new), "GET /api/ready").0),
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
        let seen = read_response(id, "to the new one", 5, &mut stream);
        assert_eq!(seen.outcome, ClientOutcome::Completed, "{n}");
    }
}

/// The answer's status to a request of this class.
fn status_of(node: &Node, class: &str, id: u64) -> u16 {
    let mut stream = TcpStream::connect(node.addr).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
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

/// New settings in the file at SIGHUP: classes come and go, and a file that can't be meant is turned down whole.
#[test]
fn settings_read_again_change_classes_and_bad_files_change_nothing() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::builder("settings").replicas(server.addrs()).start();
    let at = address(&node);
    let first = std::fs::read_to_string(&node.files[0]).unwrap();
    let class = first
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
    let put = |text: &str| {
        std::fs::write(&node.files[0], text).unwrap();
        assert!(Command::new("kill")
            .args(["-HUP", &node.child.id().to_string()])
            .status()
            .unwrap()
            .success());
    };
    assert_eq!(
        (status_of(&node, "chat", 1), status_of(&node, "extra", 2)),
        (200, 400)
    );
    // A class comes, stricter than the one there was.
    let extra = entry
        .replace("\"chat\"", "\"extra\"")
        .replace("\"safe\"", "\"unsafe\"");
    let both = first.replace(&entry, &format!("{entry},{extra}"));
    put(&both);
    until("the first reload", || {
        figure(at, "app_reload_success") == Some(1)
    });
    assert_eq!(
        (status_of(&node, "chat", 3), status_of(&node, "extra", 4)),
        (200, 200)
    );
    // What can't be meant is turned down whole, and what was in force stays so.
    let bad = [
        String::new(),
        both[..both.len() / 2].to_string(),
        both.replace("\"classes\"", "\"sorts\""),
        both.replace("\"semantics\":\"safe\",", ""),
        both.replace("\"goalTime\":15.0", "\"goalTime\":0"),
        both.replace("\"giveUp\":30.0", "\"giveUp\":\"soon\""),
        both.replace("\"mostTries\":3", "\"mostTries\":-1"),
        both.replace("\"mostTries\":3,", ""),
        both.replace("\"hostTypes\":[\"k\"]", "\"hostTypes\":[\"other\"]"),
    ];
    for (n, text) in bad.iter().enumerate() {
        assert_ne!(*text, both, "{n}");
        put(text);
        until("the file turned down", || {
            figure(at, "app_reload_failure") == Some(n as u64 + 1)
        });
    }
    assert_eq!(
        (status_of(&node, "chat", 5), status_of(&node, "extra", 6)),
        (200, 200)
    );
    // The first class goes; what has been counted stays counted.
    put(&first.replace(&entry, &extra));
    until("the second reload", || {
        figure(at, "app_reload_success") == Some(2)
    });
    assert_eq!(
        (status_of(&node, "chat", 7), status_of(&node, "extra", 8)),
        (400, 200)
    );
    until("three served", || {
        figure(at, "app_replies{type=\"extra\",status=\"success\"}") == Some(3)
    });
    assert_eq!(
        figure(at, "app_replies{type=\"chat\",status=\"success\"}"),
        Some(3)
    );
}
