//! Unit tests of the health of one replica.

use super::{is_panic_mode, ReplicaHealth};

fn ejected_at(now: f64) -> ReplicaHealth {
    let mut health = ReplicaHealth::new();
    for _ in 0..3 {
        health.record_failure(now);
    }
    health
}

#[test]
fn three_consecutive_failures_eject_until_a_trial_is_due() {
    let mut health = ReplicaHealth::new();
    health.record_failure(1.0);
    health.record_failure(1.0);
    assert!(!health.is_ejected());
    health.record_failure(1.0);
    assert!(health.is_ejected());
    assert!(!health.accepts_attempts(1.6, false));
    assert!(health.accepts_attempts(1.7, false));
    assert!(health.accepts_attempts(1.1, true));
}

#[test]
fn probe_answer_does_not_clear_failures() {
    let mut health = ejected_at(1.0);
    health.record_response(2.0, false);
    assert!(health.is_ejected());
    health.record_response(2.0, true);
    assert!(!health.is_ejected());
}

#[test]
fn pause_between_trials_doubles_with_each_broken_stream() {
    let mut health = ReplicaHealth::new();
    let mut now = 0.0;
    for _ in 0..5 {
        now += 1.0;
        health.record_stream_failure(now, now - 0.5);
    }
    health.record_attempt(now, 1.0);
    assert!(!health.accepts_attempts(now + 2.7, false));
    assert!(health.accepts_attempts(now + 2.8, false));
}

#[test]
fn streams_that_started_before_the_last_failure_count_once() {
    let mut health = ReplicaHealth::new();
    for _ in 0..5 {
        health.record_stream_failure(2.0, 1.0);
    }
    assert!(!health.is_ejected());
}

#[test]
fn unresponsive_replica_recovers_with_a_response() {
    let mut health = ReplicaHealth::new();
    health.mark_unresponsive(5.0, true);
    assert!(health.is_ejected());
    assert!(!health.accepts_attempts(1000.0, true));
    assert_eq!(health.record_response(6.0, false), Some(5.0));
    assert!(!health.is_unresponsive());
}

#[test]
fn first_attempt_after_the_last_response_becomes_overdue() {
    let mut health = ReplicaHealth::new();
    health.record_response(1.0, true);
    health.record_attempt(2.0, 0.5);
    health.record_attempt(2.4, 0.5);
    assert_eq!(health.overdue_since(2.5), None);
    assert_eq!(health.overdue_since(3.0), Some(1.0));
    health.record_response(3.0, true);
    assert_eq!(health.overdue_since(4.0), None);
}

#[test]
fn panic_mode_begins_when_more_than_half_are_ejected() {
    assert!(!is_panic_mode(2, 4));
    assert!(is_panic_mode(3, 4));
    assert!(!is_panic_mode(0, 0));
}
