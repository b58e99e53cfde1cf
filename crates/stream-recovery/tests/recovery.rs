//! Decisions on interrupted streams, and their budget.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stream_recovery::{
    decide_recovery, ContinuationBudget, ContinuationLimits, InterruptedStream, RecoveryDecision,
    RecoveryRefusal, StreamTranscript,
};
use support::{finish_event, request_body, text_event, SECOND};

fn interrupted() -> InterruptedStream {
    InterruptedStream {
        max_continuations: Some(2),
        is_idempotent: true,
        continuations: 0,
        is_client_connected: true,
        is_shutting_down: false,
    }
}

fn begun_transcript() -> StreamTranscript {
    let mut transcript = StreamTranscript::default();
    transcript.forward(0, text_event("one", "ab ").as_bytes());
    transcript
}

fn budget_is_not_asked() -> bool {
    panic!("the budget was asked")
}

#[test]
fn refuses_what_cannot_be_continued_before_it_asks_the_budget() {
    let cases = [
        (
            InterruptedStream {
                max_continuations: None,
                ..interrupted()
            },
            RecoveryRefusal::SwitchedOff,
        ),
        (
            InterruptedStream {
                is_client_connected: false,
                ..interrupted()
            },
            RecoveryRefusal::ClientDisconnected,
        ),
        (
            InterruptedStream {
                is_idempotent: false,
                ..interrupted()
            },
            RecoveryRefusal::NotIdempotent,
        ),
        (
            InterruptedStream {
                is_shutting_down: true,
                ..interrupted()
            },
            RecoveryRefusal::ShuttingDown,
        ),
        (
            InterruptedStream {
                continuations: 2,
                ..interrupted()
            },
            RecoveryRefusal::TooManyContinuations,
        ),
    ];
    for (stream, refusal) in cases {
        let decision = decide_recovery(
            &stream,
            &begun_transcript(),
            &request_body(),
            budget_is_not_asked,
        );
        assert_eq!(decision, RecoveryDecision::Fail(refusal));
    }
}

#[test]
fn continues_within_the_budget_only() {
    let transcript = begun_transcript();
    let refused = decide_recovery(&interrupted(), &transcript, &request_body(), || false);
    assert_eq!(
        refused,
        RecoveryDecision::Fail(RecoveryRefusal::BudgetSpent)
    );
    let allowed = decide_recovery(&interrupted(), &transcript, &request_body(), || true);
    assert!(matches!(allowed, RecoveryDecision::Continue(_)));
}

#[test]
fn completes_an_answer_that_has_reached_its_token_limit() {
    let mut transcript = begun_transcript();
    for _ in 0..8 {
        transcript.forward(0, text_event("one", "ab ").as_bytes());
    }
    let decision = decide_recovery(
        &interrupted(),
        &transcript,
        &request_body(),
        budget_is_not_asked,
    );
    assert_eq!(decision, RecoveryDecision::Complete);
    let closing = String::from_utf8(transcript.closing_events()).unwrap();
    assert!(closing.contains("\"length\"") && closing.contains("\"one\""));
    assert!(closing.ends_with("[DONE]\n\n"));
}

#[test]
fn completes_a_complete_text_whatever_its_class() {
    let mut transcript = begun_transcript();
    transcript.forward(0, finish_event("one").as_bytes());
    let stream = InterruptedStream {
        is_idempotent: false,
        ..interrupted()
    };
    let decision = decide_recovery(&stream, &transcript, &request_body(), budget_is_not_asked);
    assert_eq!(decision, RecoveryDecision::Complete);
}

#[test]
fn budget_holds_over_its_window_and_recovers_after_it() {
    let limits = ContinuationLimits {
        max_per_stream: 1,
        share: 0.1,
        min_allowed: 2,
        window: 10 * SECOND,
    };
    let mut budget = ContinuationBudget::default();
    let taken = |budget: &mut ContinuationBudget, now, tries: usize| {
        (0..tries).filter(|_| budget.try_take(now, &limits)).count()
    };
    assert_eq!(taken(&mut budget, 0, 9), 2);
    for _ in 0..100 {
        budget.record_stream(SECOND, &limits);
    }
    assert_eq!(taken(&mut budget, 2 * SECOND, 99), 8);
    assert_eq!(taken(&mut budget, 30 * SECOND, 9), 2);
}
