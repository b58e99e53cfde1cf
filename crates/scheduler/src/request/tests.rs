//! Unit tests of the state transitions of a request.

use super::{QueuePosition, Request, RequestDeadlines};
use crate::fair_queue::QueueKey;
use crate::types::{IncomingRequest, RequestId};

fn request() -> Request {
    let incoming = IncomingRequest {
        id: RequestId(1),
        class: 0,
        tenant: 0,
        session: None,
        shared_prefix: None,
        time_left: 5.0,
        expected_work: None,
        prompt_tokens: 100,
        shared_prefix_tokens: 0,
        max_output_tokens: 100,
        is_client_retry: false,
    };
    let position = QueuePosition {
        tier: 0,
        key: QueueKey {
            deadline_micros: 15_000_000,
            sequence: 1,
        },
        cost: 200.0,
    };
    let deadlines = RequestDeadlines {
        ttft_objective: 1.0,
        deadline: 15.0,
        useful_until: 11.0,
    };
    Request::new(incoming, position, deadlines)
}

#[test]
fn request_is_queued_once_and_dequeued_once() {
    let mut request = request();
    assert!(!request.mark_dequeued());
    assert!(request.mark_queued());
    assert!(!request.mark_queued());
    assert!(request.mark_dequeued());
    assert!(!request.is_queued());
}

#[test]
fn finished_request_is_never_queued_again() {
    let mut request = request();
    request.mark_finished();
    assert!(!request.mark_queued());
    assert!(!request.awaits_first_token());
}

#[test]
fn arrival_time_is_computed_from_the_deadline() {
    assert_eq!(request().arrived_at(), 10.0);
}

#[test]
fn deadlines_are_only_shortened() {
    let mut request = request();
    request.shorten_deadlines(12.0);
    assert_eq!(request.deadlines().deadline, 12.0);
    assert_eq!(request.deadlines().useful_until, 11.0);
}
