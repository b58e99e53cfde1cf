//! Tests of parsing scripts: every key and every fault, by its name in TOML.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_stub_model_server::{AnswerPart, FaultRule, ReplyFault, ReplyScript};

fn parsed_fault(toml: &str) -> ReplyFault {
    let script = ReplyScript::parse(&format!("[[rule]]\nfault = {toml}\n")).unwrap();
    script.rules[0].fault.clone()
}

#[test]
fn parses_every_key() {
    let text = "first_ms = 5\ngap_ms = 20\ntokens = 7\n\
                [[rule]]\nprompt = \"a\"\ncontinued = true\nevery = 3\nonce = true\nmost = 2\nfault = \"silent\"\n";
    let expected = ReplyScript {
        first_token_ms: 5,
        token_gap_ms: 20,
        token_count: 7,
        rules: vec![FaultRule {
            prompt: Some("a".into()),
            is_continuation: Some(true),
            every: 3,
            first_of_prompt_only: true,
            max_count: Some(2),
            fault: ReplyFault::Silent,
        }],
    };
    assert_eq!(ReplyScript::parse(text).unwrap(), expected);
}

#[test]
fn parses_every_fault() {
    let faults = [
        (
            "{ stall = { after = 2, ms = 9 } }",
            ReplyFault::Stall { after: 2, ms: 9 },
        ),
        ("{ trickle = 4 }", ReplyFault::SlowTokens(4)),
        (
            "{ cut-bytes = { after = 3, reset = true } }",
            ReplyFault::CutAfterBytes {
                after: 3,
                reset: true,
            },
        ),
        (
            "{ cut-named = {} }",
            ReplyFault::CutAtPromptOffset { reset: false },
        ),
        (
            "{ cut-before = { part = \"last-chunk\" } }",
            ReplyFault::CutBefore {
                part: AnswerPart::LastChunk,
                reset: false,
            },
        ),
        ("{ repeat = 1 }", ReplyFault::RepeatEvent(1)),
        ("\"go-on\"", ReplyFault::EventsAfterEnd),
        ("\"twice\"", ReplyFault::DuplicateOnIdleConnection),
        ("{ status = 500 }", ReplyFault::Status(500)),
        ("\"silent\"", ReplyFault::Silent),
    ];
    for (toml, expected) in faults {
        assert_eq!(parsed_fault(toml), expected, "{toml}");
    }
}

#[test]
fn parse_error_contains_the_key_and_line() {
    let error = ReplyScript::parse("tokens = 3\nspeed = 1\n").unwrap_err();
    let text = error.to_string();
    assert!(text.contains("line 2") && text.contains("speed"), "{text}");
}

#[test]
fn example_is_a_valid_script() {
    ReplyScript::parse(include_str!("../examples/stalls.toml")).unwrap();
}
