//! A node whose system calls fail as Linux documents: every request still gets its complete response, since the replicas are
//! healthy.
//! The faults come from a library that is preloaded into the node's process alone.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use std::io::{Read, Write};
use std::path::PathBuf;
use std::time::Duration;
use support::{request_text, run_clients, Node};

/// Requests of one test, and how many clients send them.
const REQUESTS: usize = 240;
const CLIENTS: usize = 12;
const TOKENS: usize = 12;
/// A client sends its request this long after connecting.
const REQUEST_DELAY: Duration = Duration::from_millis(60);

/// The library to preload, which the build puts beside this test.
fn fault_shim() -> PathBuf {
    let program = std::env::current_exe().unwrap();
    let folder = program.parent().unwrap();
    let library = folder.join("libpoppykeel_fault_shim.so");
    assert!(library.exists(), "the library of faults is built");
    library
}

/// A node with these faults, its replicas, and the file of its plan.
fn start_faulty_node(name: &str, plan: &str) -> (Node, StubServers, PathBuf) {
    let servers = StubServers::start(vec![
        ReplyScript {
            token_gap_ms: 1,
            ..ReplyScript::default()
        };
        3
    ])
    .unwrap();
    let file = std::env::temp_dir().join(format!("faults-{name}-{}.toml", std::process::id()));
    std::fs::write(&file, plan).unwrap();
    let environment = vec![
        ("LD_PRELOAD".to_string(), fault_shim()),
        (
            poppykeel_fault_shim::PLAN_VARIABLE.to_string(),
            file.clone(),
        ),
    ];
    (
        Node::builder(name)
            .replicas(servers.addrs())
            .semantics("unsafe")
            .environment(environment)
            .start(),
        servers,
        file,
    )
}

/// Plays a load against a node with these faults; each response has to be complete.
fn assert_complete_under(name: &str, plan: &str) {
    let (node, servers, file) = start_faulty_node(name, plan);
    let seen = run_clients(&node, CLIENTS, REQUESTS, TOKENS, |number| {
        format!("request {number} under {name}")
    });
    let incomplete: Vec<_> = seen
        .iter()
        .filter(|seen| seen.outcome != ClientOutcome::Completed)
        .map(|seen| &seen.outcome)
        .collect();
    assert!(
        incomplete.is_empty(),
        "{} of {REQUESTS}: {incomplete:?}",
        incomplete.len()
    );
    assert_eq!(servers.served_requests().len(), REQUESTS);
    drop(node);
    // A file that stays behind harms nobody.
    let _ = std::fs::remove_file(file);
}

#[test]
fn short_reads_and_writes_lose_no_response() {
    let rule = |call| format!("[[rule]]\ncall = \"{call}\"\none_in = 3\nfault = {{ short = 3 }}\n");
    assert_complete_under(
        "short",
        &format!("seed = 1\n{}{}", rule("read"), rule("write")),
    );
}

#[test]
fn interrupted_reads_and_writes_lose_no_response() {
    let rule = |call| format!("[[rule]]\ncall = \"{call}\"\none_in = 20\nfault = \"EINTR\"\n");
    assert_complete_under(
        "interrupted",
        &format!("seed = 2\n{}{}", rule("read"), rule("write")),
    );
}

/// Clients whose requests follow some milliseconds after they have connected: no failure of accept closes their connections
/// meanwhile.
#[test]
fn failed_accepts_lose_no_request() {
    let rule = |fault| format!("[[rule]]\ncall = \"accept\"\none_in = 12\nfault = \"{fault}\"\n");
    let rules: String = ["EINTR", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]
        .map(rule)
        .concat();
    let (node, servers, file) = start_faulty_node("accept", &format!("seed = 3\n{rules}"));
    let client = |client: usize| {
        for number in 0..REQUESTS / CLIENTS {
            let id = format!("{:016x}", client * REQUESTS + number + 1);
            let mut stream = node.connect();
            std::thread::sleep(REQUEST_DELAY);
            let request = request_text(&id, "Connection: close\r\n", "{}", 10.0);
            stream.write_all(request.as_bytes()).unwrap();
            let mut answer = String::new();
            let end = stream.read_to_string(&mut answer);
            assert!(answer.contains("[DONE]"), "{id}: {end:?}, '{answer}'");
        }
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || client(number)))
            .collect();
        clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
    });
    assert_eq!(servers.served_requests().len(), REQUESTS);
    drop(node);
    // A file that stays behind harms nobody.
    let _ = std::fs::remove_file(file);
}

/// Calls that fail before a byte was sent: the request has run nowhere and goes to a replica at once, whatever its class.
#[test]
fn failed_connects_lose_no_response() {
    const ERRORS: [&str; 7] = [
        "EINTR",
        "ENOBUFS",
        "ENOMEM",
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EHOSTUNREACH",
        "ETIMEDOUT",
    ];
    let rule = |fault| format!("[[rule]]\ncall = \"connect\"\none_in = 40\nfault = \"{fault}\"\n");
    assert_complete_under(
        "connect",
        &format!("seed = 4\n{}", ERRORS.map(rule).concat()),
    );
}
