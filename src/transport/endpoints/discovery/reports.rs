//! The watcher's reports to the dispatcher and to the log.

use super::EndpointWatcher;
use crate::protocol::discovery::EndpointListResponse;
use crate::transport::endpoints::poll::PollError;
use crate::transport::messages::{DispatcherMessage, ENDPOINT_LIST_SOURCE};
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::EndpointListStatus;
use tokio::sync::mpsc;

impl EndpointWatcher {
    /// Reports a dropped poll. A list received before the drop is reported, but may be out of date.
    pub(super) async fn report_dropped_poll(&self, last_list: Option<EndpointListResponse>) {
        self.report_unconfirmed(EndpointListStatus::Unconfirmed)
            .await;
        if let Some(list) = last_list {
            self.set_known_version(list.version());
            // The channel is closed only after the node has ended.
            let _ = self.send_update(list.into_source_update(), false).await;
        }
    }

    /// Notifies the dispatcher that the list may be out of date.
    pub(super) async fn report_unconfirmed(&self, status: EndpointListStatus) {
        self.shared.log.record_unconfirmed(self.shared.clock.now());
        // The channel is closed only after the node has ended.
        let _ = self
            .shared
            .dispatcher
            .send(DispatcherMessage::EndpointListStatusChanged(status))
            .await;
    }

    /// Sends a list to the dispatcher.
    pub(super) async fn report_list(
        &self,
        response: EndpointListResponse,
    ) -> Result<(), mpsc::error::SendError<DispatcherMessage>> {
        self.shared
            .log
            .record_response(self.shared.clock.now(), response.version());
        // The version must be set before the next poll is sent, even if the dispatcher receives the list late.
        self.set_known_version(response.version());
        self.send_update(response.into_source_update(), true).await
    }

    /// Sends an update to the dispatcher. Waits while its channel is full, and fails if the dispatcher has ended.
    pub(super) async fn send_update(
        &self,
        update: SourceUpdate,
        is_current: bool,
    ) -> Result<(), mpsc::error::SendError<DispatcherMessage>> {
        let message = DispatcherMessage::EndpointUpdate {
            source: ENDPOINT_LIST_SOURCE,
            update,
            is_current,
        };
        self.shared.dispatcher.send(message).await
    }

    pub(super) fn log_failure(&self, error: &PollError) {
        let shared = &self.shared;
        let known_version = shared.known_version.get();
        shared
            .log
            .record_failure(shared.clock.now(), error, known_version);
    }
}
