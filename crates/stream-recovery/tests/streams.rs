//! Health, story and recovery with fed events and time.

#![expect(clippy::too_many_lines, reason = "not yet converted")]

use poppykeel_stream_recovery::*;
use proptest::prelude::*;
use serde_json::{json, Value};

const SECOND: Micros = 1_000_000;

fn chunk(id: &str, text: &str) -> String {
    format!(
        "data: {}\n\n",
        json!({"id": id, "model": id, "choices": [{"index": 0, "delta": {"role": "assistant", "content": text}, "finish_reason": null}]})
    )
}

fn finish(id: &str) -> String {
    format!(
        "data: {}\n\n",
        json!({"id": id, "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]})
    )
}

fn usage(prompt: u64, answer: u64) -> String {
    format!(
        "data: {}\n\n",
        json!({"id": "x", "choices": [], "usage": {"prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt + answer}})
    )
}

fn case() -> Case {
    Case {
        allowed: true,
        repeatable: true,
        tries: 0,
        reader: true,
        ending: false,
    }
}

fn body() -> Vec<u8> {
    json!({"stream": true, "max_tokens": 9, "messages": [{"role": "user", "content": "hi"}]})
        .to_string()
        .into()
}

#[test]
fn the_limit_follows_the_replica_within_its_bounds() {
    let limits = Limits {
        least: SECOND,
        most: 5 * SECOND,
        aims: 20.0,
        gaps: 2.0,
    };
    let mut gaps = Gaps::default();
    assert_eq!(gaps.limit(None, &limits), SECOND);
    assert_eq!(gaps.limit(Some(100_000), &limits), 2 * SECOND);
    (0..500).for_each(|_| gaps.add(40_000));
    assert_eq!(gaps.limit(None, &limits), SECOND);
    // A slow healthy replica: one gap in ten lasts 1.5 s.
    (0..500).for_each(|n| gaps.add(if n % 10 == 0 { 1_500_000 } else { 100_000 }));
    let limit = gaps.limit(None, &limits);
    assert!((3 * SECOND..4 * SECOND).contains(&limit), "{limit}");
    (0..500).for_each(|_| gaps.add(20 * SECOND));
    assert_eq!(gaps.limit(None, &limits), 5 * SECOND);
    // What has passed fades.
    (0..20_000).for_each(|_| gaps.add(40_000));
    assert_eq!(gaps.limit(None, &limits), SECOND);
}

#[test]
fn a_replica_that_was_given_up_too_early_is_waited_for_longer_next_time() {
    let limits = Limits {
        least: 3 * SECOND,
        most: 5 * SECOND,
        aims: 0.0,
        gaps: 1.5,
    };
    let mut gaps = Gaps::default();
    (0..300).for_each(|_| gaps.add(20_000));
    let mut given_up = 0;
    while gaps.limit(None, &limits) <= 3 * SECOND {
        gaps.gave_up(3 * SECOND);
        given_up += 1;
        assert!(
            given_up < 5,
            "one stream after the other is lost to the same limit"
        );
    }
}

#[test]
fn states_follow_events_reader_and_time() {
    let mut health = Health::new(0, 3 * SECOND, Some(SECOND / 2));
    assert_eq!(
        (health.state(0), health.due()),
        (State::Flowing, Some(3 * SECOND))
    );
    assert_eq!(health.state(SECOND), State::Slow);
    assert_eq!(health.event(SECOND), Some(SECOND));
    assert_eq!(health.state(SECOND), State::Slow);
    health.event(SECOND + 1000);
    assert_eq!(health.state(SECOND + 1000), State::Flowing);
    assert_eq!(health.state(5 * SECOND), State::Stalled);
    // While the reader is waited for nothing is a stall, and the wait is no gap.
    health.reader_waits(2 * SECOND);
    assert_eq!(
        (health.state(90 * SECOND), health.due()),
        (State::Outrun, None)
    );
    assert_eq!(health.event(80 * SECOND), None);
    health.reader_took(90 * SECOND);
    assert_eq!(
        (health.state(91 * SECOND), health.due()),
        (State::Slow, Some(93 * SECOND))
    );
    let mut whole = health.clone();
    health.ended(false);
    whole.ended(true);
    assert_eq!(
        (health.state(95 * SECOND), whole.state(95 * SECOND)),
        (State::Broken, State::Whole)
    );
    assert_eq!((whole.due(), whole.event(96 * SECOND)), (None, None));
}

#[test]
fn two_upstreams_make_one_coherent_stream() {
    let mut story = Story::default();
    let first = format!("{}{}", chunk("one", "ab "), chunk("one", "cd "));
    let passed = story.feed(0, format!("{first}data: {{\"id\"").as_bytes());
    assert_eq!(
        String::from_utf8(passed.bytes).unwrap(),
        first,
        "the first upstream's events pass unchanged"
    );
    let rest = story.request(&body()).unwrap();
    let rest: Value = serde_json::from_slice(&rest).unwrap();
    assert_eq!(
        rest["messages"][1],
        json!({"role": "assistant", "content": "ab cd "})
    );
    assert_eq!(
        (&rest["max_tokens"], &rest["continue_final_message"]),
        (&json!(7), &json!(true))
    );
    assert!(rest.get("n").is_none());
    assert_eq!(story.next_epoch(), 1);
    // The old one still speaks.
    assert_eq!(
        story.feed(0, chunk("one", "ef ").as_bytes()).dropped,
        chunk("one", "ef ").len()
    );
    let second = [
        chunk("two", ""),
        chunk("two", "ef "),
        finish("two"),
        usage(12, 1),
        "data: [DONE]\n\n".into(),
    ];
    let out = String::from_utf8(story.feed(1, second.concat().as_bytes()).bytes).unwrap();
    assert!(
        !out.contains("two") && out.contains("\"one\"") && !out.contains("role"),
        "{out}"
    );
    assert!(
        out.contains("\"prompt_tokens\":10") && out.contains("\"completion_tokens\":3"),
        "{out}"
    );
    assert_eq!(
        (story.progress(), story.text()),
        (Progress::Done, "ab cd ef ")
    );
    assert_eq!(
        story.feed(1, chunk("two", "more").as_bytes()).events,
        0,
        "nothing after the end"
    );
}

#[test]
fn what_cannot_be_one_stream_is_not_continued() {
    let choices = |value: Value| format!("data: {}\n\n", json!({"choices": [value]}));
    let cases = [
        choices(json!({"index": 1, "delta": {"content": "x"}})),
        choices(json!({"index": 0, "delta": {"tool_calls": [{"index": 0}]}})),
        choices(json!({"index": 0, "delta": {"content": "x"}, "logprobs": {"content": []}})),
        "data: {\"error\": {}}\n\n".to_string(),
        "data: not json\n\n".to_string(),
    ];
    for text in cases {
        let mut story = Story::default();
        story.feed(0, text.as_bytes());
        assert!(
            story.closed().is_some() && story.request(&body()).is_err(),
            "{text}"
        );
    }
    let story = Story::default();
    for bad in [
        json!({}),
        json!({"stream": true, "n": 2, "messages": []}),
        json!({"stream": true, "messages": [{"role": "assistant"}]}),
    ] {
        assert!(story.request(bad.to_string().as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn judging_asks_the_budget_last() {
    let budget = Budget::default();
    let mut story = Story::default();
    story.feed(0, chunk("one", "ab ").as_bytes());
    let never = || -> bool { panic!("the budget was asked") };
    let cases = [
        (
            Case {
                allowed: false,
                ..case()
            },
            Refusal::Off,
        ),
        (
            Case {
                reader: false,
                ..case()
            },
            Refusal::Gone,
        ),
        (
            Case {
                repeatable: false,
                ..case()
            },
            Refusal::Effect,
        ),
        (
            Case {
                ending: true,
                ..case()
            },
            Refusal::Ending,
        ),
        (Case { tries: 2, ..case() }, Refusal::Tries),
    ];
    for (case, why) in cases {
        assert_eq!(
            judge(&case, &story, &body(), &budget, never),
            Ends::Fail(why)
        );
    }
    assert_eq!(
        judge(&case(), &story, &body(), &budget, || false),
        Ends::Fail(Refusal::Budget)
    );
    assert!(matches!(
        judge(&case(), &story, &body(), &budget, || true),
        Ends::Continue(_)
    ));
    // All of the limit has passed: nothing is left to be asked for.
    let mut spent = story.clone();
    (0..8).for_each(|_| drop(spent.feed(0, chunk("one", "ab ").as_bytes())));
    assert_eq!(
        judge(&case(), &spent, &body(), &budget, never),
        Ends::Complete
    );
    let ending = String::from_utf8(spent.ending()).unwrap();
    assert!(
        ending.contains("\"length\"")
            && ending.contains("\"one\"")
            && ending.ends_with("[DONE]\n\n")
    );
    // Whole text: the end is written, whatever the class.
    story.feed(0, finish("one").as_bytes());
    assert_eq!(
        judge(
            &Case {
                repeatable: false,
                ..case()
            },
            &story,
            &body(),
            &budget,
            never
        ),
        Ends::Complete
    );
}

#[test]
fn budgets_hold_over_their_window_and_come_back_after_it() {
    let budget = Budget {
        tries: 1,
        share: 0.1,
        free: 2,
        window: 10 * SECOND,
    };
    let mut budgets = Budgets::default();
    assert_eq!((0..9).filter(|_| budgets.take(0, &budget)).count(), 2);
    (0..100).for_each(|_| budgets.begun(SECOND, &budget));
    assert_eq!(
        (0..99)
            .filter(|_| budgets.take(2 * SECOND, &budget))
            .count(),
        8
    );
    assert_eq!(
        (0..9)
            .filter(|_| budgets.take(30 * SECOND, &budget))
            .count(),
        2
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// However bytes are cut into pieces, the same passes; and whatever they are, nothing panics.
    #[test]
    fn pieces_of_any_size_pass_alike(
        cuts in prop::collection::vec(1..40_usize, 1..60),
        noise in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let text = [chunk("one", "ab "), chunk("one", "é "), finish("one"), usage(3, 2), "data: [DONE]\n\n".into()];
        for bytes in [text.concat().into_bytes(), noise] {
            let (mut whole, mut pieces) = (Story::default(), Story::default());
            let expected = whole.feed(0, &bytes).bytes;
            let (mut rest, mut out) = (&bytes[..], Vec::new());
            for cut in cuts.iter().cycle() {
                let (piece, after) = rest.split_at((*cut).min(rest.len()));
                out.extend(pieces.feed(0, piece).bytes);
                rest = after;
                if rest.is_empty() {
                    break;
                }
            }
            prop_assert_eq!(out, expected);
            prop_assert_eq!(whole.progress(), pieces.progress());
        }
    }
}
