//! The order in which a node ends.
//!
//! It drains: new requests are still admitted, and each answer is the last on its connection. Meanwhile the learned state
//! is handed over. Then it closes, and ends once the last client has left.

#[cfg(test)]
mod tests;

use super::node::Node;
use crate::transport::client::shutdown::FINAL_RESPONSE_TIMEOUT;
use crate::transport::messages::DispatcherMessage;
use crate::transport::node_phase::NodePhase;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// How often a closing node checks whether the last client has left.
const OPEN_CONNECTIONS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Shuts the node down; returns once no client is connected and the log has the summary.
    pub(super) async fn shut_down(&self) {
        let node_name = &self.config.name;
        let clients = &self.clients;
        clients.shutdown().begin();
        tracing::info!(node = %node_name, connections = clients.open_count(), "draining");
        if let Some(coordination) = &self.coordination {
            coordination.leave();
        }
        drain(&self.phase, self.hand_over(), self.limits.drain_duration).await;
        let since_stop_ms = clients.shutdown().elapsed_ms();
        tracing::info!(node = %node_name, connections = clients.open_count(), since_stop_ms, "closing");
        self.wait_for_last_client().await;
        self.log_summary().await;
        tracing::info!(node = %node_name, since_stop_ms = clients.shutdown().elapsed_ms(), "done");
    }

    /// Bounds the time of the last responses and hands the learned state over.
    async fn hand_over(&self) {
        let deadline = DispatcherMessage::SetResponseDeadline(FINAL_RESPONSE_TIMEOUT);
        // An error says that the dispatcher has ended, and then there are no answers to bound.
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
        let (logged, is_logged) = oneshot::channel();
        let message = DispatcherMessage::LogSummary(logged);
        if self.dispatcher.send(message).await.is_ok() {
            // An error says that the dispatcher has ended, and then there is no summary to wait for.
            let _ = is_logged.await;
        }
    }
}

/// Announces that the node drains, before all else: what is answered from then on is the last on its connection. Then hands
/// over, for at most the time in which clients still come, and announces that the node closes.
async fn drain(
    phase: &watch::Sender<NodePhase>,
    hand_over: impl Future<Output = ()>,
    linger: Duration,
) {
    // An error says that nobody watches the phase any more; so also below.
    let _ = phase.send(NodePhase::Draining);
    // The handover may end early or run out of time: clients still come for the whole time.
    let _ = tokio::join!(
        tokio::time::timeout(linger, hand_over),
        tokio::time::sleep(linger)
    );
    let _ = phase.send(NodePhase::Closing);
}
