//! Evacuation of a node and its return to service: the changes of [`NodePhase`] caused by admin calls and rolling restarts.
//!
//! An evacuated node closes its client connections but keeps running, and can serve again. The admin address and the driver
//! of rolling restarts call this module. Each change applies only in the phase that it starts from, so that a shutdown is
//! never undone.

use super::node_phase::NodePhase;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// How long clients may continue on their connections after an evacuation begins; then idle connections close.
const GRACE_PERIOD: Duration = Duration::from_millis(1000);

/// Starts an evacuation: the node reports that it is not ready, each response is the last on its connection, and idle
/// connections close after the grace period.
///
/// A separate task changes the phase to `Evacuated` after the grace period, unless the node serves again or shuts down by
/// then.
pub(super) fn evacuate(phase: &Rc<watch::Sender<NodePhase>>) {
    tracing::info!("evacuating the node: client connections close after their current response");
    change_phase(phase, NodePhase::Serving, NodePhase::Evacuating);
    let phase = phase.clone();
    spawn_local(async move {
        tokio::time::sleep(GRACE_PERIOD).await;
        change_phase(&phase, NodePhase::Evacuating, NodePhase::Evacuated);
    });
}

/// Ends an evacuation; the node serves clients again.
pub(super) fn rejoin(phase: &watch::Sender<NodePhase>) {
    tracing::info!("evacuation ended; serving again");
    change_phase(phase, NodePhase::Evacuating, NodePhase::Serving);
    change_phase(phase, NodePhase::Evacuated, NodePhase::Serving);
}

/// Changes the phase if it is `from`.
fn change_phase(phase: &watch::Sender<NodePhase>, from: NodePhase, to: NodePhase) {
    phase.send_if_modified(|current| *current == from && std::mem::replace(current, to) != to);
}
