//! Injects errors that Linux documents into a node's system calls, by a library that is preloaded into the node's process. The
//! replicas are healthy, so every request must still get its complete response.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use std::io::{Read, Write};
use std::path::PathBuf;
use std::time::Duration;
use support::{format_request, run_clients, Node};

/// Number of requests of a test, from all clients together.
const REQUESTS: usize = 240;
const CLIENTS: usize = 12;
/// Number of tokens of each response.
const TOKENS: usize = 12;
/// Time between a client's connect and its request.
const REQUEST_DELAY: Duration = Duration::from_millis(60);

/// Path of the library to preload, which the build places beside the test program.
fn fault_shim() -> PathBuf {
    let program = std::env::current_exe().unwrap();
    let folder = program.parent().unwrap();
    let library = folder.join("libpoppykeel_fault_shim.so");
    assert!(library.exists(), "the fault injection library is not built");
    library
}

/// Starts a node with a fault plan. Returns the node, its replicas, and the path of the plan.
fn start_faulty_node(name: &str, plan: &str) -> (Node, StubServers, PathBuf) {
    let servers = StubServers::start(vec![
        ReplyScript {
            token_gap_ms: 1,
            ..ReplyScript::default()
        };
        3
    ])
    .unwrap();
    let plan_path = std::env::temp_dir().join(format!("faults-{name}-{}.toml", std::process::id()));
    std::fs::write(&plan_path, plan).unwrap();
    let environment = vec![
        ("LD_PRELOAD".to_string(), fault_shim()),
        (
            poppykeel_fault_shim::PLAN_VARIABLE.to_string(),
            plan_path.clone(),
        ),
    ];
    (
        Node::builder(name)
            .replicas(servers.addrs())
            .semantics("unsafe")
            .environment(environment)
            .start(),
        servers,
        plan_path,
    )
}

/// Sends requests to a node with this fault plan and expects complete responses.
fn assert_complete_responses_under(name: &str, plan: &str) {
    let (node, servers, plan_path) = start_faulty_node(name, plan);
    let observations = run_clients(&node, CLIENTS, REQUESTS, TOKENS, |number| {
        format!("request {number} under {name}")
    });
    let incomplete: Vec<_> = observations
        .iter()
        .filter(|observation| observation.outcome != ClientOutcome::Completed)
        .map(|observation| &observation.outcome)
        .collect();
    assert!(
        incomplete.is_empty(),
        "{} of {REQUESTS}: {incomplete:?}",
        incomplete.len()
    );
    assert_eq!(servers.served_requests().len(), REQUESTS);
    drop(node);
    // A leftover file is harmless.
    let _ = std::fs::remove_file(plan_path);
}

#[test]
fn short_reads_and_writes_lose_no_response() {
    let rule = |call| format!("[[rule]]\ncall = \"{call}\"\none_in = 3\nfault = {{ short = 3 }}\n");
    assert_complete_responses_under(
        "short",
        &format!("seed = 1\n{}{}", rule("read"), rule("write")),
    );
}

#[test]
fn interrupted_reads_and_writes_lose_no_response() {
    let rule = |call| format!("[[rule]]\ncall = \"{call}\"\none_in = 20\nfault = \"EINTR\"\n");
    assert_complete_responses_under(
        "interrupted",
        &format!("seed = 2\n{}{}", rule("read"), rule("write")),
    );
}

/// Clients send their requests 60 ms after they connect. In this time a failed accept, for example for lack of descriptors,
/// must not close their idle connections.
#[test]
fn failed_accepts_lose_no_request() {
    let rule = |fault| format!("[[rule]]\ncall = \"accept\"\none_in = 12\nfault = \"{fault}\"\n");
    let rules: String = ["EINTR", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]
        .map(rule)
        .concat();
    let (node, servers, plan_path) = start_faulty_node("accept", &format!("seed = 3\n{rules}"));
    let client = |client: usize| {
        for number in 0..REQUESTS / CLIENTS {
            let id = format!("{:016x}", client * REQUESTS + number + 1);
            let mut stream = node.connect();
            std::thread::sleep(REQUEST_DELAY);
            let request = format_request(&id, "Connection: close\r\n", "{}", 10.0);
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
    // A leftover file is harmless.
    let _ = std::fs::remove_file(plan_path);
}

/// After a failed connect, no replica has received a byte of the request, so the node retries it at once even if the class
/// forbids repeats.
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
    assert_complete_responses_under(
        "connect",
        &format!("seed = 4\n{}", ERRORS.map(rule).concat()),
    );
}
