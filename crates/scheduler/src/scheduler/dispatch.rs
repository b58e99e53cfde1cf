//! Queued requests are dispatched to replicas as far as there is capacity.

use super::{Scheduler, ESTIMATE_TIMING, TIMER_INTERVAL};
use crate::attempt::Attempt;
use crate::hedging;
use crate::placement::{self, PlacementLimits};
use crate::types::{Action, BudgetKind, ReplicaId, RequestId};

/// Of the cross-zone budget that can be saved up, this part is kept for requests of the highest priority.
const RESERVED_CROSS_ZONE_PART: f64 = 0.5;

impl Scheduler {
    /// Dispatches queued requests while any replica has capacity for the highest tier that has some.
    pub(super) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        if self.awaits_poll() {
            return;
        }
        while self.has_capacity_for_queue() {
            let quantum = self.traffic.mean_request_cost();
            let Some(id) = self.queue.charge_next(quantum) else {
                return;
            };
            self.dequeue(id);
            match self.place(id, actions) {
                Some(attempt) => self.start_attempt(id, attempt, actions),
                None => self.deferred.push(id),
            }
        }
    }

    fn has_capacity_for_queue(&self) -> bool {
        self.queue.first_backlogged_tier().is_some_and(|tier| {
            let is_best_effort = self.queue.is_best_effort(tier);
            self.view().any_has_capacity(is_best_effort)
        })
    }

    /// Chooses the replica for a request's next attempt; `None` where no replica qualifies.
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<Attempt> {
        let request = self.requests.get(&id)?;
        let priority_weight = self.settings.classes[request.class()].priority_weight;
        let may_cross_zones = self.may_cross_zones(priority_weight);
        let limits = PlacementLimits {
            is_best_effort: self.queue.is_best_effort(request.tier()),
            may_cross_zones,
        };
        let candidates = placement::candidates(&self.view(), request, &limits, &ESTIMATE_TIMING);
        let has_candidates = !candidates.is_empty();
        let chosen = if self.requires_evidence() {
            self.choose_by_evidence(id, candidates, actions)
        } else {
            placement::choose(candidates, || self.rng.rand_float())
        };
        if !has_candidates && !may_cross_zones {
            // The request is tried again at each timer: waiting for that long counts as this part of one attempt wanted.
            let units = TIMER_INTERVAL;
            self.budgets
                .record_demand(BudgetKind::CrossZone, units, priority_weight);
        }
        chosen.map(|candidate| candidate.attempt)
    }

    /// Requests of less than the highest priority leave a part of the fleet's cross-zone budget to those.
    fn may_cross_zones(&self, priority_weight: f64) -> bool {
        let reserved_part = if priority_weight < self.queue.highest_priority_weight() {
            RESERVED_CROSS_ZONE_PART
        } else {
            0.0
        };
        self.budgets
            .has_unit(self.now, BudgetKind::CrossZone, reserved_part)
    }

    fn start_attempt(&mut self, id: RequestId, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let replica_id = attempt.replica;
        let unread_tokens = attempt.unread_tokens;
        let overdue_after = hedging::overdue_after(attempt.estimate);
        request.add_attempt(attempt);
        actions.push(Action::StartAttempt {
            request: id,
            replica: replica_id,
            timeout: request.deadlines().deadline - self.now,
        });
        self.traffic.record_dispatch(self.now, request.cost());
        self.record_budget_use(id, replica_id);
        if let Some(replica) = self.replicas.get_mut(replica_id) {
            replica.record_attempt(unread_tokens, self.now, overdue_after);
        }
    }

    /// Counts an attempt against the fleet's budgets: what of it a replica in slow start would get, and a zone crossed.
    fn record_budget_use(&mut self, id: RequestId, replica: ReplicaId) {
        let priority_weight = self.priority_weight(id);
        let part = 1.0 / self.concurrency.max_available_replicas().max(1) as f64;
        self.budgets
            .record_demand(BudgetKind::SlowStart, part, priority_weight);
        let own_zone = self.settings.zone;
        let crosses_zones = self
            .replicas
            .get(replica)
            .is_some_and(|replica| replica.zone() != own_zone);
        if crosses_zones {
            // The placement has checked that there is a unit, or there is no budget.
            self.budgets
                .request_unit(self.now, BudgetKind::CrossZone, priority_weight);
        }
    }
}
