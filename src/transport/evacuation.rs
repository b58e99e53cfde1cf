//! Evacuating a node and taking it back: the changes of [`NodePhase`] that operators' calls and rolling restarts order.
//!
//! An evacuated node takes no new clients and lets those that are there go; it goes on running, and can serve again. The
//! operators' address and the driver of rolling restarts call this. An order to stop is never undone: each change names
//! the phase that it starts from.

use super::node_phase::NodePhase;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// From the order to evacuate clients may go on for so long on the connections that they have; then idle ones close.
const GRACE_PERIOD: Duration = Duration::from_millis(1000);

/// Takes no new clients and lets those that are there go.
///
/// The second change of phase comes from a task of its own, which ends with the process; a node that rejoins before makes
/// it change nothing.
pub(super) fn evacuate(phase: &Rc<watch::Sender<NodePhase>>) {
    tracing::info!("evacuating");
    change_phase(phase, NodePhase::Serving, NodePhase::Evacuating);
    let phase = phase.clone();
    spawn_local(async move {
        tokio::time::sleep(GRACE_PERIOD).await;
        change_phase(&phase, NodePhase::Evacuating, NodePhase::Evacuated);
    });
}

/// Takes clients again.
pub(super) fn rejoin(phase: &watch::Sender<NodePhase>) {
    tracing::info!("serving again after an evacuation");
    change_phase(phase, NodePhase::Evacuating, NodePhase::Serving);
    change_phase(phase, NodePhase::Evacuated, NodePhase::Serving);
}

/// Changes the phase if it is the one that the change starts from.
fn change_phase(phase: &watch::Sender<NodePhase>, from: NodePhase, to: NodePhase) {
    phase.send_if_modified(|current| *current == from && std::mem::replace(current, to) != to);
}
