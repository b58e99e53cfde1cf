//! Tests of transcripts: streams of several replicas are merged into one.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stream_recovery::{StreamProgress, StreamTranscript};
use proptest::prelude::*;
use serde_json::{json, Value};
use support::{finish_event, request_body, text_event, usage_event, END_OF_STREAM};

#[test]
fn merges_the_streams_of_two_replicas() {
    let mut transcript = StreamTranscript::default();
    let first = text_event("one", "ab ") + &text_event("one", "cd ");
    let forwarded = transcript.forward(0, format!("{first}data: {{\"id\"").as_bytes());
    assert_eq!(
        String::from_utf8(forwarded.bytes).unwrap(),
        first,
        "events of the first replica are forwarded unchanged"
    );
    let request = transcript.continuation_request(&request_body()).unwrap();
    let request: Value = serde_json::from_slice(&request).unwrap();
    assert_eq!(
        request["messages"][1],
        json!({"role": "assistant", "content": "ab cd "})
    );
    assert_eq!(request["max_tokens"], json!(7));
    assert_eq!(request["continue_final_message"], json!(true));
    assert!(request.get("n").is_none());
    assert_eq!(transcript.begin_epoch(), 1);
    // Bytes of the first replica that arrive after the continuation started.
    let late = text_event("one", "ef ");
    assert_eq!(
        transcript.forward(0, late.as_bytes()).dropped_bytes,
        late.len()
    );
    let second = [
        text_event("two", ""),
        text_event("two", "ef "),
        finish_event("two"),
        usage_event(12, 1),
        END_OF_STREAM.to_string(),
    ];
    let forwarded = transcript.forward(1, second.concat().as_bytes());
    let text = String::from_utf8(forwarded.bytes).unwrap();
    assert!(!text.contains("two") && text.contains("\"one\""), "{text}");
    assert!(!text.contains("role"), "{text}");
    assert!(text.contains("\"prompt_tokens\":10"), "{text}");
    assert!(text.contains("\"completion_tokens\":3"), "{text}");
    assert_eq!(transcript.progress(), StreamProgress::Done);
    assert_eq!(transcript.text(), "ab cd ef ");
    let after_end = transcript.forward(1, text_event("two", "more").as_bytes());
    assert_eq!(after_end.event_count, 0, "events after the end are dropped");
}

#[test]
fn unsupported_responses_are_not_continued() {
    let choice = |choice: Value| format!("data: {}\n\n", json!({"choices": [choice]}));
    let answers = [
        choice(json!({"index": 1, "delta": {"content": "x"}})),
        choice(json!({"index": 0, "delta": {"tool_calls": [{"index": 0}]}})),
        choice(json!({"index": 0, "delta": {"content": "x"}, "logprobs": {"content": []}})),
        "data: {\"error\": {}}\n\n".to_string(),
        "data: not json\n\n".to_string(),
    ];
    for answer in answers {
        let mut transcript = StreamTranscript::default();
        transcript.forward(0, answer.as_bytes());
        assert!(transcript.obstacle().is_some(), "{answer}");
        assert!(
            transcript.continuation_request(&request_body()).is_err(),
            "{answer}"
        );
    }
}

#[test]
fn unsupported_requests_are_not_continued() {
    let transcript = StreamTranscript::default();
    let requests = [
        json!({}),
        json!({"stream": true, "n": 2, "messages": []}),
        json!({"stream": true, "messages": [{"role": "assistant"}]}),
    ];
    for request in requests {
        let body = request.to_string();
        assert!(
            transcript.continuation_request(body.as_bytes()).is_err(),
            "{request}"
        );
    }
}

/// The bytes that a transcript forwards if they arrive in pieces of these lengths, repeated cyclically.
fn forward_in_pieces(
    transcript: &mut StreamTranscript,
    bytes: &[u8],
    piece_lengths: &[usize],
) -> Vec<u8> {
    let mut remaining = bytes;
    let mut forwarded = Vec::new();
    for length in piece_lengths.iter().cycle() {
        let (piece, after) = remaining.split_at((*length).min(remaining.len()));
        forwarded.extend(transcript.forward(0, piece).bytes);
        remaining = after;
        if remaining.is_empty() {
            break;
        }
    }
    forwarded
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// The forwarded bytes do not depend on how the input is split into pieces, and no input causes a panic.
    #[test]
    fn forwarded_bytes_do_not_depend_on_piece_boundaries(
        piece_lengths in prop::collection::vec(1..40_usize, 1..60),
        random_bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let answer = [
            text_event("one", "ab "),
            text_event("one", "é "),
            finish_event("one"),
            usage_event(3, 2),
            END_OF_STREAM.to_string(),
        ];
        for bytes in [answer.concat().into_bytes(), random_bytes] {
            let mut whole = StreamTranscript::default();
            let mut pieces = StreamTranscript::default();
            let expected = whole.forward(0, &bytes).bytes;
            prop_assert_eq!(forward_in_pieces(&mut pieces, &bytes, &piece_lengths), expected);
            prop_assert_eq!(whole.progress(), pieces.progress());
        }
    }
}
