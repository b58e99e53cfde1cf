//! The adapter on hand-written batches: what it answers, and how it ends on what it cannot read.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = r#"{"balancers":1,"me":0,"zone":0,"zones":["a"],"hostTypes":["k"],"tenants":[],
"classes":[{"name":"c","goalTime":1.0,"giveUp":4.0,"gain":1.0,"lateValue":0.0,"semantics":"safe","streaming":true}],
"limits":{"probes":false,"cancel":true,"secondCopies":false,"mostTries":3},"report":{"source":"off","fields":[]},
"rules":{"drainGrace":0.5,"cold":10.0,"coldFrom":0.2,"overloadFactor":3.0,"fall":2.0,"askEvery":10.0},
"costs":{},"membershipMode":"pushed","somethingNew":{"x":1}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_poppykeel-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    // The adapter may end before it has read all: then the rest cannot be written, and need not be.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().unwrap()
}

fn start(list: &str) -> String {
    let boot = BOOT.replace('\n', "");
    format!("frame 1.0\nspawn 0 7 {boot}\n{list}eob\n")
}

const LIST: &str = "catalog 0 1\nworker 10.0.0.1:7001 0 0 0 up 1 -\nroster_change 0 cached 1 0\n";
const ASK: &str = "incoming 0 73912cb95d3a91c4 0 - 91f03b7c55d20a64 3.0 - - 1800 1200 256 1\n";

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let out = run("frame 8.41225\neob\n");
    assert_eq!(String::from_utf8(out.stdout).unwrap(), "done\n");
    assert!(out.status.success() && out.stderr.is_empty());
}

#[test]
fn a_request_is_sent_to_the_listed_worker() {
    let out = run(&format!("{}frame 1.5\n{ASK}eob\n", start(LIST)));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(
        text.contains("attempt 0 73912cb95d3a91c4 10.0.0.1:7001 3.000000\ndone\n"),
        "{text}"
    );
    assert!(out.status.success());
}

#[test]
fn a_catalog_number_used_again_in_a_batch_means_the_newer_list() {
    let lists =
        format!("{LIST}catalog 0 1\nworker 10.0.0.2:7001 0 0 0 up 1 -\nroster_change 0 full 2 0\n");
    let out = run(&format!("{}frame 1.5\n{ASK}eob\n", start(&lists)));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(
        text.contains("10.0.0.2:7001") && !text.contains("10.0.0.1:7001"),
        "{text}"
    );
}

#[test]
fn a_killed_instance_starts_empty() {
    let again = start("").replace("frame 1.0\n", "");
    let input = format!(
        "{}frame 1.5\npower_off 0\n{again}frame 2.0\n{ASK}eob\n",
        start(LIST)
    );
    let text = String::from_utf8(run(&input).stdout).unwrap();
    assert!(!text.contains("attempt"), "{text}");
}

#[test]
fn what_cannot_be_read_ends_with_one_plain_line() {
    let cases = [
        ("frame 1.0\nnonsense 0\neob\n".to_string(), 2, "nonsense"),
        ("frame 1.0\nreminder 9 1\neob\n".to_string(), 2, "reminder"),
        ("frame x\neob\n".to_string(), 1, "frame"),
        ("eob\n".to_string(), 1, "eob"),
        (
            "frame 1.0\nspawn 0 7 {\"balancers\":\neob\n".to_string(),
            2,
            "spawn",
        ),
        ("frame 1.0\nspawn 0 7 {}\neob\n".to_string(), 2, "spawn"),
        ("frame 1.0\n".to_string(), 2, "eob"),
        (
            "frame 1.0\ncatalog 0 2\nworker 10.0.0.1:1 0 0 0 up 1 -\neob\n".to_string(),
            4,
            "worker",
        ),
        (start("roster_change 0 full 1 5\n"), 3, "catalog"),
        (start(LIST).replace("7001 0", "7001 9"), 5, "zone"),
        (
            format!(
                "{}frame 2\n{}eob\n",
                start(LIST),
                ASK.replace("c4 0", "c4 7")
            ),
            8,
            "class",
        ),
        (
            format!(
                "{}frame 2\n{}eob\n",
                start(LIST),
                ASK.replace("0 - 91", "0 3 91")
            ),
            8,
            "tenant",
        ),
        (
            format!("{}frame 2\nincoming 0 zz 0\neob\n", start(LIST)),
            8,
            "ticket",
        ),
        (
            format!(
                "{}frame 2\nincoming 0 73912cb95d3a91c4 -\neob\n",
                start(LIST)
            ),
            8,
            "class",
        ),
    ];
    for (input, line, word) in cases {
        let out = run(&input);
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{input}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(
            text.contains(&format!("line {line}:")) && text.contains(word),
            "{word}: {text}"
        );
        assert!(String::from_utf8(out.stdout)
            .unwrap()
            .lines()
            .all(|l| l == "done" || l.starts_with("set_alarm")));
    }
}
