//! Streams that stall and break, on loopback sockets: stand-in model servers by scripts, the node as a process of its
//! own, and the one checker over what clients and servers saw.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

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
use support::{ask, ask_within, read, Node};

/// Clients at a time.
const CLIENTS: usize = 32;

/// Continuing without a narrow budget, and stalls seen soon.
const SAVES: &str = "[streams]\ncontinue = true\nshare = 1.0\nreplica_share = 1.0\nfree = 100000\n\
                     stall_least = 0.2\nstall_most = 0.2\n";

fn good(verdict: &CheckReport) {
    assert!(
        verdict.violations.is_empty(),
        "{:#?}",
        &verdict.violations[..verdict.violations.len().min(5)]
    );
}

fn script(tokens: usize) -> ReplyScript {
    ReplyScript {
        token_count: tokens,
        ..ReplyScript::default()
    }
}

/// The fault befalls first tries, or continuations.
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

fn with(tokens: usize, rules: Vec<FaultRule>) -> ReplyScript {
    ReplyScript {
        rules,
        ..script(tokens)
    }
}

#[test]
fn a_cut_at_any_byte_by_end_or_reset_is_made_whole() {
    for reset in [false, true] {
        // Each prompt's first answer is cut, wherever it is asked for; what follows is honest.
        let cut = with(
            4,
            vec![FaultRule {
                first_of_prompt_only: true,
                ..rule(ReplyFault::CutWhereTold { reset }, false)
            }],
        );
        let servers = StubServers::start(vec![cut; 3]).unwrap();
        let node = Node::start(&format!("cut-{reset}"), servers.addrs(), SAVES, "safe");
        // One body of four tokens is less than 1,200 bytes long; the cuts beyond it never happen.
        let seen = support::run(&node, CLIENTS, 1200, 4, |n| {
            format!("any prompt {n} cut={n}")
        });
        let verdict = check(&seen, &servers.served_requests());
        good(&verdict);
        assert_eq!(
            (verdict.completed, verdict.requests),
            (1200, 1200),
            "{verdict:?}"
        );
        assert!(verdict.continued > 300, "{verdict:?}");
    }
}

#[test]
fn a_cut_before_each_part_of_the_end_costs_no_text_and_no_second_answer() {
    for (part, asked) in [
        (AnswerPart::Finish, 2),
        (AnswerPart::Usage, 1),
        (AnswerPart::Done, 1),
        (AnswerPart::LastChunk, 1),
    ] {
        let cut = ReplyFault::CutBefore { part, reset: false };
        let servers = StubServers::start(vec![with(6, vec![rule(cut, false)]); 2]).unwrap();
        let node = Node::start(&format!("part-{part:?}"), servers.addrs(), SAVES, "safe");
        // One more token than there are, so that something is left to be asked for.
        let seen = support::run(&node, CLIENTS, 1, 7, |n| format!("part {n}"));
        let seen: Vec<ClientObservation> = seen
            .into_iter()
            .map(|s| ClientObservation {
                expected_token_count: 6,
                ..s
            })
            .collect();
        let verdict = check(&seen, &servers.served_requests());
        good(&verdict);
        assert_eq!(
            (verdict.completed, servers.served_requests().len()),
            (1, asked),
            "{part:?}"
        );
    }
}

#[test]
fn a_server_that_recovers_while_another_carries_on_writes_nothing_more() {
    for ms in [190, 210, 230, 260] {
        let stall = with(8, vec![rule(ReplyFault::Stall { after: 1, ms }, false)]);
        let servers = StubServers::start(vec![stall; 3]).unwrap();
        let node = Node::start(&format!("recovers-{ms}"), servers.addrs(), SAVES, "safe");
        let verdict = check(
            &support::run(&node, CLIENTS, 40, 8, |n| format!("recovers {n}")),
            &servers.served_requests(),
        );
        good(&verdict);
        assert_eq!(verdict.completed, 40, "{verdict:?}");
    }
}

#[test]
fn when_all_servers_stall_the_budget_holds_and_every_client_hears() {
    let stall = || {
        rule(
            ReplyFault::Stall {
                after: 2,
                ms: 60_000,
            },
            false,
        )
    };
    let servers = StubServers::start(vec![with(8, vec![stall()]); 3]).unwrap();
    let operator = SAVES
        .replace("free = 100000", "free = 2")
        .replace("share = 1.0", "share = 0.1");
    let node = Node::start("storm", servers.addrs(), &operator, "safe");
    let seen = support::run(&node, CLIENTS, 60, 8, |n| format!("storm {n}"));
    let verdict = check(&seen, &servers.served_requests());
    good(&verdict);
    let continued = servers
        .served_requests()
        .iter()
        .filter(|r| r.tokens_before > 0)
        .count();
    assert!(
        continued <= 6 && continued > 0,
        "{continued} continuations of 60"
    );
    assert_eq!(verdict.completed, continued);
    assert!(seen.iter().all(|s| matches!(
        s.outcome,
        ClientOutcome::Completed | ClientOutcome::FailedWithError | ClientOutcome::Rejected(_)
    )));
}

#[test]
fn a_continuation_that_stalls_too_is_tried_again_and_then_fails_by_word() {
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
    let servers = StubServers::start(vec![with(9, stalls); 4]).unwrap();
    let node = Node::start("again", servers.addrs(), SAVES, "safe");
    let seen = support::run(&node, CLIENTS, 4, 9, |n| format!("again {n}"));
    let verdict = check(&seen, &servers.served_requests());
    good(&verdict);
    assert_eq!(
        (verdict.failed, servers.served_requests().len()),
        (4, 12),
        "{verdict:?}"
    );
    // Each upstream's token was passed on, and the client was told.
    assert!(seen
        .iter()
        .all(|s| s.outcome == ClientOutcome::FailedWithError));
}

#[test]
fn a_continuation_that_nobody_begins_in_time_fails_by_word() {
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
    let servers = StubServers::start(vec![with(9, late); 2]).unwrap();
    let node = Node::start(
        "late",
        servers.addrs(),
        &format!("{SAVES}wait = 0.3\n"),
        "safe",
    );
    let seen = support::run(&node, CLIENTS, 1, 9, |n| format!("late {n}"));
    good(&check(&seen, &servers.served_requests()));
    assert_eq!(seen[0].outcome, ClientOutcome::FailedWithError);
}

#[test]
fn a_class_that_forbids_a_repeat_and_settings_without_continuing_end_at_once() {
    let cut = ReplyFault::CutAfterBytes {
        after: 500,
        reset: true,
    };
    for (operator, semantics, outcome) in [
        (SAVES, "unsafe", ClientOutcome::FailedWithError),
        ("", "safe", ClientOutcome::Truncated),
    ] {
        let servers = StubServers::start(vec![with(9, vec![rule(cut.clone(), false)]); 2]).unwrap();
        let node = Node::start(
            &format!("ends-{semantics}"),
            servers.addrs(),
            operator,
            semantics,
        );
        let seen = support::run(&node, CLIENTS, 3, 9, |n| format!("ends {n}"));
        let verdict = check(&seen, &servers.served_requests());
        good(&verdict);
        assert!(seen.iter().all(|s| s.outcome == outcome), "{seen:?}");
        assert_eq!(servers.served_requests().len(), 3, "nobody is asked twice");
    }
}

/// The process's memory, in bytes.
fn resident(node: &Node) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{}/statm", node.child.id())).unwrap();
    text.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap()
        * 4096
}

#[test]
fn a_reader_that_stops_is_no_stall_and_fills_no_memory() {
    // Some 30 MB: more than the buffers of all sockets hold.
    let servers = StubServers::start(vec![script(150_000); 2]).unwrap();
    let node = Node::start("reader", servers.addrs(), SAVES, "safe");
    let before = resident(&node);
    // The stand-in plans so long an answer before its first token, for seconds where the machine has much else to do.
    let (id, mut stream) = ask_within(&node, "a flood", 150_000, 25.0);
    std::thread::sleep(Duration::from_millis(700));
    let (held, record) = (
        resident(&node).saturating_sub(before),
        servers.served_requests().remove(0),
    );
    assert!(
        !record.is_complete,
        "the server was read on for a reader that stopped"
    );
    assert!(
        held < 8 << 20,
        "{held} bytes held for a reader that stopped"
    );
    let seen = read(id, "a flood", 150_000, &mut stream);
    let verdict = check(&[seen], &servers.served_requests());
    good(&verdict);
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
fn a_client_that_leaves_in_a_continuation_takes_it_along_and_a_stopping_node_ends_in_order() {
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
    let servers = StubServers::start(vec![with(10, rules); 3]).unwrap();
    let mut node = Node::start("leaves", servers.addrs(), SAVES, "safe");
    let continued = |count: usize| {
        let begun = || {
            servers
                .served_requests()
                .iter()
                .filter(|r| r.tokens_before > 0 && r.written_bytes > 0)
                .count()
        };
        (0..1000).any(|_| {
            begun() >= count || {
                std::thread::sleep(Duration::from_millis(5));
                false
            }
        })
    };
    let (_, stream) = ask(&node, "leaves", 10);
    assert!(continued(1));
    drop(stream);
    // Whoever is told to stop in the middle of a continuation ends it first.
    let (id, mut stream) = ask(&node, "stays", 10);
    assert!(continued(2));
    let child = node.child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &child])
        .status()
        .unwrap()
        .success());
    let seen = read(id, "stays", 10, &mut stream);
    let verdict = check(&[seen], &servers.served_requests());
    good(&verdict);
    assert_eq!(verdict.completed, 1);
    assert!(node.child.wait().unwrap().success());
    let left = servers
        .served_requests()
        .into_iter()
        .find(|r| r.prompt == "leaves" && r.tokens_before > 0)
        .unwrap();
    assert!(!left.is_complete, "its server wrote on for nobody");
}

/// Discovery's list on a free port: each call is answered by the next text, once there is one.
fn list_service() -> (SocketAddr, mpsc::SyncSender<String>) {
    let (listener, (tell, told)) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        mpsc::sync_channel(0),
    );
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (reader, mut writer) = (BufReader::new(stream.try_clone().unwrap()), stream);
            for _ in reader
                .lines()
                .map_while(Result::ok)
                .filter(String::is_empty)
            {
                let Ok(body): Result<String, _> = told.recv() else {
                    return;
                };
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = writer.write_all(format!("{head}{body}").as_bytes());
            }
        }
    });
    (addr, tell)
}

#[test]
fn a_server_drained_in_the_middle_of_a_continuation_ends_it_and_gets_no_other() {
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
    let servers = StubServers::start(vec![with(10, rules); 3]).unwrap();
    let (list, tell) = list_service();
    let node = Node::with_list("drained", servers.addrs(), SAVES, "safe", &list.to_string());
    let (id, mut stream) = ask(&node, "drained", 10);
    let carries_on = || {
        servers
            .served_requests()
            .into_iter()
            .find(|r| r.tokens_before > 0 && r.written_bytes > 0)
    };
    let second = (0..1000).find_map(|_| {
        std::thread::sleep(Duration::from_millis(5));
        carries_on()
    });
    let server = second.expect("it is continued").server;
    let (addr, none) = (
        servers.addrs()[server],
        r#"{"version":43,"full":false,"servers":[]}"#,
    );
    tell.send(format!(
        r#"{{"version":42,"full":false,"servers":[{{"id":"s-{server}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"draining","weight":1.0,"started_ms":0}}]}}"#
    ))
    .unwrap();
    // It asks again once it has heard.
    tell.send(none.to_string()).unwrap();
    let seen = read(id, "drained", 10, &mut stream);
    let verdict = check(&[seen], &servers.served_requests());
    good(&verdict);
    assert_eq!(
        (verdict.completed, verdict.continued),
        (1, 1),
        "{verdict:?}"
    );
    let before = servers.served_requests().len();
    servers
        .addrs()
        .iter()
        .enumerate()
        .for_each(|(n, _)| servers.set_script(n, script(10)));
    good(&check(
        &support::run(&node, CLIENTS, 40, 10, |n| format!("after it {n}")),
        &servers.served_requests(),
    ));
    assert!(
        servers.served_requests()[before..]
            .iter()
            .all(|r| r.server != server),
        "work after a drain"
    );
}

#[test]
fn a_deadline_that_passes_in_the_middle_ends_nothing() {
    // By the protocol it is the first token's: half a second of text and a silence come before the rest is asked for.
    let slow = ReplyScript {
        token_gap_ms: 120,
        ..with(
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
    let node = Node::start("deadline", servers.addrs(), SAVES, "safe");
    let (id, mut stream) = ask_within(&node, "deadline", 8, 0.5);
    let verdict = check(
        &[read(id, "deadline", 8, &mut stream)],
        &servers.served_requests(),
    );
    good(&verdict);
    assert_eq!(
        (verdict.completed, verdict.continued),
        (1, 1),
        "{verdict:?}"
    );
}

#[test]
fn an_answer_that_comes_on_a_second_connection_reaches_nobody_else() {
    let servers = StubServers::start(vec![ReplyScript {
        first_token_ms: 20,
        ..script(12)
    }])
    .unwrap();
    let node = Node::start("twice", servers.addrs(), "", "safe");
    // So that there are connections that idle.
    good(&check(
        &support::run(&node, 8, 16, 12, |n| format!("before {n}")),
        &servers.served_requests(),
    ));
    servers.set_script(
        0,
        with(12, vec![rule(ReplyFault::DuplicateOnIdleConnection, false)]),
    );
    let twice = |n: usize| {
        // What was sent unasked is there before the next request leaves.
        std::thread::sleep(Duration::from_millis(20));
        let (id, mut stream) = ask(&node, &format!("twice {n}"), 12);
        read(id, &format!("twice {n}"), 12, &mut stream)
    };
    let verdict = check(
        &(0..12).map(twice).collect::<Vec<_>>(),
        &servers.served_requests(),
    );
    good(&verdict);
    assert_eq!(verdict.completed, 12, "{verdict:?}");
    assert!(
        servers.unsolicited_count() > 3,
        "{} answers came twice",
        servers.unsolicited_count()
    );
}

#[test]
fn what_follows_an_end_is_dropped_where_answers_are_followed_and_else_passes_as_it_came() {
    let node = |name: &str, fault: ReplyFault, operator: &str| {
        let servers = StubServers::start(vec![with(6, vec![rule(fault, false)])]).unwrap();
        let node = Node::start(name, servers.addrs(), operator, "safe");
        check(
            &support::run(&node, 1, 1, 6, |n| format!("{name} {n}")),
            &servers.served_requests(),
        )
        .violations
    };
    assert_eq!(node("followed", ReplyFault::EventsAfterEnd, SAVES), [""; 0]);
    // A server that doubles its own words does so under its own name: the checker sees it, the node leaves it.
    assert!(node("unfollowed", ReplyFault::EventsAfterEnd, "")
        .iter()
        .any(|b| b.contains("events after the end")));
    assert!(node("doubled", ReplyFault::RepeatEvent(2), "")
        .iter()
        .any(|b| b.contains("not the beginning")));
}

#[test]
fn the_log_says_how_streams_fared_and_the_command_shows_it() {
    let servers = StubServers::start(vec![
        with(
            6,
            vec![rule(
                ReplyFault::Stall {
                    after: 2,
                    ms: 60_000
                },
                false
            )]
        );
        2
    ]);
    let servers = servers.unwrap();
    let mut node = Node::start("shown", servers.addrs(), SAVES, "safe");
    good(&check(
        &support::run(&node, 1, 3, 6, |n| format!("shown {n}")),
        &servers.served_requests(),
    ));
    assert!(Command::new("kill")
        .args(["-TERM", &node.child.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert!(node.child.wait().unwrap().success());
    let whole = || {
        node.log
            .lock()
            .unwrap()
            .iter()
            .any(|l| l.contains("\"done\""))
    };
    assert!((0..400).any(|_| whole() || {
        std::thread::sleep(Duration::from_millis(5));
        false
    }));
    let path = std::env::temp_dir().join(format!("streams-shown-{}.log", std::process::id()));
    std::fs::write(&path, node.log.lock().unwrap().join("\n")).unwrap();
    let shown = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .arg("streams")
        .arg(&path)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(path);
    let shown = String::from_utf8(shown.stdout).unwrap();
    assert!(
        shown.contains("0 live, 3 whole, 3 stalled, 0 broken, 3 continued, 3 saved"),
        "{shown}"
    );
    let row = shown
        .lines()
        .find(|l| l.starts_with("s-"))
        .expect("a replica's row");
    assert_eq!(row.split_whitespace().count(), 14, "{shown}");
    let none = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .args(["streams", "/dev/null"])
        .output()
        .unwrap();
    assert!(
        !none.status.success()
            && String::from_utf8_lossy(&none.stderr).contains("--log-format json")
    );
}
