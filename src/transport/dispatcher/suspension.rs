//! What the dispatcher does once it notices that the process stood still.

use super::Dispatcher;
use crate::routing::MonotonicMicros;
use crate::transport::messages::DispatcherMessage;
use poppykeel_scheduler::EndpointListStatus;

const MICROS_PER_MILLI: u64 = 1_000;

impl Dispatcher {
    /// Applies the updates of endpoints that have come, and has the list confirmed anew before anything is placed by it:
    /// the updates may be as old as the suspension was long. Leaves the other messages in `batch`.
    pub(super) fn recover_from_suspension(
        &mut self,
        now: MonotonicMicros,
        batch: &mut Vec<DispatcherMessage>,
    ) {
        let turn_clock = self.replica_client.turn_clock();
        let suspended_ms = turn_clock.time_since_turn(now) / MICROS_PER_MILLI;
        tracing::warn!(
            suspended_ms,
            "the process stood still; what it knew is of before"
        );
        for message in std::mem::take(batch) {
            match message {
                DispatcherMessage::EndpointUpdate { source, update, .. } => {
                    self.handle_endpoint_update(now, source, update, false);
                }
                other => batch.push(other),
            }
        }
        if self.watch.is_enabled() {
            self.set_endpoint_list_status(now, EndpointListStatus::Restored);
            self.watch.poll_anew();
        }
    }
}
