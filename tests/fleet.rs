//! Nodes with and without a `[fleet]` section: the sockets, threads and files that a node opens, errors in the section,
//! dropped messages, outlier probing by one node for the fleet, and the fleet's budget of calls to discovery.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/process_resources.rs"]
mod process_resources;
mod support;

use poppykeel::program::config::operator::OperatorConfig;
use poppykeel_coordination::envelope::{self, Envelope, MessageBody};
use poppykeel_coordination::outlier_probing::ProbingMessage;
use poppykeel_coordination::{Incarnation, ProcessId};
use poppykeel_stub_model_server::{ClientOutcome, ReplyFault, ReplyScript, StubServers};
use process_resources::ProcessResources;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{free_address, read_response, send_request, Node};

/// Time limit of each wait for a node.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of tokens of a stub server's response.
const TOKENS: usize = 3;

/// Path of a folder for one test, which does not exist yet.
fn test_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("fleet-{name}-{}", std::process::id()))
}

/// A `[fleet]` section with one lease server, `n0`.
fn fleet_section(listen: SocketAddr, lease_server: SocketAddr, folder: &str) -> String {
    format!(
        "[fleet]\nname = \"f\"\nlisten = \"{listen}\"\nfolder = \"{folder}\"\nlease = \"500ms\"\npatience = \"100ms\"\n\
         probe = \"100ms\"\nkeepers = {{ n0 = \"{lease_server}\" }}\n"
    )
}

#[test]
fn node_without_fleet_section_opens_no_listener_thread_or_file() {
    let server = StubServers::start(vec![ReplyScript::default()]).unwrap();
    let node = Node::builder("no-fleet").replicas(server.addrs()).start();
    let without_fleet = ProcessResources {
        datagram_sockets: 0,
        listeners: 2,
        threads: 1,
    };
    assert_eq!(
        ProcessResources::for_process(node.child.id()),
        without_fleet
    );
    let folder = test_folder("disk");
    let address = free_address();
    let section = fleet_section(address, address, &folder.display().to_string());
    let node = Node::builder("with-fleet")
        .replicas(server.addrs())
        .operator(&section)
        .start();
    let in_fleet = ProcessResources {
        datagram_sockets: 1,
        listeners: 3,
        threads: 2,
    };
    assert_eq!(ProcessResources::for_process(node.child.id()), in_fleet);
    assert!(folder.join("lock").exists());
    drop(node);
    std::fs::remove_dir_all(folder).unwrap();
}

/// A `[fleet]` section without errors.
fn valid_section() -> String {
    fleet_section(free_address(), free_address(), "x")
}

/// A section with a budget of retries; `budget` is its TOML value.
fn section_with_budget(valid: &str, budget: &str) -> String {
    format!("{valid}[fleet.budgets]\nmost_nodes = 10\nretries = {budget}\n")
}

const VALID_BUDGET: &str = "{ rate = 20, burst = 20, floor = 1, floor_burst = 1 }";

/// `[fleet]` sections with an error, and the expected start of each error message.
fn invalid_sections(valid: &str) -> Vec<(String, &'static str)> {
    vec![
        (
            valid.replace("name = \"f\"", "name = \"\""),
            "line 2: fleet.name",
        ),
        (valid.replace("500ms", "5ms"), "line 5: fleet.lease"),
        (
            valid.replace("patience = \"100ms\"", "patience = \"400ms\""),
            "line 6: fleet.patience",
        ),
        (
            valid.replace("{ n0", "{ n1 = \"127.0.0.1:1\", n0"),
            "line 8: fleet.keepers",
        ),
        (valid.replace("probe =", "prob ="), "line 7"),
        (format!("{valid}drift = 900000\n"), "line 9: fleet.drift"),
        (
            format!("{valid}[fleet.report]\nto = \"here\"\n"),
            "line 10: fleet.report.to",
        ),
        (
            format!("{valid}[fleet.report]\nto = \"127.0.0.1:1\"\nevery = 0\n"),
            "line 11: fleet.report.every",
        ),
    ]
}

/// `[fleet]` sections with an error in a budget, and the expected start of each error message.
fn invalid_budgets(valid: &str) -> Vec<(String, &'static str)> {
    let with_budget = |budget: &str| section_with_budget(valid, budget);
    vec![
        (
            with_budget("{ rate = 20, burst = 20, floor = 3, floor_burst = 1 }"),
            "line 11: fleet.budgets.retries.floor",
        ),
        (
            with_budget("{ rate = 20, burst = 9, floor = 1, floor_burst = 1 }"),
            "line 11: fleet.budgets.retries.floor_burst",
        ),
        (
            with_budget("{ rate = 20, burst = 20, floor = 1, floor_burst = 0.5 }"),
            "line 11: fleet.budgets.retries.floor_burst",
        ),
        (
            with_budget("{ rate = -1, burst = 20, floor = 1, floor_burst = 1 }"),
            "line 11: fleet.budgets.retries.rate",
        ),
        (
            with_budget(VALID_BUDGET)
                .replace("retries", "tenants.t0")
                .replace("floor = 1", "floor = 9"),
            "line 11: fleet.budgets.tenants.t0.floor",
        ),
        (
            with_budget("{ rate = 20 }").replace("most_nodes = 10", "most_nodes = 0"),
            "line 11",
        ),
    ]
}

#[test]
fn invalid_settings_are_reported_with_key_and_line() {
    let valid = valid_section();
    OperatorConfig::read(&valid).unwrap();
    OperatorConfig::read(&section_with_budget(&valid, VALID_BUDGET)).unwrap();
    let invalid = [invalid_sections(&valid), invalid_budgets(&valid)].concat();
    for (section, expected) in invalid {
        let error = OperatorConfig::read(&section)
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        assert!(
            error.starts_with(expected),
            "{expected}: {error}\n{section}"
        );
    }
    let without_folder = OperatorConfig::read(&valid.replace("folder = \"x\"\n", ""))
        .unwrap()
        .fleet
        .unwrap();
    let error = without_folder
        .coordination_settings("n0", &[])
        .unwrap_err()
        .to_string();
    assert!(error.contains("fleet.folder"));
    assert!(without_folder.coordination_settings("n9", &[]).is_ok());
    let tenant = section_with_budget(&valid, VALID_BUDGET).replace("retries", "tenants.t0");
    let tenant = OperatorConfig::read(&tenant).unwrap().fleet.unwrap();
    let error = tenant
        .coordination_settings("n9", &["other".to_string()])
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("fleet.budgets.tenants.t0") && error.contains("other"),
        "{error}"
    );
    assert!(tenant
        .coordination_settings("n9", &["t0".to_string()])
        .is_ok());
}

/// The admin address of a node, read from its log.
fn admin_address(node: &Node) -> SocketAddr {
    let started_at = Instant::now();
    loop {
        let logged = node.log.lock().unwrap().iter().find_map(|line| {
            let text = line.split("operators call at ").nth(1)?;
            text.split('"').next()?.parse().ok()
        });
        if let Some(address) = logged {
            return address;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the node did not log its admin address"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends one request to a node's admin address and returns the whole response.
fn call(node: &Node, request: &str) -> String {
    let mut stream = TcpStream::connect(admin_address(node)).unwrap();
    write!(
        stream,
        "{request} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// The value of the metric `app_fleet_NAME` in a response; `None` if it is absent.
fn metric(answer: &str, name: &str) -> Option<u64> {
    let prefix = format!("app_fleet_{name} ");
    let value = answer.lines().find_map(|line| line.strip_prefix(&prefix));
    value.and_then(|value| value.parse().ok())
}

/// Encodes a message to `recipient` in this fleet that reports `replicas` ejected replicas.
fn ejection_report(
    sender_address: SocketAddr,
    fleet: &str,
    recipient: &str,
    replicas: usize,
) -> Vec<u8> {
    let replicas = (0..replicas)
        .map(|number| format!("a server with a long name, number {number}"))
        .collect();
    envelope::encode(&Envelope {
        fleet: fleet.into(),
        lease_servers_number: 1,
        sender: ProcessId {
            node: "n7".into(),
            incarnation: Incarnation(1),
        },
        sender_address,
        recipient: recipient.into(),
        body: MessageBody::OutlierProbing(ProbingMessage::Ejected { replicas }),
    })
}

/// Sends three messages of another fleet or for another node, three malformed messages and two valid ones, by UDP and TCP.
fn send_valid_and_invalid_messages(address: SocketAddr) {
    let foreign = ejection_report(address, "g", "n0", 1);
    let valid_message = ejection_report(address, "f", "n0", 1);
    let oversized = ejection_report(address, "f", "n0", 2000);
    assert!(oversized.len() > envelope::MAX_DATAGRAM_BYTES);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&foreign, address).unwrap();
    let for_another_node = ejection_report(address, "f", "n1", 1);
    socket.send_to(&for_another_node, address).unwrap();
    socket.send_to(&valid_message, address).unwrap();
    socket
        .send_to(&valid_message[..valid_message.len() - 1], address)
        .unwrap();
    socket.send_to(&[7; 900], address).unwrap();
    for bytes in [&oversized[..], &oversized[..5000], &foreign] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(bytes).unwrap();
    }
}

#[test]
fn foreign_and_garbled_messages_over_udp_and_tcp_are_dropped_and_counted() {
    let server = StubServers::start(vec![ReplyScript::default()]).unwrap();
    let folder = test_folder("drop");
    let address = free_address();
    let section = fleet_section(address, address, &folder.display().to_string());
    let node = Node::builder("drop")
        .name("n0")
        .replicas(server.addrs())
        .operator(&section)
        .start();
    send_valid_and_invalid_messages(address);
    let started_at = Instant::now();
    loop {
        let answer = call(&node, "GET /api/telemetry");
        let foreign = metric(&answer, "messages_foreign");
        let garbled = metric(&answer, "messages_garbled");
        if (foreign, garbled) == (Some(3), Some(3)) {
            break;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{answer}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(call(&node, "GET /api/fleet").contains("\"fleet\":\"f\""));
    assert!(call(&node, "POST /api/fleet/roll?out=none").starts_with("HTTP/1.1 400"));
    drop(node);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Result of a run in which several nodes use a replica that fails for a while.
#[derive(Debug)]
struct ProbingRun {
    /// Number of requests that reached the failing replica within 6 s. Counting begins 3 s after the first request, when the
    /// nodes have had time to eject it.
    probes: usize,
    /// Whether the nodes use the replica again after its recovery.
    is_used_again: bool,
}

fn healthy_script() -> ReplyScript {
    ReplyScript {
        token_count: TOKENS,
        ..ReplyScript::default()
    }
}

fn failing_script() -> ReplyScript {
    healthy_script().with_fault(ReplyFault::Status(500))
}

/// Starts four nodes. With `folder`, they form a fleet whose state is in that folder; without it, none has a `[fleet]`
/// section.
fn start_four_nodes(name: &str, servers: &[SocketAddr], folder: Option<&PathBuf>) -> Vec<Node> {
    let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
    let mut nodes = Vec::new();
    for (index, address) in addresses.iter().enumerate() {
        let section = folder
            .map(|folder| fleet_section(*address, addresses[0], &folder.display().to_string()));
        let node = format!("n{index}");
        nodes.push(
            Node::builder(name)
                .name(&node)
                .replicas(servers)
                .operator(&section.unwrap_or_default())
                .start(),
        );
    }
    nodes
}

/// Sends requests to each node, one after the other, for this duration.
fn send_requests_for(nodes: &[Node], duration: Duration) {
    std::thread::scope(|scope| {
        for node in nodes {
            scope.spawn(move || {
                let end = Instant::now() + duration;
                let mut number = 0;
                while Instant::now() < end {
                    // Each prompt is a new session, so each replica is the first choice of some requests.
                    let prompt = format!("{} {number}", node.addr);
                    let (id, mut stream) = send_request(node, &prompt, TOKENS);
                    let answer = read_response(id, &prompt, TOKENS, &mut stream);
                    assert_eq!(answer.outcome, ClientOutcome::Completed);
                    number += 1;
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
}

fn run_with_failing_replica(name: &str, has_fleet: bool) -> ProbingRun {
    let servers = StubServers::start(vec![healthy_script(), failing_script()]).unwrap();
    let folder = test_folder(name);
    let nodes = start_four_nodes(name, servers.addrs(), has_fleet.then_some(&folder));
    let failing_replica_requests = || {
        let records = servers.served_requests();
        records.iter().filter(|record| record.server == 1).count()
    };
    send_requests_for(&nodes, Duration::from_secs(3));
    let before = failing_replica_requests();
    send_requests_for(&nodes, Duration::from_secs(6));
    let probes = failing_replica_requests() - before;
    servers.set_script(1, healthy_script());
    send_requests_for(&nodes, Duration::from_secs(3));
    let after_recovery = failing_replica_requests();
    send_requests_for(&nodes, Duration::from_secs(1));
    let is_used_again = failing_replica_requests() > after_recovery + 10;
    // Without a fleet the folder does not exist.
    let _ = std::fs::remove_dir_all(folder);
    ProbingRun {
        probes,
        is_used_again,
    }
}

#[test]
fn one_node_probes_a_failing_replica_for_the_fleet_and_all_nodes_use_it_again() {
    let (with_fleet, without_fleet) = std::thread::scope(|scope| {
        let without_fleet = scope.spawn(|| run_with_failing_replica("alone", false));
        let with_fleet = run_with_failing_replica("together", true);
        (with_fleet, without_fleet.join().unwrap())
    });
    println!(
        "probes of a failing replica in 6 s by 4 nodes: {with_fleet:?} with a fleet, {without_fleet:?} without"
    );
    assert!(
        with_fleet.is_used_again && without_fleet.is_used_again,
        "the replica was not used again: {with_fleet:?} with a fleet, {without_fleet:?} without"
    );
    assert!(
        with_fleet.probes * 2 < without_fleet.probes,
        "{with_fleet:?} {without_fleet:?}"
    );
}

/// Starts a node whose discovery service closes every connection, and returns the number of its calls within 20 s. `budget` is
/// appended to the `[fleet]` section.
fn calls_to_failing_discovery(name: &str, budget: &str) -> usize {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = discovery.local_addr().unwrap().to_string();
    let calls = Arc::new(AtomicUsize::new(0));
    let call_counter = calls.clone();
    std::thread::spawn(move || {
        for _ in discovery.incoming().flatten() {
            call_counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    let server = StubServers::start(vec![ReplyScript::default()]).unwrap();
    let folder = test_folder(name);
    let listen = free_address();
    let section = fleet_section(listen, listen, &folder.display().to_string()) + budget;
    let node = Node::builder(name)
        .replicas(server.addrs())
        .operator(&section)
        .discovery(&address)
        .start();
    std::thread::sleep(Duration::from_secs(20));
    drop(node);
    std::fs::remove_dir_all(folder).unwrap();
    calls.load(Ordering::Relaxed)
}

/// The budget of 0.15 calls a second and a burst of one limits the calls in 20 s to four, but does not end them. Without a
/// budget, a node calls a failing service again after a pause of at most 1.84 s.
#[test]
fn discovery_calls_stay_within_the_fleet_budget() {
    let budget = "[fleet.budgets]\nmost_nodes = 1\n\
                  discovery = { rate = 0.15, burst = 1, floor = 0.1, floor_burst = 1 }\n";
    let (limited, unlimited) = std::thread::scope(|scope| {
        let unlimited = scope.spawn(|| calls_to_failing_discovery("calls-free", ""));
        let limited = calls_to_failing_discovery("calls-bound", budget);
        (limited, unlimited.join().unwrap())
    });
    assert!(unlimited >= 5, "{unlimited} calls without a budget");
    assert!((2..=4).contains(&limited), "{limited} calls with a budget");
}
