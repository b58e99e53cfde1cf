//! Unit tests of the confirmation states of the endpoint list and of the validity of evidence.

use super::{
    evidence_lifetime, max_write_start_delay, ListConfirmation, ReplicaEvidence, DECLINE_BACKOFF,
    MAX_POLL_WAIT, MAX_PROCESS_STALL, PROBE_TIMEOUT,
};
use proptest::prelude::*;

#[test]
fn requests_wait_for_a_poll_after_a_restore_for_a_bounded_time() {
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
fn confirmed_list_becomes_unconfirmed_and_requests_do_not_wait() {
    let mut list = ListConfirmation::Confirmed;
    list.mark_unconfirmed();
    assert_eq!(list, ListConfirmation::Unconfirmed);
    assert!(!list.awaits_poll(0.0));
}

#[test]
fn wait_for_a_complete_answer_outlasts_a_failed_poll_but_is_bounded() {
    let mut list = ListConfirmation::Confirmed;
    list.mark_incomplete(10.0);
    list.mark_unconfirmed();
    list.mark_incomplete(11.0);
    assert!(list.awaits_poll(9.9 + MAX_POLL_WAIT));
    assert!(!list.awaits_poll(10.0 + MAX_POLL_WAIT));
}

#[test]
fn answer_is_dated_back_to_the_first_probe_in_flight() {
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
    assert!(evidence.is_suspect(2.3));
    assert!(!evidence.is_suspect(2.2 + DECLINE_BACKOFF));
}

#[test]
fn answer_without_a_probe_is_ignored_and_unanswered_probe_makes_suspect() {
    let mut evidence = ReplicaEvidence::default();
    evidence.record_probe_ended(1.0, true);
    assert!(!evidence.is_valid(1.0, 10.0), "no probe was sent");
    evidence.record_probe_sent(1.0);
    assert!(!evidence.is_suspect(1.0));
    assert!(evidence.is_suspect(1.01 + PROBE_TIMEOUT));
}

proptest! {
    /// Even if the replica starts to drain right after its answer and the router stalls before it writes the attempt, the
    /// attempt is written within the drain grace.
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
            let written_at = now + max_write_start_delay(grace) + MAX_PROCESS_STALL;
            prop_assert!(written_at <= sent_at + grace + 1e-9);
        }
    }
}
