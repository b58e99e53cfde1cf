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
        let epoch = transcript.epoch();
        forwarded.extend(transcript.forward(epoch, piece).bytes);
        remaining = after;
        if remaining.is_empty() {
            break;
        }
    }
    forwarded
}

/// Any JSON, with the keys that transcripts read.
fn any_json() -> impl Strategy<Value = Value> {
    let key = prop::sample::select(vec![
        "choices",
        "delta",
        "content",
        "usage",
        "index",
        "id",
        "model",
        "created",
        "error",
        "finish_reason",
        "prompt_tokens",
        "completion_tokens",
        "tool_calls",
        "role",
    ]);
    let scalar = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(|value| json!(value)),
        any::<u64>().prop_map(|value| json!(value)),
        "[a-z]{0,5}".prop_map(|value| json!(value)),
    ];
    scalar.prop_recursive(4, 24, 4, move |inner| {
        let object = prop::collection::btree_map(key.clone(), inner.clone(), 0..4);
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(Value::from),
            object.prop_map(|object| json!(object)),
        ]
    })
}

/// Guards against an event that ends the process: the JSON of an event of a later replica was taken for an object, and its
/// fields for objects, arrays and small numbers.
#[test]
fn event_of_a_later_replica_may_be_any_json() {
    let big = json!({"prompt_tokens": u64::MAX, "completion_tokens": u64::MAX});
    let events = [
        json!(8413),
        json!("text"),
        json!([]),
        json!(null),
        json!({"choices": [8413, null, "text", {"delta": 3}]}),
        json!({"choices": 3, "usage": 4}),
        json!({"choices": [], "usage": big}),
    ];
    for event in events {
        let mut transcript = StreamTranscript::default();
        transcript.forward(0, text_event("one", "ab ").as_bytes());
        transcript.begin_epoch();
        transcript.forward(1, format!("data: {event}\n\n").as_bytes());
        let rest = text_event("two", "cd ") + END_OF_STREAM;
        let forwarded = transcript.forward(1, rest.as_bytes()).bytes;
        let forwarded = String::from_utf8(forwarded).unwrap();
        assert!(forwarded.contains("cd "), "after {event}: {forwarded}");
        assert_eq!(transcript.progress(), StreamProgress::Done, "after {event}");
    }
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

    /// No event, in whichever pieces it comes and of whichever replica, causes a panic.
    #[test]
    fn no_event_of_any_replica_causes_a_panic(
        events in prop::collection::vec((any_json(), any::<bool>()), 1..12),
        piece_lengths in prop::collection::vec(1..40_usize, 1..60),
        request in any_json(),
    ) {
        let mut transcript = StreamTranscript::default();
        transcript.forward(0, text_event("one", "ab ").as_bytes());
        let request = request.to_string().into_bytes();
        for (event, begins_epoch) in events {
            if begins_epoch {
                transcript.begin_epoch();
            }
            let bytes = format!("data: {event}\n\n").into_bytes();
            forward_in_pieces(&mut transcript, &bytes, &piece_lengths);
            transcript.is_text_complete(&request);
            transcript.closing_events();
            let _ = transcript.continuation_request(&request);
        }
    }
}
