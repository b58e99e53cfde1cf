//! Transitions of requests and attempts as listed in the tables of `RequestState` and `AttemptState`.

use super::{ActiveRequest, AttemptEnd, AttemptState};
use poppykeel_scheduler::AttemptOutcome;

const DEADLINE: u64 = 1_000;

/// A request with two attempts that await their first token.
fn request_with_two_attempts() -> ActiveRequest {
    let mut request = ActiveRequest::new(0);
    assert_eq!(request.add_attempt(10, DEADLINE), 0);
    assert_eq!(request.add_attempt(20, DEADLINE), 1);
    request
}

#[test]
fn a_request_awaits_its_response_until_an_attempt_streams() {
    let mut request = request_with_two_attempts();
    assert!(!request.has_response() && !request.is_finished());
    request.begin_streaming(1);
    assert!(request.has_response() && !request.is_finished());
    let state = request.attempt(1).map(|attempt| attempt.state);
    assert_eq!(state, Some(AttemptState::Streaming));
}

#[test]
fn only_the_end_of_the_streaming_attempt_finishes_its_request() {
    let mut request = request_with_two_attempts();
    request.begin_streaming(1);
    let other_end = request.end_attempt(0, AttemptOutcome::Cancelled);
    let expected = AttemptEnd {
        deadline: DEADLINE,
        has_finished_request: false,
    };
    assert_eq!(other_end, Some(expected));
    assert!(!request.is_finished());
    let stream_end = request.end_attempt(1, AttemptOutcome::ConnectionReset);
    let expected = AttemptEnd {
        deadline: DEADLINE,
        has_finished_request: true,
    };
    assert_eq!(stream_end, Some(expected));
    assert!(request.can_be_removed());
}

#[test]
fn an_attempt_ends_once_and_keeps_its_first_outcome() {
    let mut request = request_with_two_attempts();
    assert!(request.end_attempt(0, AttemptOutcome::TimedOut).is_some());
    assert_eq!(request.end_attempt(0, AttemptOutcome::Completed), None);
    assert_eq!(request.end_attempt(7, AttemptOutcome::Completed), None);
    let outcome = request.last_attempt_outcome();
    assert_eq!(outcome, Some(AttemptOutcome::TimedOut));
}

#[test]
fn a_finished_request_stays_until_its_last_attempt_has_ended() {
    let mut request = request_with_two_attempts();
    request.finish();
    request.end_attempt(0, AttemptOutcome::Cancelled);
    assert!(request.is_finished() && !request.can_be_removed());
    request.end_attempt(1, AttemptOutcome::Cancelled);
    assert!(request.can_be_removed());
}
