//! The states of the list, and how long a replica's answer counts.

use super::{
    evidence_lifetime, max_write_start_delay, ListConfirmation, ReplicaEvidence, DECLINE_LIFETIME,
    MAX_POLL_WAIT, MAX_WRITE_DELAY, PROBE_PATIENCE,
};
use proptest::prelude::*;

#[test]
fn restored_list_waits_for_an_answer_for_a_bounded_time() {
    let restored = ListConfirmation::Restored { at: 10.0 };
    assert!(restored.awaits_poll(10.0 + MAX_POLL_WAIT / 2.0));
    assert!(!restored.awaits_poll(10.0 + MAX_POLL_WAIT));
    let mut list = restored;
    list.mark_unconfirmed();
    assert_eq!(list, restored, "the next poll may be answered");
    list.mark_unreachable();
    assert_eq!(list, ListConfirmation::Unconfirmed);
}

#[test]
fn confirmed_list_is_unconfirmed_by_an_incomplete_answer() {
    let mut list = ListConfirmation::Confirmed;
    list.mark_unconfirmed();
    assert_eq!(list, ListConfirmation::Unconfirmed);
    assert!(!list.awaits_poll(0.0));
}

#[test]
fn part_of_an_answer_is_waited_for_beyond_a_failed_poll_but_not_for_ever() {
    let mut list = ListConfirmation::Confirmed;
    list.mark_incomplete(10.0);
    list.mark_unconfirmed();
    list.mark_incomplete(11.0);
    assert!(list.awaits_poll(9.9 + MAX_POLL_WAIT));
    assert!(!list.awaits_poll(10.0 + MAX_POLL_WAIT));
}

#[test]
fn answer_counts_from_when_the_first_probe_in_flight_was_sent() {
    let mut evidence = ReplicaEvidence::default();
    evidence.record_probe_sent(1.0);
    evidence.record_probe_sent(2.0);
    evidence.record_probe_ended(2.1, true);
    assert!(evidence.is_valid(1.5, 0.6));
    assert!(
        !evidence.is_valid(2.1, 0.6),
        "it may answer the first probe"
    );
    evidence.record_probe_ended(2.2, false);
    assert!(!evidence.is_valid(1.5, 0.6));
    assert!(evidence.is_unlikely(2.3));
    assert!(!evidence.is_unlikely(2.2 + DECLINE_LIFETIME));
}

#[test]
fn unanswered_probe_and_unknown_answer() {
    let mut evidence = ReplicaEvidence::default();
    evidence.record_probe_ended(1.0, true);
    assert!(!evidence.is_valid(1.0, 10.0), "no probe was sent");
    evidence.record_probe_sent(1.0);
    assert!(!evidence.is_unlikely(1.0));
    assert!(evidence.is_unlikely(1.01 + PROBE_PATIENCE));
}

proptest! {
    /// Whenever the replica begins to drain after its answer, an attempt that is held up before its write is within the
    /// grace.
    #[test]
    fn attempt_by_valid_evidence_is_within_the_grace(
        grace in 0.4_f64..10.0,
        sent_at in 0.0_f64..100.0,
        drained_after in 0.0_f64..1.0,
        attempted_after in 0.0_f64..10.0,
    ) {
        let mut evidence = ReplicaEvidence::default();
        evidence.record_probe_sent(sent_at);
        evidence.record_probe_ended(sent_at + drained_after, true);
        let now = sent_at + attempted_after;
        if evidence.is_valid(now, evidence_lifetime(grace)) {
            let written_at = now + max_write_start_delay(grace) + MAX_WRITE_DELAY;
            prop_assert!(written_at <= sent_at + grace + 1e-9);
        }
    }
}
