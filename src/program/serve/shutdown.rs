//! The graceful shutdown of a node.
//!
//! The node first drains: it still admits new requests, but each response is the last on its connection. Meanwhile it hands
//! its learned state over to the next process. Then it closes: it admits no new requests, and exits once the last client
//! has disconnected.

#[cfg(test)]
mod tests;

use super::node::Node;
use crate::transport::client::shutdown::FINAL_RESPONSE_TIMEOUT;
use crate::transport::messages::DispatcherMessage;
use crate::transport::node_phase::NodePhase;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// The interval at which a closing node checks whether the last client has disconnected.
const OPEN_CONNECTIONS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Shuts the node down. Returns once no client is connected and the summary has been logged.
    pub(super) async fn shut_down(&self) {
        let node_name = &self.config.name;
        let clients = &self.clients;
        clients.shutdown().begin();
        tracing::info!(node = %node_name, connections = clients.open_count(), "shutdown started: draining, requests are still admitted");
        if let Some(coordination) = &self.coordination {
            coordination.leave();
        }
        drain(&self.phase, self.hand_over(), self.limits.drain_duration).await;
        let since_stop_ms = clients.shutdown().elapsed_ms();
        tracing::info!(node = %node_name, connections = clients.open_count(), since_stop_ms, "closing: requests are no longer admitted, waiting for the last client to disconnect");
        self.wait_for_last_client().await;
        self.log_summary().await;
        tracing::info!(node = %node_name, since_stop_ms = clients.shutdown().elapsed_ms(), "shutdown done: no client is connected");
    }

    /// Sets the deadline for the last responses and hands the learned state over to the next process.
    async fn hand_over(&self) {
        let deadline = DispatcherMessage::SetResponseDeadline(FINAL_RESPONSE_TIMEOUT);
        // The send fails only if the dispatcher has ended, and then there are no responses left.
        let _ = self.dispatcher.send(deadline).await;
        if let Some(handover) = &self.handover {
            handover.publish().await;
        }
    }

    async fn wait_for_last_client(&self) {
        tokio::time::sleep(OPEN_CONNECTIONS_CHECK_INTERVAL).await;
        while self.clients.open_count() > 0 {
            tokio::time::sleep(OPEN_CONNECTIONS_CHECK_INTERVAL).await;
        }
    }

    async fn log_summary(&self) {
        let (done_sender, done) = oneshot::channel();
        let message = DispatcherMessage::LogSummary(done_sender);
        if self.dispatcher.send(message).await.is_ok() {
            // An error means that the dispatcher has ended, and then there is no summary to wait for.
            let _ = done.await;
        }
    }
}

/// Sets the phase to draining first, so that every response from then on is the last on its connection. Then runs the
/// handover for at most `drain_duration`, and sets the phase to closing when that time is over.
async fn drain(
    phase: &watch::Sender<NodePhase>,
    hand_over: impl Future<Output = ()>,
    drain_duration: Duration,
) {
    // A send fails only if no task watches the phase any more.
    let _ = phase.send(NodePhase::Draining);
    // New clients are accepted for the whole time, even if the handover ends early or times out.
    let _ = tokio::join!(
        tokio::time::timeout(drain_duration, hand_over),
        tokio::time::sleep(drain_duration)
    );
    let _ = phase.send(NodePhase::Closing);
}
