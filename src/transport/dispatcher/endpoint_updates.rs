//! Applies changes of the endpoint list, also to attempts in flight.

use super::{logging, Dispatcher};
use crate::routing::directory::{EndpointChange, EndpointSourceSettings};
use crate::routing::{AttemptId, MonotonicMicros, RouterEvent};
use crate::transport::messages::{ReplicaAdvice, ENDPOINT_LIST_SOURCE};
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::{AttemptOutcome, Endpoint, EndpointListStatus, EndpointState, ReplicaId};
use std::collections::BTreeSet;

impl Dispatcher {
    /// Applies the answer or failure of an endpoint source.
    pub(super) fn handle_endpoint_update(
        &mut self,
        now: MonotonicMicros,
        source: &str,
        update: SourceUpdate,
        is_current: bool,
    ) {
        let has_failed = update == SourceUpdate::Failed;
        let changes = self
            .directory
            .apply_update(source, update, self.clock.reading());
        self.apply_endpoint_changes(now, source, changes);
        if source != ENDPOINT_LIST_SOURCE {
            return;
        }
        if has_failed {
            self.set_endpoint_list_status(now, EndpointListStatus::Unconfirmed);
            // The scheduler decides when to poll discovery again; other sources retry on their own.
            self.process_event(now, RouterEvent::EndpointListFailed);
        } else if is_current {
            self.set_endpoint_list_status(now, EndpointListStatus::Confirmed);
        }
    }

    /// Restores the endpoint list saved by an earlier process. It may be of any age, so it shows where replicas may be, but
    /// not whether they accept requests.
    pub(super) fn restore_endpoints(&mut self, now: MonotonicMicros, update: SourceUpdate) {
        let changes =
            self.directory
                .apply_update(ENDPOINT_LIST_SOURCE, update, self.clock.reading());
        self.apply_endpoint_changes(now, ENDPOINT_LIST_SOURCE, changes);
        self.set_endpoint_list_status(now, EndpointListStatus::Restored);
    }

    /// Notifies the router whether the endpoint list is known to be current.
    pub(super) fn set_endpoint_list_status(
        &mut self,
        now: MonotonicMicros,
        status: EndpointListStatus,
    ) {
        self.replica_client
            .set_list_confirmed(status == EndpointListStatus::Confirmed);
        self.process_event(now, RouterEvent::EndpointListStatusChanged(status));
    }

    /// Applies new settings of the endpoint sources.
    pub(super) fn set_endpoint_sources(
        &mut self,
        now: MonotonicMicros,
        sources: EndpointSourceSettings,
    ) {
        let uses_endpoint_list = sources
            .registry
            .sources
            .iter()
            .any(|source| source.name == ENDPOINT_LIST_SOURCE);
        let changes = self
            .directory
            .update_settings(sources, self.clock.reading());
        self.apply_endpoint_changes(now, "settings", changes);
        if !uses_endpoint_list {
            // The list is no longer a source: nothing will confirm it, and nothing depends on it.
            self.set_endpoint_list_status(now, EndpointListStatus::Confirmed);
        }
    }

    /// Notifies the router of endpoint changes and logs them with the source that caused them.
    pub(super) fn apply_endpoint_changes(
        &mut self,
        now: MonotonicMicros,
        source: &str,
        changes: Vec<EndpointChange>,
    ) {
        if changes.is_empty() {
            return;
        }
        logging::log_endpoint_changes(source, &changes);
        let endpoints: Vec<Endpoint> = changes.into_iter().map(|change| change.endpoint).collect();
        let unavailable: BTreeSet<ReplicaId> = endpoints
            .iter()
            .filter(|endpoint| endpoint.state != EndpointState::Available)
            .map(|endpoint| endpoint.id)
            .collect();
        let event = RouterEvent::EndpointsChanged(endpoints);
        self.router.handle_event(now, event, &mut self.commands);
        self.withdraw_unsent_attempts(now, &unavailable);
        self.execute_commands(now);
    }

    /// Withdraws attempts to draining or removed replicas that have not written anything yet. If their connections were
    /// established late, they would be sent long after the replica stopped accepting new requests. A withdrawn attempt has
    /// not run, so the scheduler may choose another replica. Probes are not withdrawn: including the time to connect, they
    /// take at most a quarter of a second.
    fn withdraw_unsent_attempts(
        &mut self,
        now: MonotonicMicros,
        unavailable: &BTreeSet<ReplicaId>,
    ) {
        if unavailable.is_empty() {
            return;
        }
        for id in self.in_flight.unsent_to(unavailable) {
            // It has written nothing, so it can't have run.
            let _ = self.in_flight.abort(id);
            let AttemptId { request, attempt } = id;
            tracing::info!(%request, attempt, "withdrew unsent attempt: replica is no longer available");
            let event = RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome: AttemptOutcome::NotSent,
                report: None,
            };
            self.router.handle_event(now, event, &mut self.commands);
        }
    }

    /// Passes to the router the verdicts of the node that probes ejected replicas. Verdicts on replicas that this node does
    /// not list are ignored.
    pub(super) fn handle_outlier_advice(&mut self, now: MonotonicMicros, advice: &[ReplicaAdvice]) {
        for status in self.router.replica_statuses() {
            let name = self.directory.name(status.replica);
            let verdict = advice
                .iter()
                .find(|advice| name == Some(advice.replica.as_str()));
            if let Some(verdict) = verdict {
                let event = RouterEvent::OutlierAdvice {
                    replica: status.replica,
                    is_healthy: verdict.is_healthy,
                };
                logging::log_event(&event);
                self.router.handle_event(now, event, &mut self.commands);
            }
        }
        self.execute_commands(now);
    }
}
