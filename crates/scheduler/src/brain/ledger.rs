//! The module's books: what is held, out, ended and reported. No rule stands here; the types are in
//! `interface.rs`.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use super::*;
use std::collections::BTreeMap;

/// The decisions of one router.
pub struct Scheduler {
    pub(super) settings: SchedulerSettings,
    pub(super) rng: Rand64,
    pub(super) now: Seconds,
    pub(super) started: bool,
    pub(super) backlog: Backlog,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) parked: Vec<RequestId>,
    pub(super) replicas: BTreeMap<ReplicaId, Replica>,
    /// For each tenant, what is left of its allowance.
    pub(super) allowances: Vec<Allowance>,
    /// Most of the fleet seems out: then the cause is shared, and sending to none of it would help nobody.
    pub(super) most_ejected: bool,
    pub(super) arrivals: u64,
    pub(super) learned: Learned,
    pub(super) pool: Pool,
    pub(super) ask_at: Option<Seconds>,
    /// Every request that waits is answered by then: the router's own end.
    pub(super) answer_by: Seconds,
    /// Second copies that may still be sent.
    pub(super) copies: Allowance,
    /// What the fleet allows.
    pub(super) spending: BudgetLedger,
}

impl Scheduler {
    /// A router that knows no replica yet. The same settings, seed and events give the same actions.
    pub fn new(settings: SchedulerSettings, seed: u64) -> Result<Scheduler, SettingsError> {
        settings.check()?;
        let tenants = settings.tenants.len().max(1);
        Ok(Scheduler {
            backlog: Backlog::new(&settings),
            allowances: vec![Allowance::default(); tenants],
            rng: Rand64::new(u128::from(seed)),
            settings,
            now: 0.0,
            started: false,
            requests: BTreeMap::new(),
            parked: Vec::new(),
            replicas: BTreeMap::new(),
            most_ejected: false,
            arrivals: 0,
            learned: Learned::new(RATE_HORIZON),
            pool: Pool::new(),
            ask_at: None,
            answer_by: f64::INFINITY,
            copies: Allowance::default(),
            spending: Default::default(),
        })
    }

    /// For the log: requests that may be out together and are, those held by tenant, replicas in mind.
    pub fn gauges(&self) -> (f64, usize, Vec<usize>, usize) {
        (
            self.pool.size,
            self.pool_in_flight(),
            self.backlog.waiting(),
            self.replicas.len(),
        )
    }

    /// Replicas listed that get nothing, or trials only.
    pub fn unavailable_replica_count(&self) -> usize {
        self.replicas
            .values()
            .filter(|r| !r.gone && (!r.up || Self::ejected(r)))
            .count()
    }

    /// Counts a second copy where they are allowed at all; what is called off is counted as the retry that follows.
    pub(super) fn spend_copy(&mut self, id: RequestId) -> bool {
        !self.settings.limits.allows_hedging || self.spend(BudgetKind::HedgedAttempts, id)
    }

    /// Counts a send against the fleet's budgets: what of it a cold replica would get, and a crossing.
    pub(super) fn count_send(&mut self, id: RequestId, to: ReplicaId) {
        let class = self
            .requests
            .get(&id)
            .and_then(|r| self.settings.classes.get(r.arrival.class));
        let worth = class.map_or(0.0, |c| c.priority_weight);
        self.spending.record_demand(
            BudgetKind::SlowStart,
            1.0 / self.pool.most_up.max(1) as f64,
            worth,
        );
        if self
            .replicas
            .get(&to)
            .is_some_and(|r| r.zone != self.settings.zone)
        {
            self.spending
                .request_unit(self.now, BudgetKind::CrossZone, worth);
        }
    }

    /// Counts a request that has come, and learns from it what requests cost; its cost with what its hint adds.
    pub(super) fn count_arrival(&mut self, arrival: &IncomingRequest, cost: f64) -> f64 {
        let cost = self.learned.hinted(cost, arrival.expected_work, LEARN);
        if self.arrivals == 0 {
            self.learned.begin(
                &self.settings.classes[arrival.class],
                arrival.max_output_tokens,
                cost,
            );
        }
        self.learned.quantum += (cost - self.learned.quantum) * LEARN;
        self.arrivals += 1;
        cost
    }

    /// Takes an attempt's end out of what its replica has, and learns from its report.
    pub(super) fn count_end(
        &mut self,
        (id, attempt): (RequestId, usize),
        replica: ReplicaId,
        unread: f64,
        report: Option<LoadReport>,
        served: bool,
    ) {
        // A report at an answer's end was made while the replica still held it.
        self.take_report(replica, report);
        if let Some(found) = report
            .and_then(|r| r.cached_prompt_tokens)
            .filter(|_| served)
        {
            if let Some(request) = self.requests.get(&id) {
                self.learned.found(
                    &request.arrival,
                    &request.attempts[attempt],
                    found,
                    LEARN / 2.0,
                );
            }
        }
        if let Some(r) = self.replicas.get_mut(&replica) {
            (r.in_flight, r.own_unread) = (
                r.in_flight.saturating_sub(1),
                (r.own_unread - unread).max(0.0),
            );
        }
    }

    /// Calls off what a request still has out, where that is possible.
    pub(super) fn call_off(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = self
            .requests
            .get_mut(&id)
            .filter(|_| self.settings.limits.allows_cancellation);
        let called = request.map(Request::call_off).into_iter().flatten();
        out.extend(called.map(|attempt| Action::CancelAttempt {
            request: id,
            attempt,
        }));
    }

    /// Takes a unit of a budget of the fleet for a request.
    pub(super) fn spend(&mut self, what: BudgetKind, id: RequestId) -> bool {
        let class = self
            .requests
            .get(&id)
            .and_then(|r| self.settings.classes.get(r.arrival.class));
        self.spending
            .request_unit(self.now, what, class.map_or(0.0, |c| c.priority_weight))
    }

    /// What the fleet allows from now on.
    pub fn set_budget_grants(&mut self, allowed: &BudgetGrants) {
        self.spending.set_grants(self.now, allowed);
    }

    /// What has been wanted since the start of what the fleet has budgets for.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.spending.demand()
    }

    /// Each listed replica: whether it gets trials only, and when its last answer came, if nothing has failed since.
    pub fn replica_health(&self) -> Vec<(ReplicaId, bool, Option<Seconds>)> {
        let well = |r: &Replica| {
            Some(r.life).filter(|life| r.failures == 0 && r.broken == 0 && *life > 0.0)
        };
        let listed = self.replicas.iter().filter(|(_, r)| !r.gone);
        listed
            .map(|(id, r)| (*id, Self::ejected(r), well(r)))
            .collect()
    }

    /// Takes new settings, whose classes and tenants keep their places: requests held move to the tier of the worth
    /// they came with, all others keep their class.
    pub fn update_settings(&mut self, settings: SchedulerSettings) -> Result<(), SettingsError> {
        settings.check()?;
        let held: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|r| r.1.queued)
            .map(|r| *r.0)
            .collect();
        held.iter().for_each(|id| self.hold(*id, false));
        let old = std::mem::replace(&mut self.backlog, Backlog::new(&settings));
        for request in self.requests.values_mut() {
            request.tier = self.backlog.tier_of(old.tiers[request.tier].worth);
        }
        held.iter().for_each(|id| self.hold(*id, true));
        self.settings = settings;
        Ok(())
    }

    /// What has been learned, for the process that takes this one's place.
    pub fn export_learned_state(&self) -> LearnedState {
        let l = &self.learned;
        LearnedState {
            requests_seen: self.arrivals,
            mean_request_cost: l.quantum,
            mean_time_to_first_token: l.first,
            mean_service_time: l.hold_time,
            dispatched_cost_rate: l.released.get(self.now),
            attempt_rate: l.sent.get(self.now),
            concurrency_per_replica: self.pool.size / self.pool.warm.max(1) as f64,
            prefill_times: l
                .paces
                .iter()
                .map(|(kind, pace)| (*kind, pace.0, pace.1))
                .collect(),
            service_times: l.holds.iter().map(|(kind, hold)| (*kind, *hold)).collect(),
            batch_sizes: l
                .batches
                .iter()
                .map(|(kind, batch)| (*kind, *batch))
                .collect(),
            cache_hit_rates: l.kept,
            tokens_per_work_second: l.tokens_a_second,
            mean_queued_tokens: l.typical,
            sessions: l
                .places
                .all()
                .map(|(session, at, read)| (session, at.0, read))
                .collect(),
        }
    }

    /// Takes over what another process has learned: sessions' places that are not known here, and all else if that
    /// process had seen more.
    pub fn import_learned_state(&mut self, memory: &LearnedState) {
        for (session, at, read) in &memory.sessions {
            if self.learned.places.get(*session).is_none() {
                self.learned.places.put(*session, ReplicaId(*at), *read);
            }
        }
        if self.arrivals >= memory.requests_seen {
            return;
        }
        let (l, now) = (&mut self.learned, self.now);
        (l.quantum, l.first, l.hold_time) = (
            memory.mean_request_cost,
            memory.mean_time_to_first_token,
            memory.mean_service_time,
        );
        (l.kept, l.tokens_a_second, l.typical) = (
            memory.cache_hit_rates,
            memory.tokens_per_work_second,
            memory.mean_queued_tokens,
        );
        l.paces = memory
            .prefill_times
            .iter()
            .map(|(kind, count, mean)| (*kind, (*count, *mean)))
            .collect();
        l.holds = memory.service_times.iter().copied().collect();
        l.batches = memory.batch_sizes.iter().copied().collect();
        for (rate, learned) in [
            (&mut l.released, memory.dispatched_cost_rate),
            (&mut l.sent, memory.attempt_rate),
        ] {
            (rate.value, rate.at) = (learned, now);
        }
        self.arrivals = memory.requests_seen;
        if self.pool.warm > 0 {
            (self.pool.size, self.pool.fresh) = (
                (memory.concurrency_per_replica * self.pool.warm as f64).max(1.0),
                false,
            );
        }
    }

    pub(super) fn unpark(&mut self) {
        for id in std::mem::take(&mut self.parked) {
            self.hold(id, true);
        }
    }

    pub(super) fn hold(&mut self, id: RequestId, held: bool) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.backlog.hold(id, request, held);
        }
    }

    pub(super) fn pool_in_flight(&self) -> usize {
        self.replicas
            .values()
            .filter(|r| r.up && !self.cold(r))
            .map(|r| r.in_flight)
            .sum()
    }

    /// Requests that all other routers have out at a replica, the mean, if each has as many out as this one.
    pub(super) fn others(&self) -> f64 {
        let up = self.replicas.values().filter(|r| r.up);
        let (out, up) = up.fold((0, 0), |(out, up), r| (out + r.in_flight, up + 1));
        (self.settings.router_count - 1) as f64 * out as f64 / up.max(1) as f64
    }

    pub(super) fn take_report(&mut self, replica: ReplicaId, report: Option<LoadReport>) {
        let others = self.others();
        if let (Some(r), Some(report)) = (self.replicas.get_mut(&replica), report) {
            r.take_report(report, self.now);
            match report.requests_queued {
                Some(queued) if report.requests_held.is_none() => {
                    self.learned
                        .queue_shown(r.kind, r.in_flight as f64 + others, queued);
                }
                _ => drop(
                    r.batch
                        .map(|batch| self.learned.batches.insert(r.kind, batch)),
                ),
            }
            self.learned.typical += LEARN * (r.reported - self.learned.typical);
        }
    }

    /// The request has its end; attempts still out are called off and free their slots when they end.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.hold(id, false);
        self.parked.retain(|p| *p != id);
        self.call_off(id, out);
        self.requests.entry(id).and_modify(|r| r.ended = true);
        self.forget(id);
    }

    /// Where this router stands among all of them, from 0 to 1, drawn within its own part: what all routers do at
    /// once is spread evenly by it.
    pub(super) fn place(&mut self) -> f64 {
        (self.settings.router_index as f64 + self.rng.rand_float())
            / self.settings.router_count as f64
    }

    pub(super) fn forget(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.ended && r.out().next().is_none())
        {
            self.requests.remove(&id);
        }
    }
}
