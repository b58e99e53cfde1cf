//! Placement while the endpoint list may be outdated: each attempt waits for evidence, a successful probe of its replica.

use super::Scheduler;
use crate::endpoint_confirmation::{evidence_lifetime, ListConfirmation};
use crate::latency_estimate::Candidate;
use crate::placement;
use crate::types::{Action, BudgetKind, EndpointListStatus, ReplicaId, RequestId};

impl Scheduler {
    pub(super) fn set_endpoint_list_status(&mut self, status: EndpointListStatus) {
        match status {
            EndpointListStatus::Confirmed => {
                self.list_confirmation = ListConfirmation::Confirmed;
                self.enqueue_deferred();
            }
            EndpointListStatus::Unconfirmed => self.list_confirmation.mark_unconfirmed(),
            EndpointListStatus::Incomplete => self.list_confirmation.mark_incomplete(self.now),
            EndpointListStatus::Unreachable => self.list_confirmation.mark_unreachable(),
            EndpointListStatus::Restored => {
                self.list_confirmation = ListConfirmation::Restored { at: self.now };
            }
        }
    }

    /// Whether attempts need evidence, that is, a recent successful probe of the replica: the endpoint list may be outdated,
    /// and replicas may be probed.
    pub(super) fn requires_evidence(&self) -> bool {
        !self.list_confirmation.is_confirmed() && self.settings.limits.allows_probes
    }

    /// Whether requests wait for a poll of the endpoint list, because replicas may not be probed.
    pub(super) fn awaits_poll(&self) -> bool {
        !self.settings.limits.allows_probes && self.list_confirmation.awaits_poll(self.now)
    }

    /// Chooses a candidate, preferably the replica whose probe the request waits for. If there is no valid evidence for the
    /// chosen replica, probes the replica and returns `None`; the request is placed again when the probe has ended.
    pub(super) fn choose_with_evidence(
        &mut self,
        id: RequestId,
        mut candidates: Vec<Candidate>,
        actions: &mut Vec<Action>,
    ) -> Option<Candidate> {
        let awaited = self.requests.get(&id)?.awaited_replica();
        let is_awaited = |candidate: &Candidate| awaited == Some(candidate.attempt.replica);
        let chosen = match candidates.iter().position(is_awaited) {
            Some(position) => candidates.swap_remove(position),
            None => placement::choose(candidates, || self.rng.rand_float())?,
        };
        let replica = chosen.attempt.replica;
        if self.has_evidence(replica) {
            return Some(chosen);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.set_awaited_replica(replica);
        }
        self.probe_for_evidence(replica, actions);
        None
    }

    fn has_evidence(&self, id: ReplicaId) -> bool {
        let lifetime = evidence_lifetime(self.settings.lifecycle.drain_grace);
        self.replicas
            .get(id)
            .is_some_and(|replica| replica.evidence.is_valid(self.now, lifetime))
    }

    fn probe_for_evidence(&mut self, id: ReplicaId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        if replica.evidence.has_probe_in_flight() {
            return;
        }
        if self.budgets.request_unit(now, BudgetKind::Probes, 0.0) {
            replica.evidence.record_probe_sent(now);
            actions.push(Action::Probe { replica: id });
        }
    }
}
