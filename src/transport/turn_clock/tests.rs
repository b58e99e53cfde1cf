//! When a gap between two turns counts as a suspension.

use super::{TurnClock, MAX_TURN_GAP};

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
