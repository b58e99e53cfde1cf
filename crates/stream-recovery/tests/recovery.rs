//! Tests of recovery decisions and of the continuation budget.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stream_recovery::{
    decide_recovery, ContinuationBudget, ContinuationLimits, InterruptedStream, RecoveryDecision,
    RecoveryRefusal, StreamTranscript,
};
use support::{finish_event, request_body, text_event, SECOND};

fn interrupted_stream() -> InterruptedStream {
    InterruptedStream {
        max_continuations: Some(2),
        is_idempotent: true,
        continuations: 0,
        is_client_connected: true,
        is_shutting_down: false,
        client_wait_left: 1,
    }
}

fn started_transcript() -> StreamTranscript {
    let mut transcript = StreamTranscript::default();
    transcript.forward(0, text_event("one", "ab ").as_bytes());
    transcript
}

fn panic_if_budget_consulted() -> bool {
    panic!("the budget was consulted")
}

#[test]
fn refuses_ineligible_streams_without_consulting_the_budget() {
    let cases = [
        (
            InterruptedStream {
                max_continuations: None,
                ..interrupted_stream()
            },
            RecoveryRefusal::Disabled,
        ),
        (
            InterruptedStream {
                is_client_connected: false,
                ..interrupted_stream()
            },
            RecoveryRefusal::ClientDisconnected,
        ),
        (
            InterruptedStream {
                is_idempotent: false,
                ..interrupted_stream()
            },
            RecoveryRefusal::NotIdempotent,
        ),
        (
            InterruptedStream {
                is_shutting_down: true,
                ..interrupted_stream()
            },
            RecoveryRefusal::ShuttingDown,
        ),
        (
            InterruptedStream {
                continuations: 2,
                ..interrupted_stream()
            },
            RecoveryRefusal::TooManyContinuations,
        ),
    ];
    for (stream, refusal) in cases {
        let decision = decide_recovery(
            &stream,
            &started_transcript(),
            &request_body(),
            panic_if_budget_consulted,
        );
        assert_eq!(decision, RecoveryDecision::Fail(refusal));
    }
}

#[test]
fn does_not_continue_a_stream_whose_client_waits_no_longer() {
    let stream = InterruptedStream {
        client_wait_left: 0,
        ..interrupted_stream()
    };
    let decision = decide_recovery(
        &stream,
        &started_transcript(),
        &request_body(),
        panic_if_budget_consulted,
    );
    assert_eq!(decision, RecoveryDecision::Fail(RecoveryRefusal::TooLate));
}

#[test]
fn continues_only_within_the_budget() {
    let transcript = started_transcript();
    let refused = decide_recovery(&interrupted_stream(), &transcript, &request_body(), || {
        false
    });
    assert_eq!(
        refused,
        RecoveryDecision::Fail(RecoveryRefusal::BudgetExhausted)
    );
    let allowed = decide_recovery(&interrupted_stream(), &transcript, &request_body(), || true);
    assert!(matches!(allowed, RecoveryDecision::Continue(_)));
}

#[test]
fn completes_a_response_that_has_reached_its_token_limit() {
    let mut transcript = started_transcript();
    for _ in 0..8 {
        transcript.forward(0, text_event("one", "ab ").as_bytes());
    }
    let decision = decide_recovery(
        &interrupted_stream(),
        &transcript,
        &request_body(),
        panic_if_budget_consulted,
    );
    assert_eq!(decision, RecoveryDecision::Complete);
    let closing = String::from_utf8(transcript.closing_events()).unwrap();
    assert!(closing.contains("\"length\"") && closing.contains("\"one\""));
    assert!(closing.ends_with("[DONE]\n\n"));
}

#[test]
fn completes_a_finished_text_of_a_request_that_is_not_idempotent() {
    let mut transcript = started_transcript();
    transcript.forward(0, finish_event("one").as_bytes());
    let stream = InterruptedStream {
        is_idempotent: false,
        ..interrupted_stream()
    };
    let decision = decide_recovery(
        &stream,
        &transcript,
        &request_body(),
        panic_if_budget_consulted,
    );
    assert_eq!(decision, RecoveryDecision::Complete);
}

#[test]
fn budget_is_limited_within_its_window_and_recovers_afterwards() {
    let limits = ContinuationLimits {
        max_per_stream: 1,
        share: 0.1,
        min_allowed: 2,
        window: 10 * SECOND,
    };
    let mut budget = ContinuationBudget::default();
    let count_allowed = |budget: &mut ContinuationBudget, now, attempts: usize| {
        (0..attempts)
            .filter(|_| budget.try_take(now, &limits))
            .count()
    };
    assert_eq!(count_allowed(&mut budget, 0, 9), 2);
    for _ in 0..100 {
        budget.record_stream(SECOND, &limits);
    }
    assert_eq!(count_allowed(&mut budget, 2 * SECOND, 99), 8);
    assert_eq!(count_allowed(&mut budget, 30 * SECOND, 9), 2);
}
