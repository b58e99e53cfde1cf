//! A node with and without `[fleet]`: what the section costs where it is absent, its errors, and trials by one for all.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

#[allow(dead_code)] // the rest is for tests of streams
mod support;

use poppykeel::program::config::operator::Operator;
use poppykeel_coordination::envelope::{self, Envelope, MessageBody};
use poppykeel_coordination::outlier_probing::ProbingMessage;
use poppykeel_coordination::{Incarnation, ProcessId};
use poppykeel_stub_model_server::{Fault, Outcome, Script, Standin};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{ask, read, Node};

/// Inodes of a process's sockets.
fn sockets(id: u32) -> BTreeSet<String> {
    let fds = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap();
    let links = fds.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
    let named = links.map(|l| l.to_string_lossy().into_owned());
    named
        .filter_map(|l| {
            l.strip_prefix("socket:[")?
                .strip_suffix(']')
                .map(String::from)
        })
        .collect()
}

/// Of these sockets, how many carry datagrams, and how many listen for connections.
fn kinds(id: u32) -> (usize, usize) {
    let own = sockets(id);
    let count = |file: &str, state: &str| {
        let text = std::fs::read_to_string(format!("/proc/{id}/net/{file}")).unwrap();
        let lines = text
            .lines()
            .skip(1)
            .map(|l| l.split_whitespace().collect::<Vec<_>>());
        lines
            .filter(|l| (state.is_empty() || l[3] == state) && own.contains(l[9]))
            .count()
    };
    (count("udp", ""), count("tcp", "0A"))
}

fn threads(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/task"))
        .unwrap()
        .count()
}

/// A port that is free for datagrams and connections.
fn port() -> SocketAddr {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let addr = socket.local_addr().unwrap();
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn fleet(me: SocketAddr, keeper: SocketAddr, folder: &str) -> String {
    format!(
        "[fleet]\nname = \"f\"\nlisten = \"{me}\"\nfolder = \"{folder}\"\nlease = \"500ms\"\npatience = \"100ms\"\n\
         probe = \"100ms\"\nkeepers = {{ n0 = \"{keeper}\" }}\n"
    )
}

#[test]
fn without_the_section_there_is_no_listener_no_thread_and_no_file() {
    let server = Standin::start(vec![Script::default()]).unwrap();
    let node = Node::start("no-fleet", server.addrs(), "", "safe");
    assert_eq!(
        (kinds(node.child.id()), threads(node.child.id())),
        ((0, 2), 1)
    );
    let folder = std::env::temp_dir().join(format!("fleet-disk-{}", std::process::id()));
    let at = port();
    let with = Node::start(
        "with-fleet",
        server.addrs(),
        &fleet(at, at, &folder.display().to_string()),
        "safe",
    );
    assert_eq!(
        (kinds(with.child.id()), threads(with.child.id())),
        ((1, 3), 2)
    );
    assert!(folder.join("lock").exists());
    drop(with);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn wrong_settings_are_errors_with_key_and_line() {
    let good = fleet(port(), port(), "x");
    Operator::read(&good).unwrap();
    let wrong = [
        (
            good.replace("name = \"f\"", "name = \"\""),
            "line 2: fleet.name",
        ),
        (good.replace("500ms", "5ms"), "line 5: fleet.lease"),
        (
            good.replace("patience = \"100ms\"", "patience = \"400ms\""),
            "line 6: fleet.patience",
        ),
        (
            good.replace("{ n0", "{ n1 = \"127.0.0.1:1\", n0"),
            "line 8: fleet.keepers",
        ),
        (good.replace("probe =", "prob ="), "line 7"),
        (format!("{good}drift = 900000\n"), "line 9: fleet.drift"),
        (
            format!("{good}[fleet.report]\nto = \"here\"\n"),
            "line 10: fleet.report.to",
        ),
        (
            format!("{good}[fleet.report]\nto = \"127.0.0.1:1\"\nevery = 0\n"),
            "line 11: fleet.report.every",
        ),
    ];
    let budget = |text: &str| format!("{good}[fleet.budgets]\nmost_nodes = 10\nretries = {text}\n");
    Operator::read(&budget(
        "{ rate = 20, burst = 20, floor = 1, floor_burst = 1 }",
    ))
    .unwrap();
    let wrong = wrong.into_iter().chain([
        (
            budget("{ rate = 20, burst = 20, floor = 3, floor_burst = 1 }"),
            "line 11: fleet.budgets.retries.floor",
        ),
        (
            budget("{ rate = 20, burst = 9, floor = 1, floor_burst = 1 }"),
            "line 11: fleet.budgets.retries.floor_burst",
        ),
        (
            budget("{ rate = 20, burst = 20, floor = 1, floor_burst = 0.5 }"),
            "line 11: fleet.budgets.retries.floor_burst",
        ),
        (
            budget("{ rate = -1, burst = 20, floor = 1, floor_burst = 1 }"),
            "line 11: fleet.budgets.retries.rate",
        ),
        (
            budget("{ rate = 20, burst = 20, floor = 1, floor_burst = 1 }")
                .replace("retries", "tenants.t0")
                .replace("floor = 1", "floor = 9"),
            "line 11: fleet.budgets.tenants.t0.floor",
        ),
        (
            budget("{ rate = 20 }").replace("most_nodes = 10", "most_nodes = 0"),
            "line 11",
        ),
    ]);
    for (text, place) in wrong {
        let error = Operator::read(&text).err().unwrap_or_default();
        assert!(error.starts_with(place), "{place}: {error}\n{text}");
    }
    let alone = Operator::read(&good.replace("folder = \"x\"\n", ""))
        .unwrap()
        .fleet
        .unwrap();
    assert!(alone.place("n0", &[]).unwrap_err().contains("fleet.folder"));
    assert!(alone.place("n9", &[]).is_ok());
    let tenant = budget("{ rate = 20, burst = 20, floor = 1, floor_burst = 1 }")
        .replace("retries", "tenants.t0");
    let tenant = Operator::read(&tenant).unwrap().fleet.unwrap();
    let error = tenant.place("n9", &["other".to_string()]).unwrap_err();
    assert!(
        error.contains("fleet.budgets.tenants.t0") && error.contains("other"),
        "{error}"
    );
    assert!(tenant.place("n9", &["t0".to_string()]).is_ok());
}

/// One call at a node's operators' address.
fn call(node: &Node, line: &str) -> String {
    let began = Instant::now();
    let at: SocketAddr = loop {
        let found = node.log.lock().unwrap().iter().find_map(|l| {
            let text = l.split("operators call at ").nth(1)?;
            text.split('"').next()?.parse().ok()
        });
        match found {
            Some(at) => break at,
            None => assert!(
                began.elapsed() < Duration::from_secs(10),
                "no operators' address"
            ),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let mut stream = TcpStream::connect(at).unwrap();
    write!(
        stream,
        "{line} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn foreign_and_garbled_messages_are_dropped_and_counted_by_datagram_and_connection() {
    let server = Standin::start(vec![Script::default()]).unwrap();
    let folder = std::env::temp_dir().join(format!("fleet-drop-{}", std::process::id()));
    let at = port();
    let node = Node::named(
        "n0",
        "drop",
        server.addrs(),
        &fleet(at, at, &folder.display().to_string()),
    );
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let message = |fleet: &str, to: &str, names: usize| {
        let names = (0..names)
            .map(|n| format!("a server with a long name, number {n}"))
            .collect();
        envelope::encode(&Envelope {
            fleet: fleet.into(),
            lease_servers_number: 1,
            sender: ProcessId {
                node: "n7".into(),
                incarnation: Incarnation(1),
            },
            sender_address: at,
            recipient: to.into(),
            body: MessageBody::OutlierProbing(ProbingMessage::Ejected { replicas: names }),
        })
    };
    let (foreign, own) = (message("g", "n0", 1), message("f", "n0", 1));
    let long = message("f", "n0", 2000);
    assert!(long.len() > envelope::MAX_DATAGRAM_BYTES);
    socket.send_to(&foreign, at).unwrap();
    socket.send_to(&message("f", "n1", 1), at).unwrap();
    socket.send_to(&own, at).unwrap();
    socket.send_to(&own[..own.len() - 1], at).unwrap();
    socket.send_to(&[7; 900], at).unwrap();
    for bytes in [&long[..], &long[..5000], &foreign] {
        TcpStream::connect(at).unwrap().write_all(bytes).unwrap();
    }
    let began = Instant::now();
    loop {
        let figures = call(&node, "GET /api/telemetry");
        let figure = |name: &str| {
            let line = figures
                .lines()
                .find_map(|l| l.strip_prefix(&format!("app_fleet_{name} ")));
            line.and_then(|n| n.parse::<u64>().ok())
        };
        if (figure("messages_foreign"), figure("messages_garbled")) == (Some(3), Some(3)) {
            break;
        }
        assert!(began.elapsed() < Duration::from_secs(10), "{figures}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(call(&node, "GET /api/fleet").contains("\"fleet\":\"f\""));
    assert!(call(&node, "POST /api/fleet/roll?out=none").starts_with("HTTP/1.1 400"));
    drop(node);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Requests that a bad server got while several nodes served for a while, and whether all use it again once it is well.
fn tried(name: &str, with: bool) -> (usize, bool) {
    let bad = || {
        Script {
            tokens: 3,
            ..Script::default()
        }
        .with(Fault::Status(500))
    };
    let good = || Script {
        tokens: 3,
        ..Script::default()
    };
    let servers = Standin::start(vec![good(), bad()]).unwrap();
    let at: Vec<SocketAddr> = (0..4).map(|_| port()).collect();
    let folder = std::env::temp_dir().join(format!("fleet-{name}-{}", std::process::id()));
    let nodes: Vec<Node> = (0..4)
        .map(|n| {
            let operator = if with {
                fleet(at[n], at[0], &folder.display().to_string())
            } else {
                String::new()
            };
            Node::named(&format!("n{n}"), name, servers.addrs(), &operator)
        })
        .collect();
    let play = |span: Duration| {
        std::thread::scope(|scope| {
            for node in &nodes {
                scope.spawn(move || {
                    let until = Instant::now() + span;
                    let mut n = 0;
                    while Instant::now() < until {
                        // Sessions of their own, so that each server is some request's home.
                        let prompt = format!("{} {n}", node.addr);
                        let (id, mut stream) = ask(node, &prompt, 3);
                        assert_eq!(read(id, &prompt, 3, &mut stream).outcome, Outcome::Whole);
                        n += 1;
                        std::thread::sleep(Duration::from_millis(20));
                    }
                });
            }
        });
    };
    let at_bad = || servers.records().iter().filter(|r| r.server == 1).count();
    play(Duration::from_secs(3));
    let before = at_bad();
    play(Duration::from_secs(6));
    let tried = at_bad() - before;
    servers.set(1, good());
    play(Duration::from_secs(3));
    let back = at_bad();
    play(Duration::from_secs(1));
    let used = at_bad() > back + 10;
    let _ = std::fs::remove_dir_all(folder);
    (tried, used)
}

#[test]
fn one_node_tries_a_bad_server_for_all_and_all_come_back_to_it() {
    let (together, alone) = std::thread::scope(|scope| {
        let alone = scope.spawn(|| tried("alone", false));
        (tried("together", true), alone.join().unwrap())
    });
    println!(
        "trials of a bad server in 6 s by 4 nodes: {together:?} with a fleet, {alone:?} without"
    );
    assert!(together.1 && alone.1, "{together:?} {alone:?}");
    assert!(together.0 * 2 < alone.0, "{together:?} {alone:?}");
}

/// Where the fleet allows three calls for the list in 20 s, a node whose discovery closes every connection makes no more,
/// and it goes on calling; without a budget it calls again after each pause, which is 1.84 s at most.
#[test]
fn calls_for_the_list_are_spent_out_of_the_fleets_budget() {
    let called = |name: &str, budget: &str| {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let calls = Arc::new(AtomicUsize::new(0));
        let (own, at) = (calls.clone(), discovery.local_addr().unwrap().to_string());
        std::thread::spawn(move || {
            for _ in discovery.incoming().flatten() {
                own.fetch_add(1, Ordering::Relaxed);
            }
        });
        let server = Standin::start(vec![Script::default()]).unwrap();
        let folder = std::env::temp_dir().join(format!("fleet-{name}-{}", std::process::id()));
        let own = port();
        let operator = fleet(own, own, &folder.display().to_string()) + budget;
        let node = Node::with_list(name, server.addrs(), &operator, "safe", &at);
        std::thread::sleep(Duration::from_secs(20));
        drop(node);
        std::fs::remove_dir_all(folder).unwrap();
        calls.load(Ordering::Relaxed)
    };
    let budget = "[fleet.budgets]\nmost_nodes = 1\n\
                  discovery = { rate = 0.15, burst = 1, floor = 0.1, floor_burst = 1 }\n";
    let (bound, free) = std::thread::scope(|scope| {
        let free = scope.spawn(|| called("calls-free", ""));
        (called("calls-bound", budget), free.join().unwrap())
    });
    assert!(free >= 5, "{free}");
    assert!((2..=4).contains(&bound), "{bound}");
}
