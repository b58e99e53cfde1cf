//! Every decision of poppykeel and every tunable; the types it speaks are in `interface.rs`.
//!
//! The ordinary path is Serving Fairness: arrival, early refusal, tier by worth, deficit round robin over
//! tenants, earliest deadline within a tenant, release to a replica with window room, drawn by its reports.
//! What departs from that path is marked "departure" here and explained in `docs/design.md`.

#![allow(
    clippy::enum_glob_use,
    clippy::wildcard_imports,
    reason = "not yet converted"
)]
#![expect(
    clippy::items_after_statements,
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::interface::*;
use crate::state::*;
use oorandom::Rand64;

mod estimate;
mod ledger;
mod shutdown;
use estimate::{BASE_TOKENS, EVEN};
pub use ledger::Scheduler;

/// How often all requests are looked over; small against any aim, cheap against the CPU.
const TICK: Seconds = 0.02;
/// Held requests are answered this long before they expire, so that a late tick is still in time.
const EXPIRY_MARGIN: Seconds = 0.03;
/// After a failed call for the list the next comes within this: two such and a call of 2.2 s are below 6 s.
const LIST_RETRY: Seconds = 1.84;
/// The first calls of routers that start together are spread over at most this.
const LIST_SPREAD: Seconds = 3.0;
/// The window of a replica is this many even parts of the pool, and at least so many requests.
const WINDOW_PARTS: f64 = 4.0;
const LEAST_WINDOW: f64 = 4.0;
/// Departure: prompts being read hold up streams, and a first token at the aim is a time-out seen late: it is
/// late past this part of the aim.
const LATE_PART: f64 = 0.3;
/// Weight of one new sample in a learned mean.
const LEARN: f64 = 0.1;
/// Horizon of the release rate: long enough to smooth single requests, short enough to follow a burst.
const RATE_HORIZON: Seconds = 2.0;
/// A report older than this is asked for anew when a request may go there.
const PROBE_EVERY: Seconds = 1.0;
/// Departure: a session's next turn comes to any router, so each session has an order of replicas that all
/// reckon alike, the own zone's first where crossing has a price. So many are asked for reports.
const ASKED: usize = 2;
/// Departure: a window of one in each of many routers is too much, so a router's windows have a common bound,
/// its pool: at first so many requests for each replica, shared among the routers.
const FIRST_POOL: f64 = 8.0;
/// The pool grows by this factor on an early first token while half of it is used ...
const POOL_GROWTH: f64 = 1.04;
/// ... and is cut by this one on a late first token, a time-out or "full". Deeper cuts left replicas idle.
const POOL_CUT: f64 = 0.985;
/// Departure: other routers may hold work of higher worth. So work beyond a share uses only this part of
/// the pool.
const SPARE_PART: f64 = 0.4;
/// A router that sends less than this in a second is idle.
const IDLE_RATE: f64 = 0.1;
/// Failures in a row that eject a replica.
const EJECT_AFTER: u32 = 3;
/// An ejected replica gets one trial in this time; one that said "full" is left alone as long.
const PAUSE: Seconds = 0.7;
/// After a silence longer than this a replica may have been started anew.
const LONG_SILENCE: Seconds = 2.0;
/// A trial of one whose streams break costs a client its answer: the pause doubles with each, up to so often.
const MOST_DOUBLINGS: u32 = 3;
/// An attempt is overdue after this many times its estimate ...
const OVERDUE: f64 = 2.5;
/// ... and a second copy then goes out, for at most this part of all sends.
const COPIES: f64 = 0.1;
/// Of crossings saved up, this part is kept for the class of the highest worth.
const CROSSINGS_KEPT: f64 = 0.5;
/// An allowance may be saved up to so many requests, or a second's: its even part may be less than one.
const SHARE_DEPTH: f64 = 8.0;
/// An even part is widened by this, since the front does not spread clients evenly over routers and zones.
const SHARE_SLACK: f64 = 1.3;

impl Scheduler {
    /// Takes one event and appends the actions it calls for. Events about something unknown are passed over;
    /// so are all but the first event of a request id. A time before the last one counts as the last one.
    pub fn handle_event(&mut self, now: Seconds, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() {
            self.now.max(now)
        } else {
            self.now
        };
        if !self.started {
            self.started = true;
            out.push(Action::SetTimer { after: TICK });
            // Routers that start together must not ask together: the list is one slow service for all.
            self.ask_at = Some(
                self.now
                    + self.place() * (self.settings.lifecycle.poll_interval / 4.0).min(LIST_SPREAD),
            );
        }
        match event {
            Event::EndpointsReplaced(list) => self.relist(list, true),
            Event::EndpointsChanged(list) => self.relist(list, false),
            Event::EndpointListFailed => {
                self.ask_at = Some(self.now + LIST_RETRY * (0.1 + 0.9 * self.place()))
            }
            Event::RequestArrived(arrival) if self.requests.contains_key(&arrival.id) => {}
            Event::RequestArrived(arrival) => self.arrive(arrival, out),
            Event::FirstToken {
                request,
                attempt,
                elapsed,
            } => self.first_token(request, attempt, elapsed, out),
            Event::AttemptEnded { .. } => self.ended(event, out),
            Event::ClientDisconnected(id) => self.close(id, out),
            Event::ProbeEnded {
                replica,
                outcome,
                report,
            } => {
                if outcome == AttemptOutcome::Completed {
                    self.alive(replica, false);
                }
                self.replicas.entry(replica).and_modify(|r| r.asked = false);
                self.take_report(replica, report);
                if !self.replicas.values().any(|r| r.asked) {
                    self.unpark();
                }
            }
            Event::OutlierAdvice {
                replica,
                is_healthy: true,
            } => self.alive(replica, true),
            Event::OutlierAdvice { replica, .. } => {
                let until = self.now + PAUSE;
                self.replicas
                    .entry(replica)
                    .and_modify(|r| r.paused_until = r.paused_until.max(until));
            }
            Event::TimerFired => self.tick(out),
        }
        self.release(out);
    }

    /// Departure: with more routers than replicas answers are rare. Each counts for more, reports are asked
    /// for, and a replica that says it is idle has room beside the pool, which is too coarse.
    fn relist(&mut self, list: Vec<Endpoint>, full: bool) {
        if full {
            self.replicas
                .values_mut()
                .for_each(|r| (r.up, r.gone) = (false, true));
        }
        for entry in list {
            let cold = self.settings.lifecycle.slow_start_duration;
            let born = entry
                .started_at
                .filter(|b| self.now - b < cold)
                .map(|b| b.min(self.now));
            let r = self
                .replicas
                .entry(entry.id)
                .or_insert_with(|| Replica::new(entry.id));
            r.listed(&entry);
            if born.is_some() && born > r.cold_since {
                // Rule 4: all routers hear of a start at once; first sends at once pushed it over.
                r.restart(born, -self.rng.rand_float());
            }
        }
        // Replicas are replaced all day long: what has gone and owes nothing must not stay behind.
        self.replicas.retain(|_, r| !r.gone || r.in_flight > 0);
        self.pool.most_up = self
            .pool
            .most_up
            .max(self.replicas.values().filter(|r| r.up).count());
        self.pool.rare =
            (self.settings.router_count as f64 / self.pool.most_up.max(1) as f64).max(1.0);
        self.resize();
    }

    /// The pool follows the warm replicas at once: a router that sends little would learn it too late.
    fn resize(&mut self) {
        let warm = self
            .replicas
            .values()
            .filter(|r| r.up && !self.cold(r))
            .count();
        self.pool
            .resize(warm, FIRST_POOL / self.settings.router_count as f64);
    }

    fn arrive(&mut self, arrival: IncomingRequest, out: &mut Vec<Action>) {
        let id = arrival.id;
        let Some(class) = self.settings.classes.get(arrival.class) else {
            return out.push(Action::Reject {
                request: id,
                retry_after: 0.0,
            });
        };
        let time_left = self.time_left(&arrival);
        let (aim, deadline) = (class.ttft_objective_for(&arrival), self.now + time_left);
        let useful_until = if class.late_weight > 0.0 {
            deadline
        } else {
            deadline.min(self.now + aim)
        };
        let (worth, tenant) = (
            class.priority_weight,
            arrival.tenant.min(self.allowances.len() - 1),
        );
        // Departure: what a tenant sends beyond its share waits in the tier of what that is worth.
        let worth = if self.within_share(tenant) {
            worth
        } else {
            worth * self.settings.over_quota_weight
        };
        let tier = self.backlog.tier_of(worth);
        let cost = (arrival.prompt_tokens + arrival.max_output_tokens).max(1) as f64;
        let cost = self.count_arrival(&arrival, cost);
        let key = (micros(deadline), self.arrivals);
        let arrival = IncomingRequest {
            tenant,
            time_left,
            ..arrival
        };
        let request = Request::new(arrival, key, tier, cost, aim, deadline, useful_until);
        if !self.any_room(request.tier) {
            let wait = self.backlog_wait(&request);
            if wait
                > if self.now + aim < deadline {
                    aim
                } else {
                    time_left
                }
            {
                let retry_after = wait.min(self.settings.limits.max_retry_after);
                return out.push(Action::Reject {
                    request: id,
                    retry_after,
                });
            }
        }
        let asked = time_left > 2.0 * TICK && self.ask_reports(&request.arrival, out);
        self.requests.insert(id, request);
        match asked {
            true => self.parked.push(id),
            false => self.hold(id, true),
        }
        self.release(out);
        let unsent = self
            .requests
            .get(&id)
            .is_some_and(|r| r.attempts.is_empty());
        if unsent && time_left <= EXPIRY_MARGIN + TICK {
            // Less than a tick is left: the next look at the held requests would find it lost.
            self.answer(id, out);
        }
    }

    fn ask_reports(&mut self, arrival: &IncomingRequest, out: &mut Vec<Action>) -> bool {
        let (from, probes) = (
            self.settings.load_report_source,
            self.settings.limits.allows_probes,
        );
        let inline = from == LoadReportSource::Inline && self.pool.rare > 1.0;
        let lacking = probes && (inline || from == LoadReportSource::Probes);
        let due = |r: &Replica| r.next_probe.max(r.reported_at + PROBE_EVERY);
        let stale = |id: &ReplicaId| lacking && self.now >= due(&self.replicas[id]);
        let mut asked: Vec<ReplicaId> = self.homes(arrival).into_iter().filter(stale).collect();
        asked.retain(|_| {
            self.spending
                .request_unit(self.now, BudgetKind::Probes, 0.0)
        });
        for replica in asked.iter().copied() {
            let asked = |r: &mut Replica| (r.asked, r.next_probe) = (true, self.now + PROBE_EVERY);
            self.replicas.entry(replica).and_modify(asked);
            out.push(Action::Probe { replica });
        }
        !asked.is_empty()
    }

    fn within_share(&mut self, tenant: usize) -> bool {
        let part = |t: &Tenant| t.rate_limit * SHARE_SLACK / self.settings.router_count as f64;
        let (fleet, tenants) = (BudgetKind::Tenant(tenant), &self.settings.tenants);
        let own = tenants
            .get(tenant)
            .filter(|_| !self.spending.has_budget(fleet));
        let rate = own.map_or(f64::INFINITY, part);
        let may = self.spending.request_unit(self.now, fleet, 1.0);
        may && self.allowances[tenant].take(self.now, rate, rate.max(SHARE_DEPTH))
    }

    /// How long round robin would take to come to this request: what it releases first over its rate.
    fn backlog_wait(&self, request: &Request) -> Seconds {
        let higher = self.backlog.tiers[..request.tier]
            .iter()
            .map(Tier::cost)
            .sum::<f64>();
        let queues = &self.backlog.tiers[request.tier].queues;
        let own = queues[request.arrival.tenant].cost;
        let others = queues
            .iter()
            .map(|q| q.cost.min(own + request.cost))
            .sum::<f64>()
            - own;
        let floor = self.pool.size * self.learned.quantum / self.learned.hold_time;
        (higher + own + others) / self.learned.released.get(self.now).max(floor)
    }

    /// The next request by tier, then deficit round robin, then deadline; it has left its queue.
    fn next_held(&mut self) -> Option<RequestId> {
        let tier = self.backlog.tiers.iter_mut().find(|t| !t.turn.is_empty())?;
        loop {
            let queue = &mut tier.queues[tier.turn[0]];
            let id = *queue.held.values().next()?;
            let cost = self.requests[&id].cost;
            if !queue.granted {
                queue.granted = true;
                queue.deficit += self.learned.quantum;
            }
            if queue.deficit >= cost {
                queue.deficit -= cost;
                self.hold(id, false);
                return Some(id);
            }
            queue.granted = false;
            tier.turn.rotate_left(1);
        }
    }

    fn release(&mut self, out: &mut Vec<Action>) {
        while self
            .backlog
            .tiers
            .iter()
            .position(|t| !t.turn.is_empty())
            .is_some_and(|t| self.any_room(t))
        {
            let Some(id) = self.next_held() else { return };
            match self.draw(id) {
                Some(attempt) => self.send(id, attempt, out),
                None => self.parked.push(id),
            }
        }
    }

    fn ejected(r: &Replica) -> bool {
        r.silent_since.is_some() || r.failures >= EJECT_AFTER || r.broken >= EJECT_AFTER
    }

    fn cold(&self, r: &Replica) -> bool {
        r.warmth(&self.settings.lifecycle, self.now) < 1.0
    }

    /// Departure: what a cold replica may get is bounded by time; the pool is for the warm ones.
    fn has_room(&self, r: &Replica, pooled: bool) -> bool {
        let open = self.now >= r.paused_until || (self.most_ejected && r.silent_since.is_none());
        let idle = self.pool.rare > 1.0
            && self.now < r.reported_at + PROBE_EVERY
            && self.tokens_waiting(r) < BASE_TOKENS;
        let allowed = if self.cold(r) {
            r.cold_credit > 0.0
        } else {
            pooled || idle
        };
        let window =
            (WINDOW_PARTS * self.pool.size / self.pool.warm.max(1) as f64).max(LEAST_WINDOW);
        r.up && open && allowed && (r.in_flight as f64) < window.floor()
    }

    fn pool_free(&self, tier: usize) -> bool {
        let part = if self.backlog.tiers[tier].spare {
            SPARE_PART
        } else {
            1.0
        };
        (self.pool_in_flight() as f64) < (self.pool.size * part).max(1.0)
    }

    fn any_room(&self, tier: usize) -> bool {
        let pooled = self.pool_free(tier);
        self.replicas.values().any(|r| self.has_room(r, pooled))
    }

    /// The first in a session's order of the replicas that will do: where crossing zones has a price, the
    /// first of the own zone and one beyond, since a zone may have more traffic than its replicas can carry.
    fn order(
        &self,
        arrival: &IncomingRequest,
        will_do: impl Fn(&ReplicaId, &Replica) -> bool,
    ) -> Vec<ReplicaId> {
        let session = arrival.session.unwrap_or(arrival.id.0);
        let near =
            |r: &Replica| r.zone == self.settings.zone || self.settings.costs.cross_zone <= 0.0;
        let fit = self.replicas.iter().filter(|(id, r)| will_do(id, r));
        let mut order: Vec<_> = fit
            .map(|(id, r)| (!near(r), self.rank(session, r), *id))
            .collect();
        order.sort_unstable();
        let beyond = order
            .iter()
            .position(|place| place.0)
            .filter(|at| *at > ASKED);
        beyond.into_iter().for_each(|at| order.swap(ASKED, at));
        let most = ASKED + usize::from(order.get(ASKED).is_some_and(|place| place.0));
        order.into_iter().take(most).map(|place| place.2).collect()
    }

    fn homes(&self, arrival: &IncomingRequest) -> Vec<ReplicaId> {
        // One whose streams broke would never get its trial while others have room, but as a home.
        let trial = |r: &Replica| r.failures < EJECT_AFTER && r.silent_since.is_none();
        let due = |r: &Replica| trial(r) && self.now >= r.paused_until;
        self.order(arrival, |_, r| r.up && (!Self::ejected(r) || due(r)))
    }

    /// The place of a replica in a session's order, lowest first: larger ones come first more often.
    fn rank(&self, session: u64, r: &Replica) -> u64 {
        let size = r.size.unwrap_or_else(|| 1.0 / self.learned.pace_of(r.kind));
        micros(-r.chance(session).max(f64::MIN_POSITIVE).ln() / size)
    }

    /// Draws among the replicas with room, by what a send would come to. Among many routers only those of the
    /// session's order count: they have just been asked.
    fn draw(&mut self, id: RequestId) -> Option<Attempt> {
        let request = &self.requests[&id];
        let pooled = self.pool_free(request.tier);
        // Classes of less than the highest worth leave a part of the fleet's budget of crossings to that.
        let worth = self.settings.classes[request.arrival.class].priority_weight;
        let reserve = if worth < self.backlog.tiers[0].worth {
            CROSSINGS_KEPT
        } else {
            0.0
        };
        let cross = self
            .spending
            .has_unit(self.now, BudgetKind::CrossZone, reserve);
        // Departure: what a session has at its home is read anew elsewhere: no pool binds there.
        let home = self
            .homes(&request.arrival)
            .first()
            .copied()
            .filter(|_| self.pool.rare > 1.0);
        let open = |to: &ReplicaId, r: &Replica| {
            let room = self.has_room(r, pooled || home == Some(*to));
            room && self.may_go(request, r) && (cross || r.zone == self.settings.zone)
        };
        let new = |to: &ReplicaId, r: &Replica| {
            open(to, r) && !request.attempts.iter().any(|a| a.replica == *to)
        };
        let fit = |will_do: &dyn Fn(&ReplicaId, &Replica) -> bool| match self.pool.rare > 1.0 {
            true => self.order(&request.arrival, will_do),
            false => self
                .replicas
                .iter()
                .filter(|(to, r)| will_do(to, r))
                .map(|(to, _)| *to)
                .collect(),
        };
        let mut order = fit(&new);
        if order.is_empty() {
            order = fit(&open);
        }
        let outlook = self.outlook(request);
        let guesses: Vec<_> = order
            .iter()
            .map(|to| self.guess(*to, &self.replicas[to], &outlook))
            .collect();
        // Against the least cost: else, where all are dear, all weights were nothing and the last was drawn.
        let least = guesses
            .iter()
            .map(|guess| guess.1)
            .fold(f64::INFINITY, f64::min);
        let (mut chosen, mut total) = (None, 0.0);
        for (attempt, cost, free) in guesses {
            let weight = free * ((least - cost) / EVEN).exp();
            total += weight;
            if self.rng.rand_float() * total <= weight {
                chosen = Some(attempt);
            }
        }
        if chosen.is_none() && !cross {
            // It looks again each tick: so long a wait counts as one crossing wanted.
            self.spending
                .record_demand(BudgetKind::CrossZone, TICK, worth);
        }
        chosen
    }

    /// Rule 2: what may have run goes again only where a repeat does nothing.
    fn may_go(&self, request: &Request, r: &Replica) -> bool {
        let Some(first) = request.may_have_run() else {
            return true;
        };
        match self.settings.classes[request.arrival.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed {
                scope: group,
                retention: memory,
            } => {
                let known = self
                    .replicas
                    .get(&first.replica)
                    .is_some_and(|f| r.same_group(f, group));
                known && self.now < first.sent + memory
            }
        }
    }

    fn send(&mut self, id: RequestId, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (replica, unread, estimate) = (attempt.replica, attempt.unread, attempt.estimate);
        request.attempts.push(attempt);
        out.push(Action::StartAttempt {
            request: id,
            replica,
            timeout: request.deadline - self.now,
        });
        self.learned.released.add(self.now, request.cost);
        self.learned.sent.add(self.now, 1.0);
        self.count_send(id, replica);
        let Some(r) = self.replicas.get_mut(&replica) else {
            return;
        };
        r.sent(unread, self.now, OVERDUE * estimate);
        if Self::ejected(r) {
            // Half-open: one trial, then the next pause runs, longer the more streams have broken in a row.
            let longer = r.broken.saturating_sub(EJECT_AFTER).min(MOST_DOUBLINGS);
            r.paused_until = self.now + PAUSE * f64::from(1 << longer);
        }
    }

    fn first_token(
        &mut self,
        id: RequestId,
        attempt: usize,
        elapsed: Seconds,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = request
            .attempts
            .get_mut(attempt)
            .filter(|a| a.phase == Phase::Waiting)
        else {
            return;
        };
        a.phase = Phase::Streaming;
        let (unread, replica, estimate) = (a.unread, a.replica, a.estimate);
        let late = request.aim * LATE_PART;
        let held = a.sent - request.arrived;
        self.hold(id, false);
        self.call_off(id, out);
        let Some(r) = self.replicas.get_mut(&replica) else {
            return;
        };
        r.began(unread, estimate, elapsed);
        self.learned.first += LEARN * (elapsed - self.learned.first);
        self.learned
            .pace(r.kind, elapsed.max(0.001) / (unread + BASE_TOKENS));
        // Departure: where replicas are replaced all day nothing is kept and first tokens are late. The pool
        // shrank until requests waited longer here than there, with room everywhere.
        if elapsed > late && elapsed > held {
            self.pool.cut(POOL_CUT.powf(self.pool.rare));
        } else if elapsed <= late / 2.0 && self.pool_in_flight() as f64 * 2.0 >= self.pool.size {
            self.pool.grow(POOL_GROWTH.powf(self.pool.rare));
        }
        self.alive(replica, true);
    }

    fn alive(&mut self, replica: ReplicaId, works: bool) {
        let Some(r) = self.replicas.get_mut(&replica) else {
            return;
        };
        // A probe shows that the process runs; whether requests fail there only requests can show.
        (r.life, r.failures) = (self.now, if works { 0 } else { r.failures });
        if let Some(since) = r.silent_since.take() {
            // Rule 4, in spirit: a replica back from silence may have restarted, whatever the list says; one
            // that was only slow has not, and is no less warm for it.
            let cold = if self.now - since > LONG_SILENCE {
                Some(self.now)
            } else {
                r.cold_since
            };
            r.restart(cold, -self.rng.rand_float());
        }
    }

    fn ended(&mut self, event: Event, out: &mut Vec<Action>) {
        let Event::AttemptEnded {
            request: id,
            attempt,
            outcome,
            is_request_finished: last,
            report,
        } = event
        else {
            return;
        };
        let found = self.requests.get(&id).and_then(|r| r.attempts.get(attempt));
        let (sent, streaming) = (
            found.map(|a| a.sent),
            found.is_some_and(|a| a.phase == Phase::Streaming),
        );
        if let Some(sent) = sent.filter(|_| outcome == AttemptOutcome::Completed) {
            // An answer that does not stream is its own first token: its window would never grow else.
            self.first_token(id, attempt, self.now - sent, out);
        }
        use AttemptOutcome::*;
        let may_have_run = !matches!(
            outcome,
            AtCapacity | ConnectFailed | NotSent | InvalidRequest
        );
        let ended = self
            .requests
            .get_mut(&id)
            .and_then(|r| r.end_attempt(attempt, may_have_run));
        let Some((replica, sent, unread)) = ended else {
            return;
        };
        self.count_end((id, attempt), replica, unread, report, outcome == Completed);
        match outcome {
            AttemptOutcome::Completed => {
                if let Some(r) = self.replicas.get_mut(&replica).filter(|r| r.broken > 0) {
                    r.paused_until = if Self::ejected(r) {
                        self.now
                    } else {
                        r.paused_until
                    };
                    r.broken = 0;
                }
                let kind = self.replicas.get(&replica).map_or(0, |r| r.kind);
                self.learned.hold(kind, self.now - sent, LEARN / 2.0);
                self.alive(replica, true);
            }
            AttemptOutcome::AtCapacity => {
                // What was turned away is no measure of what a warm replica bears: rule 4 rests on that.
                self.learned.sent.add(self.now, -1.0);
                self.pool.cut(POOL_CUT.powf(self.pool.rare));
                if let Some(r) = self.replicas.get_mut(&replica) {
                    (r.paused_until, r.life) = (r.paused_until.max(self.now + PAUSE), self.now);
                }
            }
            AttemptOutcome::TimedOut
            | AttemptOutcome::ServerError
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::ConnectFailed => {
                if streaming || outcome == TimedOut {
                    // A broken stream is a sign of load, as a time-out is.
                    self.pool.cut(POOL_CUT.powf(self.pool.rare));
                }
                if streaming {
                    let r = self
                        .replicas
                        .get_mut(&replica)
                        .filter(|r| sent > r.broke_at);
                    r.into_iter()
                        .for_each(|r| r.stream_broke(self.now, EJECT_AFTER, PAUSE));
                }
                let failed = self
                    .replicas
                    .get_mut(&replica)
                    .filter(|_| outcome != TimedOut);
                failed
                    .into_iter()
                    .for_each(|r| r.failed(self.now, EJECT_AFTER, PAUSE));
            }
            AttemptOutcome::InvalidRequest => self.alive(replica, false),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        if last {
            self.close(id, out);
        } else if outcome == InvalidRequest && self.requests.get(&id).is_some_and(|r| !r.ended) {
            out.push(Action::Fail { request: id });
            self.close(id, out);
        } else if self
            .requests
            .get(&id)
            .is_some_and(|r| !r.ended && !r.queued && r.out().next().is_none())
        {
            match self.may_repeat(&self.requests[&id]) && self.spend(BudgetKind::Retries, id) {
                true => self.hold(id, true),
                false => self.answer(id, out),
            }
        }
        self.forget(id);
    }

    /// Whether another attempt is in time, allowed, and by rule 2 without a second effect.
    fn may_repeat(&self, request: &Request) -> bool {
        let effect = self.settings.classes[request.arrival.class].idempotency;
        let harmless = effect != Idempotency::NonIdempotent || request.may_have_run().is_none();
        let in_time = self.now + EXPIRY_MARGIN < request.useful_until;
        harmless && in_time && request.attempts.len() < self.settings.limits.max_attempts
    }

    /// The final answer of this router: a refusal where a retry does no harm, else a failure.
    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.ended) else {
            return;
        };
        let harmless = match self.settings.classes[request.arrival.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::AllReplicas,
                ..
            } => true,
            _ => request.may_have_run().is_none(),
        };
        let wait = self
            .backlog_wait(request)
            .min(self.settings.limits.max_retry_after);
        let refusal = Action::Reject {
            request: id,
            retry_after: wait,
        };
        out.push(if harmless {
            refusal
        } else {
            Action::Fail { request: id }
        });
        self.close(id, out);
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK });
        if self.settings.endpoint_list_mode == EndpointListMode::Polled
            && self.ask_at.is_some_and(|at| self.now >= at)
        {
            self.ask_at = None;
            out.push(Action::WatchEndpoints);
        }
        self.unpark();
        while let Some(id) = self
            .backlog
            .expired(self.now + EXPIRY_MARGIN.max(self.learned.first))
        {
            // What cannot have its first token in time only takes room. A copy still out may yet have it.
            self.hold(id, false);
            if self.requests[&id].out().next().is_none() {
                self.answer(id, out);
            }
        }
        let up = self.replicas.values().filter(|r| r.up);
        self.most_ejected = 2 * up.clone().filter(|r| Self::ejected(r)).count() > up.count();
        self.resize();
        // Rule 4: a cold replica gets what a warm one bears, by how warm it must be, and no burst. Among many
        // routers the traffic of one tells little: what all tenants may send says it for the whole fleet.
        let allowed = self
            .settings
            .tenants
            .iter()
            .map(|t| t.rate_limit)
            .sum::<f64>();
        let rate = match allowed > 0.0 && allowed < UNLIMITED_RATE {
            true => allowed / (self.pool.most_up.max(1) * self.settings.router_count) as f64,
            false => self.learned.sent.get(self.now) / self.pool.warm.max(1) as f64,
        };
        let rate = self
            .spending
            .rate(self.now, BudgetKind::SlowStart)
            .unwrap_or(rate);
        // What an idle router may send a cold replica lapses: with a burst all of them would send it at once.
        let idle = self.learned.sent.get(self.now) < IDLE_RATE;
        for (id, r) in &mut self.replicas {
            let credit = r.warmth(&self.settings.lifecycle, self.now) * rate * TICK;
            r.cold_credit = (r.cold_credit + credit).min(credit)
                - if idle && r.cold_credit > 0.0 {
                    1.0
                } else {
                    0.0
                };
            if r.silent_since.is_some()
                && self.settings.limits.allows_probes
                && r.up
                && self.now >= r.next_probe
            {
                r.next_probe = self.now + PROBE_EVERY;
                let may = self
                    .spending
                    .request_unit(self.now, BudgetKind::Probes, 0.0);
                out.extend(may.then_some(Action::Probe { replica: *id }));
            }
        }
        let unserved = self
            .requests
            .iter()
            .filter(|(_, r)| !r.ended && !r.streaming());
        for id in unserved.map(|r| *r.0).collect::<Vec<_>>() {
            self.look_over(id, out);
        }
    }

    /// A request without a first token: it may be overdue, or held by a replica gone silent.
    fn look_over(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|r| !r.ended && !r.streaming())
        else {
            return;
        };
        if self.now >= request.deadline {
            return self.answer(id, out);
        }
        let mut stuck = request.out().next().is_some();
        // Departure: a copy goes out once the only attempt is overdue, while it can still be in time.
        let overdue = |a: &Attempt| self.now - a.sent > OVERDUE * a.estimate + TICK;
        let one = request.out().count() == 1 && self.settings.limits.allows_hedging;
        let copy = one && request.out().all(overdue) && !self.parked.contains(&id);
        let copy = copy && self.now + self.learned.first < request.useful_until;
        for a in request.out() {
            let Some(r) = self.replicas.get_mut(&a.replica) else {
                continue;
            };
            if r.life < a.sent && self.now - a.sent > request.aim && r.silent_since.is_none() {
                // A silent replica keeps what it holds until the time-out: nothing may follow it there.
                (r.silent_since, r.next_probe) = (Some(self.now), self.now);
                // Where probes may, they find it alive again; else a trial request must.
                r.paused_until = if self.settings.limits.allows_probes {
                    f64::INFINITY
                } else {
                    self.now + PAUSE
                };
            }
            stuck &= r.silent_since.is_some();
        }
        let may =
            (stuck || copy) && !self.most_ejected && !request.queued && self.may_repeat(request);
        let part = COPIES * self.learned.sent.get(self.now);
        if may && (stuck || self.copies.take(self.now, part, 1.0 + part)) && self.spend_copy(id) {
            match self.settings.limits.allows_hedging {
                true => self.hold(id, true),
                false => self.call_off(id, out),
            }
        }
    }
}
