//! Tests of the graceful shutdown.

use super::drain;
use crate::transport::node_phase::NodePhase;
use std::time::Duration;
use tokio::sync::watch;

const DRAIN_DURATION: Duration = Duration::from_secs(1);

/// A handover that never completes must neither delay the draining phase, in which each response is marked as the last on
/// its connection, nor prevent the node from closing.
#[tokio::test(start_paused = true)]
async fn drains_before_the_handover_and_closes_even_if_the_handover_never_ends() {
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let handover_phase = phases.clone();
    let hand_over = async {
        assert!(
            *handover_phase.borrow() == NodePhase::Draining,
            "the handover started before the draining phase"
        );
        std::future::pending::<()>().await;
    };
    let ended =
        tokio::time::timeout(DRAIN_DURATION * 2, drain(&phase, hand_over, DRAIN_DURATION)).await;
    assert!(ended.is_ok() && *phases.borrow() == NodePhase::Closing);
}

/// New clients must be accepted for the whole drain duration, even if the handover completes at once.
#[tokio::test(start_paused = true)]
async fn waits_for_late_clients_after_the_handover() {
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let drain = drain(&phase, std::future::ready(()), DRAIN_DURATION);
    tokio::pin!(drain);
    assert!(tokio::time::timeout(DRAIN_DURATION / 2, &mut drain)
        .await
        .is_err());
    assert!(*phases.borrow() == NodePhase::Draining);
    drain.await;
    assert!(*phases.borrow() == NodePhase::Closing);
}
