//! The adapter on hand-written batches: what it answers, and how it ends on what it cannot read.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"me":0,"zone":0,"zones":["a"],"hostTypes":["k"],"tenants":[],
"classes":[{"name":"c","goalTime":1.0,"giveUp":4.0,"gain":1.0,"lateValue":0.0,"semantics":"safe","streaming":true}],
"limits":{"probes":false,"cancel":true,"secondCopies":false,"mostTries":3},"report":{"source":"off","fields":[]},
"rules":{"drainGrace":0.5,"cold":10.0,"coldFrom":0.2,"overloadFactor":3.0,"fall":2.0,"askEvery":10.0},
"costs":{},"membershipMode":"pushed","somethingNew":{"x":1}}"#;

/// A catalog of one worker, and the message that gives it to instance 0.
const LIST: &str = "catalog 0 1\nworker 10.0.0.1:7001 0 0 0 up 1 -\nroster_change 0 cached 1 0\n";
/// A request for instance 0.
const REQUEST: &str = "incoming 0 73912cb95d3a91c4 0 - 91f03b7c55d20a64 3.0 - - 1800 1200 256 1\n";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_poppykeel-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // The adapter may end before it has read all: then the rest cannot be written, and need not be.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().unwrap()
}

/// A batch that starts instance 0 and gives it a list.
fn start(list: &str) -> String {
    let settings = SETTINGS.replace('\n', "");
    format!("frame 1.0\nspawn 0 7 {settings}\n{list}eob\n")
}

fn standard_output(output: Output) -> String {
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn answers_an_empty_batch_with_an_empty_reply() {
    let output = run("frame 8.41225\neob\n");
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(standard_output(output), "done\n");
}

#[test]
fn sends_a_request_to_the_listed_replica() {
    let output = run(&format!("{}frame 1.5\n{REQUEST}eob\n", start(LIST)));
    assert!(output.status.success());
    let text = standard_output(output);
    let attempt = "attempt 0 73912cb95d3a91c4 10.0.0.1:7001 3.000000\ndone\n";
    assert!(text.contains(attempt), "{text}");
}

#[test]
fn takes_a_catalog_number_used_again_for_the_newer_list() {
    let newer = "catalog 0 1\nworker 10.0.0.2:7001 0 0 0 up 1 -\nroster_change 0 full 2 0\n";
    let lists = format!("{LIST}{newer}");
    let output = run(&format!("{}frame 1.5\n{REQUEST}eob\n", start(&lists)));
    let text = standard_output(output);
    assert!(text.contains("10.0.0.2:7001"), "{text}");
    assert!(!text.contains("10.0.0.1:7001"), "{text}");
}

#[test]
fn starts_a_killed_instance_empty() {
    let again = start("").replace("frame 1.0\n", "");
    let killed = format!("{}frame 1.5\npower_off 0\n{again}", start(LIST));
    let text = standard_output(run(&format!("{killed}frame 2.0\n{REQUEST}eob\n")));
    assert!(!text.contains("attempt"), "{text}");
}

/// Input that cannot be read, the number of the line at fault, and a word of the error.
struct BadInput {
    input: String,
    line: usize,
    word: &'static str,
}

fn bad_input(input: impl Into<String>, line: usize, word: &'static str) -> BadInput {
    BadInput {
        input: input.into(),
        line,
        word,
    }
}

/// A batch for an instance with a list that ends with this request.
fn bad_request(request: &str, word: &'static str) -> BadInput {
    bad_input(format!("{}frame 2\n{request}eob\n", start(LIST)), 8, word)
}

fn bad_inputs() -> [BadInput; 14] {
    let unknown_catalog = start("roster_change 0 full 1 5\n");
    let unknown_zone = start(LIST).replace("7001 0", "7001 9");
    [
        bad_input("frame 1.0\nnonsense 0\neob\n", 2, "nonsense"),
        bad_input("frame 1.0\nreminder 9 1\neob\n", 2, "reminder"),
        bad_input("frame x\neob\n", 1, "frame"),
        bad_input("eob\n", 1, "eob"),
        bad_input("frame 1.0\nspawn 0 7 {\"balancers\":\neob\n", 2, "spawn"),
        bad_input("frame 1.0\nspawn 0 7 {}\neob\n", 2, "spawn"),
        bad_input("frame 1.0\n", 2, "eob"),
        bad_input(
            "frame 1.0\ncatalog 0 2\nworker 10.0.0.1:1 0 0 0 up 1 -\neob\n",
            4,
            "worker",
        ),
        bad_input(unknown_catalog, 3, "catalog"),
        bad_input(unknown_zone, 5, "zone"),
        bad_request(&REQUEST.replace("c4 0", "c4 7"), "class"),
        bad_request(&REQUEST.replace("0 - 91", "0 3 91"), "tenant"),
        bad_request("incoming 0 zz 0\n", "ticket"),
        bad_request("incoming 0 73912cb95d3a91c4 -\n", "class"),
    ]
}

#[test]
fn ends_with_one_line_on_unreadable_input() {
    for BadInput { input, line, word } in bad_inputs() {
        let output = run(&input);
        let error = String::from_utf8(output.stderr.clone()).unwrap();
        assert!(!output.status.success(), "{input}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains(&format!("line {line}:")), "{error}");
        assert!(error.contains(word), "{word}: {error}");
        let replies = standard_output(output);
        let is_plain = |line: &str| line == "done" || line.starts_with("set_alarm");
        assert!(replies.lines().all(is_plain), "{replies}");
    }
}
