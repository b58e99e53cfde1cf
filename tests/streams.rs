//! Streams that stall or break, with scripted stub servers and the node in a process of its own. A checker compares what
//! clients and replicas observed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{
    check, AnswerPart, CheckReport, ClientObservation, ClientOutcome, FaultRule, ReplyFault,
    ReplyScript, StubServers,
};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::mpsc;
use std::time::Duration;
use support::{read_response, send_request, send_request_within, Node};

/// Number of clients that send requests concurrently.
const CLIENTS: usize = 32;

/// Operator settings with which streams are continued, with an ample budget of continuations and a stall limit of 0.2 s.
const CONTINUE_STREAMS: &str =
    "[streams]\ncontinue = true\nshare = 1.0\nreplica_share = 1.0\nfree = 100000\n\
                     stall_least = 0.2\nstall_most = 0.2\n";

/// Asserts that the checker found no protocol violations.
fn assert_no_violations(report: &CheckReport) {
    assert!(
        report.violations.is_empty(),
        "{:#?}",
        &report.violations[..report.violations.len().min(5)]
    );
}

/// Whether a condition holds in one of this many checks at intervals of 5 ms.
fn holds_within(checks: usize, mut holds: impl FnMut() -> bool) -> bool {
    (0..checks).any(|_| {
        holds() || {
            std::thread::sleep(Duration::from_millis(5));
            false
        }
    })
}

/// A script of complete streams with this many tokens.
fn script(tokens: usize) -> ReplyScript {
    ReplyScript {
        token_count: tokens,
        ..ReplyScript::default()
    }
}

/// A rule for a fault in each continuation if `is_continuation` is set, and otherwise in each attempt that is not one.
fn rule(fault: ReplyFault, is_continuation: bool) -> FaultRule {
    FaultRule {
        prompt: None,
        is_continuation: Some(is_continuation),
        every: 1,
        first_of_prompt_only: false,
        max_count: None,
        fault,
    }
}

/// A script of streams with this many tokens and these faults.
fn faulty_script(tokens: usize, rules: Vec<FaultRule>) -> ReplyScript {
    ReplyScript {
        rules,
        ..script(tokens)
    }
}

#[test]
fn recovers_stream_cut_at_any_byte() {
    for reset in [false, true] {
        // The first response to each prompt is truncated, whichever replica sends it; later ones are complete.
        let cut = faulty_script(
            4,
            vec![FaultRule {
                first_of_prompt_only: true,
                ..rule(ReplyFault::CutAtPromptOffset { reset }, false)
            }],
        );
        let servers = StubServers::start(vec![cut; 3]).unwrap();
        let node = Node::builder(&format!("cut-{reset}"))
            .replicas(servers.addrs())
            .operator(CONTINUE_STREAMS)
            .start();
        // A body of four tokens has less than 1,200 bytes; cuts beyond its end have no effect.
        let observations = support::run_clients(&node, CLIENTS, 1200, 4, |n| {
            format!("any prompt {n} cut={n}")
        });
        let report = check(&observations, &servers.served_requests());
        assert_no_violations(&report);
        assert_eq!(
            (report.completed, report.requests),
            (1200, 1200),
            "{report:?}"
        );
        assert!(report.continued > 300, "{report:?}");
    }
}

#[test]
fn stream_cut_before_any_closing_event_loses_and_repeats_no_text() {
    for (part, request_count) in [
        (AnswerPart::Finish, 2),
        (AnswerPart::Usage, 1),
        (AnswerPart::Done, 1),
        (AnswerPart::LastChunk, 1),
    ] {
        let cut = ReplyFault::CutBefore { part, reset: false };
        let servers =
            StubServers::start(vec![faulty_script(6, vec![rule(cut, false)]); 2]).unwrap();
        let node = Node::builder(&format!("part-{part:?}"))
            .replicas(servers.addrs())
            .operator(CONTINUE_STREAMS)
            .start();
        // Requests one token more than the replicas send: without tokens left, a stream cannot be continued.
        let observations = support::run_clients(&node, CLIENTS, 1, 7, |n| format!("part {n}"));
        let observations: Vec<ClientObservation> = observations
            .into_iter()
            .map(|observation| ClientObservation {
                expected_token_count: 6,
                ..observation
            })
            .collect();
        let report = check(&observations, &servers.served_requests());
        assert_no_violations(&report);
        assert_eq!(
            (report.completed, servers.served_requests().len()),
            (1, request_count),
            "{part:?}"
        );
    }
}

#[test]
fn stalled_replica_that_resumes_after_the_continuation_adds_no_text() {
    for ms in [190, 210, 230, 260] {
        let stall = faulty_script(8, vec![rule(ReplyFault::Stall { after: 1, ms }, false)]);
        let servers = StubServers::start(vec![stall; 3]).unwrap();
        let node = Node::builder(&format!("recovers-{ms}"))
            .replicas(servers.addrs())
            .operator(CONTINUE_STREAMS)
            .start();
        let report = check(
            &support::run_clients(&node, CLIENTS, 40, 8, |n| format!("recovers {n}")),
            &servers.served_requests(),
        );
        assert_no_violations(&report);
        assert_eq!(report.completed, 40, "{report:?}");
    }
}

#[test]
fn continuation_budget_holds_when_all_replicas_stall() {
    let stall = || {
        rule(
            ReplyFault::Stall {
                after: 2,
                ms: 60_000,
            },
            false,
        )
    };
    let servers = StubServers::start(vec![faulty_script(8, vec![stall()]); 3]).unwrap();
    let operator = CONTINUE_STREAMS
        .replace("free = 100000", "free = 2")
        .replace("share = 1.0", "share = 0.1");
    let node = Node::builder("storm")
        .replicas(servers.addrs())
        .operator(&operator)
        .start();
    let observations = support::run_clients(&node, CLIENTS, 60, 8, |n| format!("storm {n}"));
    let report = check(&observations, &servers.served_requests());
    assert_no_violations(&report);
    let continued = servers
        .served_requests()
        .iter()
        .filter(|record| record.tokens_before > 0)
        .count();
    assert!(
        continued <= 6 && continued > 0,
        "{continued} continuations of 60"
    );
    assert_eq!(report.completed, continued);
    assert!(observations.iter().all(|observation| matches!(
        observation.outcome,
        ClientOutcome::Completed | ClientOutcome::FailedWithError | ClientOutcome::Rejected(_)
    )));
}

#[test]
fn stalled_continuation_is_retried_and_then_fails_with_an_error_event() {
    let stalls = vec![
        rule(
            ReplyFault::Stall {
                after: 1,
                ms: 60_000,
            },
            false,
        ),
        rule(
            ReplyFault::Stall {
                after: 1,
                ms: 60_000,
            },
            true,
        ),
    ];
    let servers = StubServers::start(vec![faulty_script(9, stalls); 4]).unwrap();
    let node = Node::builder("again")
        .replicas(servers.addrs())
        .operator(CONTINUE_STREAMS)
        .start();
    let observations = support::run_clients(&node, CLIENTS, 4, 9, |n| format!("again {n}"));
    let report = check(&observations, &servers.served_requests());
    assert_no_violations(&report);
    assert_eq!(
        (report.failed, servers.served_requests().len()),
        (4, 12),
        "{report:?}"
    );
    // Each request was sent three times, and the client got the error event after the last stall.
    assert!(observations
        .iter()
        .all(|observation| observation.outcome == ClientOutcome::FailedWithError));
}

#[test]
fn continuation_that_does_not_begin_in_time_fails_with_an_error_event() {
    let late = vec![
        rule(
            ReplyFault::Stall {
                after: 1,
                ms: 60_000,
            },
            false,
        ),
        rule(ReplyFault::Silent, true),
    ];
    let servers = StubServers::start(vec![faulty_script(9, late); 2]).unwrap();
    let node = Node::builder("late")
        .replicas(servers.addrs())
        .operator(&format!("{CONTINUE_STREAMS}wait = 0.3\n"))
        .start();
    let observations = support::run_clients(&node, CLIENTS, 1, 9, |n| format!("late {n}"));
    assert_no_violations(&check(&observations, &servers.served_requests()));
    assert_eq!(observations[0].outcome, ClientOutcome::FailedWithError);
}

#[test]
fn does_not_continue_streams_of_non_idempotent_classes_or_when_disabled() {
    let cut = ReplyFault::CutAfterBytes {
        after: 500,
        reset: true,
    };
    for (operator, semantics, outcome) in [
        (CONTINUE_STREAMS, "unsafe", ClientOutcome::FailedWithError),
        ("", "safe", ClientOutcome::Truncated),
    ] {
        let servers =
            StubServers::start(vec![faulty_script(9, vec![rule(cut.clone(), false)]); 2]).unwrap();
        let node = Node::builder(&format!("ends-{semantics}"))
            .replicas(servers.addrs())
            .operator(operator)
            .semantics(semantics)
            .start();
        let observations = support::run_clients(&node, CLIENTS, 3, 9, |n| format!("ends {n}"));
        let report = check(&observations, &servers.served_requests());
        assert_no_violations(&report);
        assert!(
            observations
                .iter()
                .all(|observation| observation.outcome == outcome),
            "{observations:?}"
        );
        assert_eq!(
            servers.served_requests().len(),
            3,
            "a request was sent twice"
        );
    }
}

/// The resident memory of the node's process, in bytes.
fn resident_bytes(node: &Node) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{}/statm", node.child.id())).unwrap();
    text.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap()
        * 4096
}

#[test]
fn slow_client_is_not_a_stall_and_does_not_grow_memory() {
    // Some 30 MB: more than the buffers of all sockets hold.
    let servers = StubServers::start(vec![script(150_000); 2]).unwrap();
    let node = Node::builder("reader")
        .replicas(servers.addrs())
        .operator(CONTINUE_STREAMS)
        .start();
    let before = resident_bytes(&node);
    // The stub server prepares the whole response before its first token, which takes seconds on a busy machine.
    let (id, mut stream) = send_request_within(&node, "a flood", 150_000, 25.0);
    std::thread::sleep(Duration::from_millis(700));
    let held_bytes = resident_bytes(&node).saturating_sub(before);
    let record = servers.served_requests().remove(0);
    assert!(
        !record.is_complete,
        "the node kept reading from the replica while the client did not read"
    );
    assert!(
        held_bytes < 8 << 20,
        "{held_bytes} bytes buffered for a client that does not read"
    );
    let observation = read_response(id, "a flood", 150_000, &mut stream);
    let report = check(&[observation], &servers.served_requests());
    assert_no_violations(&report);
    assert_eq!(
        (
            report.completed,
            report.continued,
            servers.served_requests().len()
        ),
        (1, 0, 1),
        "{report:?}"
    );
}

#[test]
fn disconnect_ends_a_continuation_and_shutdown_completes_it() {
    let rules = vec![
        rule(
            ReplyFault::Stall {
                after: 2,
                ms: 60_000,
            },
            false,
        ),
        rule(ReplyFault::SlowTokens(100), true),
    ];
    let servers = StubServers::start(vec![faulty_script(10, rules); 3]).unwrap();
    let mut node = Node::builder("leaves")
        .replicas(servers.addrs())
        .operator(CONTINUE_STREAMS)
        .start();
    let continued = |count: usize| {
        let begun = || {
            servers
                .served_requests()
                .iter()
                .filter(|record| record.tokens_before > 0 && record.written_bytes > 0)
                .count()
        };
        holds_within(1000, || begun() >= count)
    };
    let (_, stream) = send_request(&node, "leaves", 10);
    assert!(continued(1));
    drop(stream);
    // A node that receives SIGTERM during a continuation completes the continuation before it exits.
    let (id, mut stream) = send_request(&node, "stays", 10);
    assert!(continued(2));
    node.signal("-TERM");
    let observation = read_response(id, "stays", 10, &mut stream);
    let report = check(&[observation], &servers.served_requests());
    assert_no_violations(&report);
    assert_eq!(report.completed, 1);
    assert!(node.child.wait().unwrap().success());
    let abandoned = servers
        .served_requests()
        .into_iter()
        .find(|record| record.prompt == "leaves" && record.tokens_before > 0)
        .unwrap();
    assert!(
        !abandoned.is_complete,
        "the replica completed the stream of a disconnected client"
    );
}

/// Starts a discovery service on a free port. It answers each poll with the next body from the channel. Sending a body blocks
/// until the service uses it for a poll.
fn start_discovery() -> (SocketAddr, mpsc::SyncSender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (sender, answers) = mpsc::sync_channel(0);
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (reader, mut writer) = (BufReader::new(stream.try_clone().unwrap()), stream);
            for _ in reader
                .lines()
                .map_while(Result::ok)
                .filter(String::is_empty)
            {
                let Ok(body): Result<String, _> = answers.recv() else {
                    return;
                };
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                // Fails if the node has ended.
                let _ = writer.write_all(format!("{head}{body}").as_bytes());
            }
        }
    });
    (addr, sender)
}

/// An answer that leaves the endpoint list unchanged.
const NO_CHANGES: &str = r#"{"version":43,"full":false,"servers":[]}"#;

/// Version 42 of the list, as changes: this server drains.
fn draining_list(servers: &StubServers, server: usize) -> String {
    let addr = servers.addrs()[server];
    format!(
        r#"{{"version":42,"full":false,"servers":[{{"id":"s-{server}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"draining","weight":1.0,"started_ms":0}}]}}"#
    )
}

/// Waits until a server has begun to write a continuation, and returns its index.
fn continuing_server(servers: &StubServers) -> usize {
    let find = || {
        servers
            .served_requests()
            .into_iter()
            .find(|record| record.tokens_before > 0 && record.written_bytes > 0)
    };
    let record = (0..1000).find_map(|_| {
        std::thread::sleep(Duration::from_millis(5));
        find()
    });
    record.expect("the stream is continued").server
}

#[test]
fn draining_replica_completes_its_continuation_and_gets_no_other_request() {
    let rules = vec![
        rule(
            ReplyFault::Stall {
                after: 2,
                ms: 60_000,
            },
            false,
        ),
        rule(ReplyFault::SlowTokens(60), true),
    ];
    let servers = StubServers::start(vec![faulty_script(10, rules); 3]).unwrap();
    let (discovery, answers) = start_discovery();
    let node = Node::builder("drained")
        .replicas(servers.addrs())
        .operator(CONTINUE_STREAMS)
        .discovery(&discovery.to_string())
        .start();
    // The node dispatches requests only with a confirmed list.
    let confirmed = NO_CHANGES.replace("43", "41");
    answers.send(confirmed).unwrap();
    let (id, mut stream) = send_request(&node, "drained", 10);
    let server = continuing_server(&servers);
    answers.send(draining_list(&servers, server)).unwrap();
    // The node polls again once it has received the list.
    answers.send(NO_CHANGES.to_string()).unwrap();
    let observation = read_response(id, "drained", 10, &mut stream);
    let report = check(&[observation], &servers.served_requests());
    assert_no_violations(&report);
    assert_eq!((report.completed, report.continued), (1, 1), "{report:?}");
    let before = servers.served_requests().len();
    for server in 0..servers.addrs().len() {
        servers.set_script(server, script(10));
    }
    assert_no_violations(&check(
        &support::run_clients(&node, CLIENTS, 40, 10, |n| format!("after it {n}")),
        &servers.served_requests(),
    ));
    assert!(
        servers.served_requests()[before..]
            .iter()
            .all(|record| record.server != server),
        "a draining replica got a request"
    );
}

#[test]
fn deadline_passing_after_the_first_token_does_not_end_the_stream() {
    // The deadline of 0.5 s applies to the first token only. The tokens and the stall before the continuation take longer.
    let slow = ReplyScript {
        token_gap_ms: 120,
        ..faulty_script(
            8,
            vec![rule(
                ReplyFault::Stall {
                    after: 4,
                    ms: 60_000,
                },
                false,
            )],
        )
    };
    let servers = StubServers::start(vec![slow; 2]).unwrap();
    let node = Node::builder("deadline")
        .replicas(servers.addrs())
        .operator(CONTINUE_STREAMS)
        .start();
    let (id, mut stream) = send_request_within(&node, "deadline", 8, 0.5);
    let report = check(
        &[read_response(id, "deadline", 8, &mut stream)],
        &servers.served_requests(),
    );
    assert_no_violations(&report);
    assert_eq!((report.completed, report.continued), (1, 1), "{report:?}");
}

#[test]
fn repeated_response_reaches_no_other_client() {
    let servers = StubServers::start(vec![ReplyScript {
        first_token_ms: 20,
        ..script(12)
    }])
    .unwrap();
    let node = Node::builder("twice").replicas(servers.addrs()).start();
    // Leaves idle connections in the pool.
    assert_no_violations(&check(
        &support::run_clients(&node, 8, 16, 12, |n| format!("before {n}")),
        &servers.served_requests(),
    ));
    servers.set_script(
        0,
        faulty_script(12, vec![rule(ReplyFault::DuplicateOnIdleConnection, false)]),
    );
    let send_numbered = |n: usize| {
        // The repeated response arrives before the next request is sent.
        std::thread::sleep(Duration::from_millis(20));
        let (id, mut stream) = send_request(&node, &format!("twice {n}"), 12);
        read_response(id, &format!("twice {n}"), 12, &mut stream)
    };
    let report = check(
        &(0..12).map(send_numbered).collect::<Vec<_>>(),
        &servers.served_requests(),
    );
    assert_no_violations(&report);
    assert_eq!(report.completed, 12, "{report:?}");
    assert!(
        servers.unsolicited_count() > 3,
        "{} repeated responses",
        servers.unsolicited_count()
    );
}

#[test]
fn bytes_after_the_end_are_dropped_only_if_streams_are_continued() {
    let violations = |name: &str, fault: ReplyFault, operator: &str| {
        let servers = StubServers::start(vec![faulty_script(6, vec![rule(fault, false)])]).unwrap();
        let node = Node::builder(name)
            .replicas(servers.addrs())
            .operator(operator)
            .start();
        check(
            &support::run_clients(&node, 1, 1, 6, |n| format!("{name} {n}")),
            &servers.served_requests(),
        )
        .violations
    };
    assert_eq!(
        violations("followed", ReplyFault::EventsAfterEnd, CONTINUE_STREAMS),
        [""; 0]
    );
    // The node forwards events that a replica repeats, and the checker reports them.
    assert!(violations("unfollowed", ReplyFault::EventsAfterEnd, "")
        .iter()
        .any(|fault| fault.contains("events after the end")));
    assert!(violations("doubled", ReplyFault::RepeatEvent(2), "")
        .iter()
        .any(|fault| fault.contains("not the beginning")));
}

#[test]
fn streams_command_shows_the_logged_counters() {
    let stall = ReplyFault::Stall {
        after: 2,
        ms: 60_000,
    };
    let stalling = faulty_script(6, vec![rule(stall, false)]);
    let servers = StubServers::start(vec![stalling; 2]).unwrap();
    let mut node = Node::builder("shown")
        .replicas(servers.addrs())
        .operator(CONTINUE_STREAMS)
        .start();
    assert_no_violations(&check(
        &support::run_clients(&node, 1, 3, 6, |n| format!("shown {n}")),
        &servers.served_requests(),
    ));
    node.signal("-TERM");
    assert!(node.child.wait().unwrap().success());
    let has_ended = || {
        let log = node.log.lock().unwrap();
        log.iter()
            .any(|line| line.contains("\"shutdown done: no client is connected\""))
    };
    assert!(holds_within(400, has_ended));
    let path = std::env::temp_dir().join(format!("streams-shown-{}.log", std::process::id()));
    std::fs::write(&path, node.log.lock().unwrap().join("\n")).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .arg("streams")
        .arg(&path)
        .output()
        .unwrap();
    // A leftover file is harmless.
    let _ = std::fs::remove_file(path);
    let output = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.contains("0 live, 3 whole, 3 stalled, 0 broken, 3 continued, 3 saved"),
        "{output}"
    );
    let row = output
        .lines()
        .find(|line| line.starts_with("s-"))
        .expect("a replica's row");
    assert_eq!(row.split_whitespace().count(), 14, "{output}");
    let without_log = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .args(["streams", "/dev/null"])
        .output()
        .unwrap();
    assert!(
        !without_log.status.success()
            && String::from_utf8_lossy(&without_log.stderr).contains("--log-format json")
    );
}
