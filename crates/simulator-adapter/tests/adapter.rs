//! Runs the adapter on hand-written batches and checks its replies and its errors on invalid input.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"me":0,"zone":0,"zones":["a"],"hostTypes":["k"],"tenants":[],
"classes":[{"name":"c","goalTime":1.0,"giveUp":4.0,"gain":1.0,"lateValue":0.0,"semantics":"safe","streaming":true}],
"limits":{"probes":false,"cancel":true,"secondCopies":false,"mostTries":3},"report":{"source":"off","fields":[]},
"rules":{"drainGrace":0.5,"cold":10.0,"coldFrom":0.2,"overloadFactor":3.0,"fall":2.0,"askEvery":10.0},
"costs":{},"membershipMode":"pushed","somethingNew":{"x":1}}"#;

/// A catalog with one replica, and the message that passes it to instance 0.
const ENDPOINT_LIST: &str =
    "catalog 0 1\nworker 10.0.0.1:7001 0 0 0 up 1 -\nroster_change 0 cached 1 0\n";
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
    // Writing fails if the adapter exits on an error before it has read all input. The tests check such errors themselves.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().unwrap()
}

/// A batch that starts instance 0 and then contains these endpoint-list lines.
fn start_batch(endpoint_list: &str) -> String {
    let settings = SETTINGS.replace('\n', "");
    format!("frame 1.0\nspawn 0 7 {settings}\n{endpoint_list}eob\n")
}

fn standard_output(output: Output) -> String {
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let output = run("frame 8.41225\neob\n");
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(standard_output(output), "done\n");
}

#[test]
fn request_is_sent_to_the_listed_replica() {
    let output = run(&format!(
        "{}frame 1.5\n{REQUEST}eob\n",
        start_batch(ENDPOINT_LIST)
    ));
    assert!(output.status.success());
    let text = standard_output(output);
    let attempt = "attempt 0 73912cb95d3a91c4 10.0.0.1:7001 3.000000\ndone\n";
    assert!(text.contains(attempt), "{text}");
}

#[test]
fn catalog_replaces_an_earlier_one_with_the_same_number() {
    let newer = "catalog 0 1\nworker 10.0.0.2:7001 0 0 0 up 1 -\nroster_change 0 full 2 0\n";
    let lists = format!("{ENDPOINT_LIST}{newer}");
    let output = run(&format!("{}frame 1.5\n{REQUEST}eob\n", start_batch(&lists)));
    let text = standard_output(output);
    assert!(text.contains("10.0.0.2:7001"), "{text}");
    assert!(!text.contains("10.0.0.1:7001"), "{text}");
}

#[test]
fn restarted_instance_has_no_endpoints() {
    let restart = start_batch("").replace("frame 1.0\n", "");
    let restarted = format!(
        "{}frame 1.5\npower_off 0\n{restart}",
        start_batch(ENDPOINT_LIST)
    );
    let text = standard_output(run(&format!("{restarted}frame 2.0\n{REQUEST}eob\n")));
    assert!(!text.contains("attempt"), "{text}");
}

/// Input with an error, the number of the faulty line, and a word that the error message contains.
struct InvalidInput {
    input: String,
    line: usize,
    word: &'static str,
}

fn invalid_input(input: impl Into<String>, line: usize, word: &'static str) -> InvalidInput {
    InvalidInput {
        input: input.into(),
        line,
        word,
    }
}

/// Input that ends with this request, for an instance with an endpoint list.
fn invalid_request(request: &str, word: &'static str) -> InvalidInput {
    invalid_input(
        format!("{}frame 2\n{request}eob\n", start_batch(ENDPOINT_LIST)),
        8,
        word,
    )
}

fn invalid_inputs() -> [InvalidInput; 14] {
    let unknown_catalog = start_batch("roster_change 0 full 1 5\n");
    let unknown_zone = start_batch(ENDPOINT_LIST).replace("7001 0", "7001 9");
    [
        invalid_input("frame 1.0\nnonsense 0\neob\n", 2, "nonsense"),
        invalid_input("frame 1.0\nreminder 9 1\neob\n", 2, "reminder"),
        invalid_input("frame x\neob\n", 1, "frame"),
        invalid_input("eob\n", 1, "eob"),
        invalid_input("frame 1.0\nspawn 0 7 {\"balancers\":\neob\n", 2, "spawn"),
        invalid_input("frame 1.0\nspawn 0 7 {}\neob\n", 2, "spawn"),
        invalid_input("frame 1.0\n", 2, "eob"),
        invalid_input(
            "frame 1.0\ncatalog 0 2\nworker 10.0.0.1:1 0 0 0 up 1 -\neob\n",
            4,
            "worker",
        ),
        invalid_input(unknown_catalog, 3, "catalog"),
        invalid_input(unknown_zone, 5, "zone"),
        invalid_request(&REQUEST.replace("c4 0", "c4 7"), "class"),
        invalid_request(&REQUEST.replace("0 - 91", "0 3 91"), "tenant"),
        invalid_request("incoming 0 zz 0\n", "ticket"),
        invalid_request("incoming 0 73912cb95d3a91c4 -\n", "class"),
    ]
}

#[test]
fn invalid_input_ends_the_adapter_with_a_one_line_error() {
    for InvalidInput { input, line, word } in invalid_inputs() {
        let output = run(&input);
        let error = String::from_utf8(output.stderr.clone()).unwrap();
        assert!(!output.status.success(), "{input}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains(&format!("line {line}:")), "{error}");
        assert!(error.contains(word), "{word}: {error}");
        let replies = standard_output(output);
        let is_allowed = |line: &str| line == "done" || line.starts_with("set_alarm");
        assert!(replies.lines().all(is_allowed), "{replies}");
    }
}
