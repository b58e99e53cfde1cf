//! Outlier probing by one node for all: what the coordinator advises, and when a participant does not follow.

use poppykeel_coordination::outlier_probing::{
    ProbingCoordinator, ProbingMessage, ProbingParticipant, ReplicaHealth, Verdict,
};
use poppykeel_coordination::Epoch;

const SECOND: u64 = 1_000_000;
const EPOCH: Epoch = Epoch(7);

fn always_ejected(_: &str) -> bool {
    true
}

fn verdict(is_healthy: bool) -> Vec<Verdict> {
    vec![Verdict {
        replica: "a".into(),
        is_healthy,
    }]
}

fn verdicts(
    coordinator: &mut ProbingCoordinator,
    health: Option<ReplicaHealth>,
    now: u64,
) -> Vec<Verdict> {
    match coordinator.verdicts(|_| health, now, SECOND) {
        ProbingMessage::Verdicts {
            epoch: EPOCH,
            verdicts,
        } => verdicts,
        other => panic!("{other:?}"),
    }
}

#[test]
fn coordinator_tells_what_it_probes_and_what_it_found_healthy() {
    let mut coordinator = ProbingCoordinator::new(EPOCH);
    coordinator.handle_report(vec!["a".into()], SECOND);
    let ejected = ReplicaHealth {
        is_ejected: true,
        last_success_at: None,
    };
    assert_eq!(
        verdicts(&mut coordinator, Some(ejected), SECOND),
        verdict(false)
    );
    // An answer from before the report proves nothing, one after it does.
    let healthy_before = ReplicaHealth {
        is_ejected: false,
        last_success_at: Some(SECOND / 2),
    };
    assert_eq!(verdicts(&mut coordinator, Some(healthy_before), SECOND), []);
    let healthy_after = ReplicaHealth {
        is_ejected: false,
        last_success_at: Some(SECOND + 1),
    };
    assert_eq!(
        verdicts(&mut coordinator, Some(healthy_after), SECOND + 2),
        verdict(true)
    );
    // A replica that is not listed here gets no verdict, and one that nobody reports is forgotten.
    assert_eq!(verdicts(&mut coordinator, None, SECOND + 2), []);
    assert_eq!(
        verdicts(&mut coordinator, Some(healthy_after), 3 * SECOND),
        []
    );
}

#[test]
fn participant_distrusts_advice_that_proved_wrong_for_a_while() {
    let mut participant = ProbingParticipant::default();
    let mut follow = |is_healthy, now| {
        let distrust_duration = 10 * SECOND;
        participant.handle_verdicts(
            Epoch(1),
            verdict(is_healthy),
            always_ejected,
            now,
            distrust_duration,
        )
    };
    assert_eq!(follow(true, SECOND), verdict(true));
    // It is ejected here again: the path from here may be what is bad.
    assert_eq!(follow(true, 2 * SECOND), []);
    assert_eq!(follow(false, 3 * SECOND), []);
    assert_eq!(follow(true, 13 * SECOND), verdict(true));
}

#[test]
fn participant_drops_advice_of_an_earlier_epoch_and_on_replicas_not_ejected_here() {
    let mut participant = ProbingParticipant::default();
    let mut follow = |epoch, is_ejected: bool| {
        participant.handle_verdicts(epoch, verdict(true), |_| is_ejected, SECOND, SECOND)
    };
    assert_eq!(follow(Epoch(2), false), []);
    assert_eq!(follow(Epoch(1), true), []);
    assert_eq!(follow(Epoch(2), true), verdict(true));
}
