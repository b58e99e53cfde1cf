//! Tests of the order in which a node ends.

use super::drain;
use crate::transport::node_phase::NodePhase;
use std::time::Duration;
use tokio::sync::watch;

const LINGER: Duration = Duration::from_secs(1);

/// Guards against answers that do not say that they are the last, and against a node that never ends, while the learned
/// state can't be handed over.
#[tokio::test(start_paused = true)]
async fn announces_draining_before_the_handover_and_closes_however_long_that_takes() {
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let seen = phases.clone();
    let hand_over = async {
        assert!(
            *seen.borrow() == NodePhase::Draining,
            "it hands over before it drains"
        );
        std::future::pending::<()>().await;
    };
    let ended = tokio::time::timeout(LINGER * 2, drain(&phase, hand_over, LINGER)).await;
    assert!(ended.is_ok() && *phases.borrow() == NodePhase::Closing);
}

/// Clients still come for the whole time, also where all is handed over at once.
#[tokio::test(start_paused = true)]
async fn waits_for_late_clients_after_the_handover() {
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let drain = drain(&phase, std::future::ready(()), LINGER);
    tokio::pin!(drain);
    assert!(tokio::time::timeout(LINGER / 2, &mut drain).await.is_err());
    assert!(*phases.borrow() == NodePhase::Draining);
    drain.await;
    assert!(*phases.borrow() == NodePhase::Closing);
}
