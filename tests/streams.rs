//! Streams that stall and break, on loopback sockets: stub servers that follow scripts, the node as a process of its own, and
//! one checker over what clients and replicas saw.

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

/// Clients that send requests at the same time.
const CLIENTS: usize = 32;

/// Operators' settings that continue streams without a narrow budget and with a short limit of silence.
const CONTINUE_STREAMS: &str =
    "[streams]\ncontinue = true\nshare = 1.0\nreplica_share = 1.0\nfree = 100000\n\
                     stall_least = 0.2\nstall_most = 0.2\n";

/// Expects that clients and replicas saw nothing that contradicts the protocol.
fn assert_consistent(verdict: &CheckReport) {
    assert!(
        verdict.violations.is_empty(),
        "{:#?}",
        &verdict.violations[..verdict.violations.len().min(5)]
    );
}

/// Whether something holds within this many checks, some milliseconds apart.
fn holds_within(checks: usize, mut holds: impl FnMut() -> bool) -> bool {
    (0..checks).any(|_| {
        holds() || {
            std::thread::sleep(Duration::from_millis(5));
            false
        }
    })
}

/// Complete streams of this many tokens.
fn script(tokens: usize) -> ReplyScript {
    ReplyScript {
        token_count: tokens,
        ..ReplyScript::default()
    }
}

/// A fault of each first attempt, or of each continuation.
fn rule(fault: ReplyFault, continued: bool) -> FaultRule {
    FaultRule {
        prompt: None,
        is_continuation: Some(continued),
        every: 1,
        first_of_prompt_only: false,
        max_count: None,
        fault,
    }
}

/// Streams of this many tokens, with these faults.
fn faulty_script(tokens: usize, rules: Vec<FaultRule>) -> ReplyScript {
    ReplyScript {
        rules,
        ..script(tokens)
    }
}

#[test]
fn recovers_stream_cut_at_any_byte() {
    for reset in [false, true] {
        // The first response to each prompt is cut, whichever replica sends it; later ones are complete.
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
        // One body of four tokens is less than 1,200 bytes long; the cuts beyond it never happen.
        let seen = support::run_clients(&node, CLIENTS, 1200, 4, |n| {
            format!("any prompt {n} cut={n}")
        });
        let verdict = check(&seen, &servers.served_requests());
        assert_consistent(&verdict);
        assert_eq!(
            (verdict.completed, verdict.requests),
            (1200, 1200),
            "{verdict:?}"
        );
        assert!(verdict.continued > 300, "{verdict:?}");
    }
}

#[test]
fn stream_cut_before_any_closing_event_loses_and_repeats_no_text() {
    for (part, asked) in [
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
        // One token more than there are, so that a remainder can be requested.
        let seen = support::run_clients(&node, CLIENTS, 1, 7, |n| format!("part {n}"));
        let seen: Vec<ClientObservation> = seen
            .into_iter()
            .map(|seen| ClientObservation {
                expected_token_count: 6,
                ..seen
            })
            .collect();
        let verdict = check(&seen, &servers.served_requests());
        assert_consistent(&verdict);
        assert_eq!(
            (verdict.completed, servers.served_requests().len()),
            (1, asked),
            "{part:?}"
        );
    }
}

#[test]
fn stalled_replica_that_resumes_after_a_continuation_writes_nothing_more() {
    for ms in [190, 210, 230, 260] {
        let stall = faulty_script(8, vec![rule(ReplyFault::Stall { after: 1, ms }, false)]);
        let servers = StubServers::start(vec![stall; 3]).unwrap();
        let node = Node::builder(&format!("recovers-{ms}"))
            .replicas(servers.addrs())
            .operator(CONTINUE_STREAMS)
            .start();
        let verdict = check(
            &support::run_clients(&node, CLIENTS, 40, 8, |n| format!("recovers {n}")),
            &servers.served_requests(),
        );
        assert_consistent(&verdict);
        assert_eq!(verdict.completed, 40, "{verdict:?}");
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
    let seen = support::run_clients(&node, CLIENTS, 60, 8, |n| format!("storm {n}"));
    let verdict = check(&seen, &servers.served_requests());
    assert_consistent(&verdict);
    let continued = servers
        .served_requests()
        .iter()
        .filter(|record| record.tokens_before > 0)
        .count();
    assert!(
        continued <= 6 && continued > 0,
        "{continued} continuations of 60"
    );
    assert_eq!(verdict.completed, continued);
    assert!(seen.iter().all(|seen| matches!(
        seen.outcome,
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
    let seen = support::run_clients(&node, CLIENTS, 4, 9, |n| format!("again {n}"));
    let verdict = check(&seen, &servers.served_requests());
    assert_consistent(&verdict);
    assert_eq!(
        (verdict.failed, servers.served_requests().len()),
        (4, 12),
        "{verdict:?}"
    );
    // Each replica's token was forwarded, and the client got the error event.
    assert!(seen
        .iter()
        .all(|seen| seen.outcome == ClientOutcome::FailedWithError));
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
    let seen = support::run_clients(&node, CLIENTS, 1, 9, |n| format!("late {n}"));
    assert_consistent(&check(&seen, &servers.served_requests()));
    assert_eq!(seen[0].outcome, ClientOutcome::FailedWithError);
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
        let seen = support::run_clients(&node, CLIENTS, 3, 9, |n| format!("ends {n}"));
        let verdict = check(&seen, &servers.served_requests());
        assert_consistent(&verdict);
        assert!(seen.iter().all(|seen| seen.outcome == outcome), "{seen:?}");
        assert_eq!(servers.served_requests().len(), 3, "nobody is asked twice");
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
    // The stub server plans a response of this length before its first token, for seconds where the machine is busy.
    let (id, mut stream) = send_request_within(&node, "a flood", 150_000, 25.0);
    std::thread::sleep(Duration::from_millis(700));
    let held_bytes = resident_bytes(&node).saturating_sub(before);
    let record = servers.served_requests().remove(0);
    assert!(
        !record.is_complete,
        "the server was read on for a reader that stopped"
    );
    assert!(
        held_bytes < 8 << 20,
        "{held_bytes} bytes held for a reader that stopped"
    );
    let seen = read_response(id, "a flood", 150_000, &mut stream);
    let verdict = check(&[seen], &servers.served_requests());
    assert_consistent(&verdict);
    assert_eq!(
        (
            verdict.completed,
            verdict.continued,
            servers.served_requests().len()
        ),
        (1, 0, 1),
        "{verdict:?}"
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
    // A node that is told to stop in the middle of a continuation completes it first.
    let (id, mut stream) = send_request(&node, "stays", 10);
    assert!(continued(2));
    node.signal("-TERM");
    let seen = read_response(id, "stays", 10, &mut stream);
    let verdict = check(&[seen], &servers.served_requests());
    assert_consistent(&verdict);
    assert_eq!(verdict.completed, 1);
    assert!(node.child.wait().unwrap().success());
    let abandoned = servers
        .served_requests()
        .into_iter()
        .find(|record| record.prompt == "leaves" && record.tokens_before > 0)
        .unwrap();
    assert!(!abandoned.is_complete, "its replica wrote on for nobody");
}

/// A discovery service on a free port: each poll is answered with the next text, once there is one. Sending a text waits until
/// a poll takes it.
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
                // A node that has ended takes no answer any more.
                let _ = writer.write_all(format!("{head}{body}").as_bytes());
            }
        }
    });
    (addr, sender)
}

/// An answer to a poll after which the endpoint list is the same.
const NO_CHANGES: &str = r#"{"version":43,"full":false,"servers":[]}"#;

/// An answer to a poll that says that this server drains.
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
    // The list of the start is confirmed, so that the request goes out.
    let confirmed = NO_CHANGES.replace("43", "41");
    answers.send(confirmed).unwrap();
    let (id, mut stream) = send_request(&node, "drained", 10);
    let server = continuing_server(&servers);
    answers.send(draining_list(&servers, server)).unwrap();
    // The node polls again once it has taken the list.
    answers.send(NO_CHANGES.to_string()).unwrap();
    let seen = read_response(id, "drained", 10, &mut stream);
    let verdict = check(&[seen], &servers.served_requests());
    assert_consistent(&verdict);
    assert_eq!(
        (verdict.completed, verdict.continued),
        (1, 1),
        "{verdict:?}"
    );
    let before = servers.served_requests().len();
    for server in 0..servers.addrs().len() {
        servers.set_script(server, script(10));
    }
    assert_consistent(&check(
        &support::run_clients(&node, CLIENTS, 40, 10, |n| format!("after it {n}")),
        &servers.served_requests(),
    ));
    assert!(
        servers.served_requests()[before..]
            .iter()
            .all(|record| record.server != server),
        "work after a drain"
    );
}

#[test]
fn deadline_passing_after_the_first_token_does_not_end_the_stream() {
    // By the protocol it is the deadline of the first token: half a second of text and a silence come before the remainder is
    // requested.
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
    let verdict = check(
        &[read_response(id, "deadline", 8, &mut stream)],
        &servers.served_requests(),
    );
    assert_consistent(&verdict);
    assert_eq!(
        (verdict.completed, verdict.continued),
        (1, 1),
        "{verdict:?}"
    );
}

#[test]
fn repeated_response_reaches_no_other_client() {
    let servers = StubServers::start(vec![ReplyScript {
        first_token_ms: 20,
        ..script(12)
    }])
    .unwrap();
    let node = Node::builder("twice").replicas(servers.addrs()).start();
    // So that there are idle connections.
    assert_consistent(&check(
        &support::run_clients(&node, 8, 16, 12, |n| format!("before {n}")),
        &servers.served_requests(),
    ));
    servers.set_script(
        0,
        faulty_script(12, vec![rule(ReplyFault::DuplicateOnIdleConnection, false)]),
    );
    let twice = |n: usize| {
        // The repeated response has come before the next request goes out.
        std::thread::sleep(Duration::from_millis(20));
        let (id, mut stream) = send_request(&node, &format!("twice {n}"), 12);
        read_response(id, &format!("twice {n}"), 12, &mut stream)
    };
    let verdict = check(
        &(0..12).map(twice).collect::<Vec<_>>(),
        &servers.served_requests(),
    );
    assert_consistent(&verdict);
    assert_eq!(verdict.completed, 12, "{verdict:?}");
    assert!(
        servers.unsolicited_count() > 3,
        "{} answers came twice",
        servers.unsolicited_count()
    );
}

#[test]
fn bytes_after_the_end_are_dropped_only_where_streams_are_continued() {
    let node = |name: &str, fault: ReplyFault, operator: &str| {
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
        node("followed", ReplyFault::EventsAfterEnd, CONTINUE_STREAMS),
        [""; 0]
    );
    // A replica that repeats its own events is responsible for them: the checker sees them, and the node forwards them.
    assert!(node("unfollowed", ReplyFault::EventsAfterEnd, "")
        .iter()
        .any(|fault| fault.contains("events after the end")));
    assert!(node("doubled", ReplyFault::RepeatEvent(2), "")
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
    assert_consistent(&check(
        &support::run_clients(&node, 1, 3, 6, |n| format!("shown {n}")),
        &servers.served_requests(),
    ));
    node.signal("-TERM");
    assert!(node.child.wait().unwrap().success());
    let has_ended = || {
        let log = node.log.lock().unwrap();
        log.iter().any(|line| line.contains("\"done\""))
    };
    assert!(holds_within(400, has_ended));
    let path = std::env::temp_dir().join(format!("streams-shown-{}.log", std::process::id()));
    std::fs::write(&path, node.log.lock().unwrap().join("\n")).unwrap();
    let shown = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .arg("streams")
        .arg(&path)
        .output()
        .unwrap();
    // A file that stays behind harms nobody.
    let _ = std::fs::remove_file(path);
    let shown = String::from_utf8(shown.stdout).unwrap();
    assert!(
        shown.contains("0 live, 3 whole, 3 stalled, 0 broken, 3 continued, 3 saved"),
        "{shown}"
    );
    let row = shown
        .lines()
        .find(|line| line.starts_with("s-"))
        .expect("a replica's row");
    assert_eq!(row.split_whitespace().count(), 14, "{shown}");
    let without_log = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .args(["streams", "/dev/null"])
        .output()
        .unwrap();
    assert!(
        !without_log.status.success()
            && String::from_utf8_lossy(&without_log.stderr).contains("--log-format json")
    );
}
