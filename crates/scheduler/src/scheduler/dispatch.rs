//! Dispatches queued requests to replicas with capacity.

use super::{Scheduler, ESTIMATE_TIMING, TIMER_INTERVAL};
use crate::attempt::Attempt;
use crate::fair_queue::Quantum;
use crate::hedging;
use crate::placement::{self, PlacementLimits};
use crate::retry;
use crate::types::{Action, BudgetKind, ReplicaId, RequestId};

/// The fraction of the cross-zone budget's burst that is reserved for requests of the highest priority.
const RESERVED_CROSS_ZONE_FRACTION: f64 = 0.5;

impl Scheduler {
    /// Dispatches queued requests while any replica has capacity for the highest tier with queued requests.
    pub(super) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        if self.awaits_poll() {
            return;
        }
        while self.has_capacity_for_queue() {
            let quantum = Quantum::new(self.traffic.mean_request_cost());
            let Some(charged) = self.queue.charge_next(quantum) else {
                return;
            };
            let id = charged.request;
            self.work.queue_turns += charged.turns;
            self.work.placements += 1;
            self.dequeue(id);
            match self.place(id, actions) {
                Some(attempt) => self.start_attempt(id, attempt, actions),
                None => self.defer_or_answer(id, actions),
            }
        }
    }

    /// Defers a request for which no replica qualifies. A request that must not be repeated any more is answered instead, once
    /// it has no attempt in flight.
    fn defer_or_answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_hopeless = self.requests.get(&id).is_some_and(|request| {
            !retry::may_repeat(&self.settings, request, self.now)
                && !request.has_attempt_in_flight()
        });
        if is_hopeless {
            self.answer_request(id, actions);
        } else {
            self.deferred.push(id);
        }
    }

    fn has_capacity_for_queue(&self) -> bool {
        self.queue.first_backlogged_tier().is_some_and(|tier| {
            let is_best_effort = self.queue.is_best_effort(tier);
            self.view().any_has_capacity(is_best_effort)
        })
    }

    /// Chooses the replica for a request's next attempt; `None` if no replica qualifies or evidence is awaited.
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
            self.choose_with_evidence(id, candidates, actions)
        } else {
            placement::choose(candidates, || self.rng.rand_float())
        };
        if !has_candidates && !may_cross_zones {
            // Placement is repeated at each timer event. Each time the timer interval in seconds is added to the demand, so
            // a request that waits for one second demands one unit.
            let units = TIMER_INTERVAL;
            self.budgets
                .record_demand(BudgetKind::CrossZone, units, priority_weight);
        }
        chosen.map(|candidate| candidate.attempt)
    }

    /// Whether the cross-zone budget allows an attempt of this priority weight. A fraction of the budget is reserved for the
    /// highest priority.
    fn may_cross_zones(&self, priority_weight: f64) -> bool {
        let reserved_fraction = if priority_weight < self.queue.highest_priority_weight() {
            RESERVED_CROSS_ZONE_FRACTION
        } else {
            0.0
        };
        self.budgets
            .has_unit(self.now, BudgetKind::CrossZone, reserved_fraction)
    }

    fn start_attempt(&mut self, id: RequestId, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let replica_id = attempt.replica;
        let prefill_tokens = attempt.prefill_tokens;
        let overdue_delay = hedging::overdue_delay(attempt.estimated_ttft);
        let write_timeout = retry::write_timeout(&self.settings, request, self.now);
        request.add_attempt(attempt);
        actions.push(Action::StartAttempt {
            request: id,
            replica: replica_id,
            timeout: request.deadlines().deadline - self.now,
            write_timeout,
        });
        self.traffic.record_dispatch(self.now, request.cost());
        self.record_budget_use(id, replica_id);
        if let Some(replica) = self.replicas.get_mut(replica_id) {
            replica.record_attempt(prefill_tokens, self.now, overdue_delay);
        }
    }

    /// Records the demand of an attempt for the slow-start budget, and takes a unit of the cross-zone budget if the replica
    /// is in another zone. The slow-start budget applies to each replica, so the attempt is divided by the number of
    /// replicas.
    fn record_budget_use(&mut self, id: RequestId, replica: ReplicaId) {
        let priority_weight = self.priority_weight(id);
        let units_per_replica = 1.0 / self.concurrency.max_available_replicas().max(1) as f64;
        self.budgets
            .record_demand(BudgetKind::SlowStart, units_per_replica, priority_weight);
        let own_zone = self.settings.zone;
        let crosses_zones = self
            .replicas
            .get(replica)
            .is_some_and(|replica| replica.zone() != own_zone);
        if crosses_zones {
            // The unit is available, because placement has checked the budget.
            self.budgets
                .request_unit(self.now, BudgetKind::CrossZone, priority_weight);
        }
    }
}
