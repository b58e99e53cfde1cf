//! Tests of which gaps between two iterations count as a suspension.

use super::{SuspensionDetector, BACKLOG_READ_TIME, MAX_ITERATION_GAP};

#[test]
fn only_a_long_gap_after_an_iteration_is_a_suspension() {
    let detector = SuspensionDetector::default();
    assert!(!detector.was_suspended(u64::MAX), "no iteration yet");
    detector.record_iteration(1_000);
    assert!(!detector.was_suspended(1_000 + MAX_ITERATION_GAP));
    assert!(detector.was_suspended(1_001 + MAX_ITERATION_GAP));
    detector.record_iteration(2_000_000);
    assert!(!detector.was_suspended(2_000_000));
}

#[test]
fn bytes_read_right_after_a_suspension_may_be_as_old_as_it_was_long() {
    let detector = SuspensionDetector::default();
    detector.record_iteration(1_000);
    assert_eq!(detector.backlog_age(20_000), 0);
    let resumed_at = 1_000 + 4 * MAX_ITERATION_GAP;
    assert_eq!(
        detector.backlog_age(resumed_at),
        4 * MAX_ITERATION_GAP,
        "not detected yet"
    );
    detector.record_iteration(resumed_at);
    assert_eq!(detector.backlog_age(resumed_at + 1), 4 * MAX_ITERATION_GAP);
    detector.record_iteration(resumed_at + 20_000);
    assert_eq!(detector.backlog_age(resumed_at + BACKLOG_READ_TIME), 0);
}

#[test]
fn durations_of_consecutive_suspensions_add_up() {
    let detector = SuspensionDetector::default();
    detector.record_iteration(0);
    detector.record_iteration(2 * MAX_ITERATION_GAP);
    detector.record_iteration(2 * MAX_ITERATION_GAP + BACKLOG_READ_TIME / 2);
    let resumed_at = 5 * MAX_ITERATION_GAP;
    detector.record_iteration(resumed_at);
    let second = resumed_at - 2 * MAX_ITERATION_GAP - BACKLOG_READ_TIME / 2;
    assert_eq!(
        detector.backlog_age(resumed_at + 1),
        2 * MAX_ITERATION_GAP + second
    );
}

#[test]
fn decision_before_a_suspension_is_outdated_after_it() {
    let detector = SuspensionDetector::default();
    detector.record_iteration(1_000);
    let resumed_at = 2_000 + MAX_ITERATION_GAP;
    assert!(detector.was_suspended_after(1_000, resumed_at));
    detector.record_iteration(resumed_at);
    assert!(detector.was_suspended_after(1_000, resumed_at + 1));
    assert!(!detector.was_suspended_after(resumed_at, resumed_at + 1));
}
