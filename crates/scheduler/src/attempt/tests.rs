//! Unit tests of the state transitions of an attempt.

use super::Attempt;
use crate::prompt_cache::CacheSource;
use crate::replica::DeduplicationGroups;
use crate::types::{AttemptOutcome, ReplicaId};

fn attempt() -> Attempt {
    let replica = ReplicaId("10.0.0.1:80".parse().unwrap());
    Attempt::new(
        replica,
        DeduplicationGroups::default(),
        1.0,
        500.0,
        CacheSource::SharedPrefix,
        0.2,
    )
}

#[test]
fn attempt_is_cancelled_once_and_may_still_stream() {
    let mut attempt = attempt();
    assert!(attempt.cancel());
    assert!(!attempt.cancel());
    assert!(attempt.start_streaming());
    assert!(!attempt.cancel());
}

#[test]
fn first_token_is_recorded_once() {
    let mut attempt = attempt();
    assert!(attempt.start_streaming());
    assert!(!attempt.start_streaming());
    assert!(attempt.is_streaming() && attempt.is_in_flight());
}

#[test]
fn end_is_recorded_once_and_returns_pending_prefill_tokens() {
    let mut waiting = attempt();
    assert_eq!(waiting.end(AttemptOutcome::TimedOut), Some(500.0));
    assert_eq!(waiting.end(AttemptOutcome::TimedOut), None);
    let mut streaming = attempt();
    streaming.start_streaming();
    assert_eq!(streaming.end(AttemptOutcome::Completed), Some(0.0));
    assert!(!streaming.is_in_flight());
}

#[test]
fn attempt_may_have_run_unless_unsent_declined_or_invalid() {
    let cannot_have_run = [
        AttemptOutcome::AtCapacity,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::NotSent,
        AttemptOutcome::InvalidRequest,
    ];
    for outcome in cannot_have_run {
        let mut attempt = attempt();
        assert!(attempt.may_have_run());
        attempt.end(outcome);
        assert!(!attempt.may_have_run(), "{outcome:?}");
    }
    for outcome in [AttemptOutcome::ServerError, AttemptOutcome::TimedOut] {
        let mut attempt = attempt();
        attempt.end(outcome);
        assert!(attempt.may_have_run(), "{outcome:?}");
    }
}
