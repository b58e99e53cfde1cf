//! The order of a node's end.

use super::*;

const LINGER: Duration = Duration::from_secs(1);

/// Guards against answers that do not say that they are the last, and against a node that never ends, while what was
/// learned can't be handed over.
#[tokio::test(start_paused = true)]
async fn a_node_says_that_it_drains_before_it_hands_over_and_closes_however_long_that_takes() {
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
async fn a_node_that_has_handed_over_still_waits_for_late_clients() {
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let drain = drain(&phase, std::future::ready(()), LINGER);
    tokio::pin!(drain);
    assert!(tokio::time::timeout(LINGER / 2, &mut drain).await.is_err());
    assert!(*phases.borrow() == NodePhase::Draining);
    drain.await;
    assert!(*phases.borrow() == NodePhase::Closing);
}
