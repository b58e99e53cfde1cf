//! Recovery after the process has been suspended.

use super::Dispatcher;
use crate::routing::MonotonicMicros;
use crate::transport::messages::DispatcherMessage;
use poppykeel_scheduler::EndpointListStatus;

const MICROS_PER_MILLI: u64 = 1_000;

impl Dispatcher {
    /// Applies the endpoint updates in `batch` as unconfirmed, since they may be as old as the suspension was long, and
    /// polls the endpoint list again. Leaves the other messages in `batch`: they are handled only after that, so no request
    /// is routed as if the list were current.
    pub(super) fn recover_from_suspension(
        &mut self,
        now: MonotonicMicros,
        batch: &mut Vec<DispatcherMessage>,
    ) {
        let detector = self.replica_client.suspension_detector();
        let suspended_ms = detector.time_since_iteration(now) / MICROS_PER_MILLI;
        tracing::warn!(
            suspended_ms,
            "the process stood still; queued endpoint updates may be out of date"
        );
        for message in std::mem::take(batch) {
            match message {
                DispatcherMessage::EndpointUpdate { source, update, .. } => {
                    self.handle_endpoint_update(now, source, update, false);
                }
                other => batch.push(other),
            }
        }
        if self.endpoint_watcher.is_enabled() {
            self.set_endpoint_list_status(now, EndpointListStatus::Restored);
            self.endpoint_watcher.restart_poll();
        }
    }
}
