//! Changes of the endpoint list, and what they mean for attempts that are under way.

use super::{logging, Dispatcher};
use crate::routing::directory::{EndpointChange, EndpointSourceSettings};
use crate::routing::{AttemptId, MonotonicMicros, RouterEvent};
use crate::transport::messages::{ReplicaAdvice, ENDPOINT_LIST_SOURCE};
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::{AttemptOutcome, Endpoint, EndpointListStatus, EndpointState, ReplicaId};
use std::collections::BTreeSet;

impl Dispatcher {
    /// Takes an endpoint source's answer, or the word that it gave none.
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
            // The scheduler decides when discovery is asked again; other sources ask again by themselves.
            self.process_event(now, RouterEvent::EndpointListFailed);
        } else if is_current {
            self.set_endpoint_list_status(now, EndpointListStatus::Confirmed);
        }
    }

    /// Takes the endpoint list of an earlier process. It may be of any age: it says where replicas may be, not that they
    /// take requests.
    pub(super) fn restore_endpoints(&mut self, now: MonotonicMicros, update: SourceUpdate) {
        let changes =
            self.directory
                .apply_update(ENDPOINT_LIST_SOURCE, update, self.clock.reading());
        self.apply_endpoint_changes(now, ENDPOINT_LIST_SOURCE, changes);
        self.set_endpoint_list_status(now, EndpointListStatus::Restored);
    }

    /// Tells the router what is known of the list's age.
    pub(super) fn set_endpoint_list_status(
        &mut self,
        now: MonotonicMicros,
        status: EndpointListStatus,
    ) {
        self.replica_client
            .set_list_confirmed(status == EndpointListStatus::Confirmed);
        self.process_event(now, RouterEvent::EndpointListStatusChanged(status));
    }

    /// Takes new settings of the endpoint sources.
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
            // Nobody will confirm it any more, and nothing rests on it.
            self.set_endpoint_list_status(now, EndpointListStatus::Confirmed);
        }
    }

    /// Tells the router what has changed in the endpoint list, and the log on whose word.
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
        let leaving: BTreeSet<ReplicaId> = endpoints
            .iter()
            .filter(|endpoint| endpoint.state != EndpointState::Available)
            .map(|endpoint| endpoint.id)
            .collect();
        let event = RouterEvent::EndpointsChanged(endpoints);
        self.router.handle_event(now, event, &mut self.commands);
        self.withdraw_unsent_attempts(now, &leaving);
        self.execute_commands(now);
    }

    /// Withdraws attempts at replicas that leave and that have written nothing yet: a connection that comes up late would
    /// carry them there long after the replica was to get nothing new. Such an attempt has never run, and the scheduler finds
    /// it another replica. Probes are left alone: with their connection they take a quarter of a second at most.
    fn withdraw_unsent_attempts(&mut self, now: MonotonicMicros, leaving: &BTreeSet<ReplicaId>) {
        if leaving.is_empty() {
            return;
        }
        for id in self.in_flight.unsent_to(leaving) {
            self.in_flight.abort(id);
            let AttemptId { request, attempt } = id;
            tracing::info!(%request, attempt, "unsent attempt withdrawn from a replica that leaves");
            let event = RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome: AttemptOutcome::NotSent,
                report: None,
            };
            self.router.handle_event(now, event, &mut self.commands);
        }
    }

    /// Tells the router what the node that probes ejected replicas has found of those that this node lists.
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
