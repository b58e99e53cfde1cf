//! Outlier probing: the verdicts of the coordinator, and when a participant ignores them.

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
fn coordinator_reports_replicas_that_it_probes_or_found_healthy() {
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
    // Only an answer after the report shows that the replica is healthy.
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
    // A replica that is unknown here gets no verdict, and reports that are not repeated expire.
    assert_eq!(verdicts(&mut coordinator, None, SECOND + 2), []);
    assert_eq!(
        verdicts(&mut coordinator, Some(healthy_after), 3 * SECOND),
        []
    );
}

#[test]
fn participant_ignores_verdicts_for_a_while_after_a_wrong_one() {
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
    // The replica is ejected here again; the cause may be the network path from this node.
    assert_eq!(follow(true, 2 * SECOND), []);
    assert_eq!(follow(false, 3 * SECOND), []);
    assert_eq!(follow(true, 13 * SECOND), verdict(true));
}

#[test]
fn participant_drops_verdicts_of_an_earlier_epoch_and_on_replicas_not_ejected_here() {
    let mut participant = ProbingParticipant::default();
    let mut follow = |epoch, is_ejected: bool| {
        participant.handle_verdicts(epoch, verdict(true), |_| is_ejected, SECOND, SECOND)
    };
    assert_eq!(follow(Epoch(2), false), []);
    assert_eq!(follow(Epoch(1), true), []);
    assert_eq!(follow(Epoch(2), true), verdict(true));
}
