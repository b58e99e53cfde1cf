//! When a gap between two turns counts as a suspension.

use super::{TurnClock, BACKLOG_TIME, MAX_TURN_GAP};

#[test]
fn only_a_long_gap_after_a_turn_is_a_suspension() {
    let clock = TurnClock::default();
    assert!(!clock.was_suspended(u64::MAX), "no turn yet");
    clock.record_turn(1_000);
    assert!(!clock.was_suspended(1_000 + MAX_TURN_GAP));
    assert!(clock.was_suspended(1_001 + MAX_TURN_GAP));
    clock.record_turn(2_000_000);
    assert!(!clock.was_suspended(2_000_000));
}

#[test]
fn bytes_read_right_after_a_suspension_may_be_as_old_as_it_was_long() {
    let clock = TurnClock::default();
    clock.record_turn(1_000);
    assert_eq!(clock.backlog_age(20_000), 0);
    let resumed_at = 1_000 + 4 * MAX_TURN_GAP;
    assert_eq!(
        clock.backlog_age(resumed_at),
        4 * MAX_TURN_GAP,
        "not noticed yet"
    );
    clock.record_turn(resumed_at);
    assert_eq!(clock.backlog_age(resumed_at + 1), 4 * MAX_TURN_GAP);
    clock.record_turn(resumed_at + 20_000);
    assert_eq!(clock.backlog_age(resumed_at + BACKLOG_TIME), 0);
}

#[test]
fn suspensions_in_a_row_add_up() {
    let clock = TurnClock::default();
    clock.record_turn(0);
    clock.record_turn(2 * MAX_TURN_GAP);
    clock.record_turn(2 * MAX_TURN_GAP + BACKLOG_TIME / 2);
    let resumed_at = 5 * MAX_TURN_GAP;
    clock.record_turn(resumed_at);
    let second = resumed_at - 2 * MAX_TURN_GAP - BACKLOG_TIME / 2;
    assert_eq!(clock.backlog_age(resumed_at + 1), 2 * MAX_TURN_GAP + second);
}
