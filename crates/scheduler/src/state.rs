//! What the module keeps in mind: plain records without a decision. `brain.rs` fills and reads them.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod learned;
mod rates;

pub(crate) use learned::*;
pub use rates::BudgetLedger;
pub(crate) use rates::{Allowance, Rate};

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Streaming,
    Done { may_have_run: bool },
}

/// What a request was sent to a replica for, beside its room.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Kept {
    /// At most the opening that its prompt shares with others.
    Opening,
    /// It is the home of its session, whose earlier turns this router has not seen.
    Home,
    /// This router sent the turns before there.
    Turns,
}

pub(crate) struct Attempt {
    pub(crate) replica: ReplicaId,
    pub(crate) sent: Seconds,
    /// Its own prompt tokens still to be read there.
    pub(crate) unread: f64,
    pub(crate) kept: Kept,
    /// Estimated time to the first token, seconds.
    pub(crate) estimate: Seconds,
    pub(crate) phase: Phase,
    pub(crate) cancelled: bool,
}

pub(crate) struct Request {
    pub(crate) arrival: IncomingRequest,
    pub(crate) tier: usize,
    pub(crate) cost: f64,
    pub(crate) aim: Seconds,
    pub(crate) arrived: Seconds,
    pub(crate) deadline: Seconds,
    /// Past this time an answer earns nothing.
    pub(crate) useful_until: Seconds,
    pub(crate) key: (u64, u64),
    pub(crate) queued: bool,
    pub(crate) ended: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    pub(crate) fn new(
        arrival: IncomingRequest,
        key: (u64, u64),
        tier: usize,
        cost: f64,
        aim: Seconds,
        deadline: Seconds,
        useful_until: Seconds,
    ) -> Self {
        let (attempts, arrived) = (Vec::new(), deadline - arrival.time_left);
        Request {
            arrival,
            tier,
            cost,
            aim,
            arrived,
            deadline,
            useful_until,
            key,
            queued: false,
            ended: false,
            attempts,
        }
    }

    pub(crate) fn out(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| matches!(a.phase, Phase::Waiting | Phase::Streaming))
    }
    /// Ends an attempt, once: where it was, when it was sent, and what it had still to read.
    pub(crate) fn end_attempt(
        &mut self,
        attempt: usize,
        ran: bool,
    ) -> Option<(ReplicaId, Seconds, f64)> {
        let a = self
            .attempts
            .get_mut(attempt)
            .filter(|a| !matches!(a.phase, Phase::Done { .. }))?;
        let unread = if a.phase == Phase::Waiting {
            a.unread
        } else {
            0.0
        };
        a.phase = Phase::Done { may_have_run: ran };
        Some((a.replica, a.sent, unread))
    }
    /// Marks as cancelled, once, the attempts without a first token, and numbers them.
    pub(crate) fn call_off(&mut self) -> Vec<usize> {
        let waiting = self.attempts.iter_mut().enumerate();
        let waiting = waiting.filter(|(_, a)| a.phase == Phase::Waiting && !a.cancelled);
        waiting.map(|(n, a)| (a.cancelled = true, n).1).collect()
    }
    pub(crate) fn streaming(&self) -> bool {
        self.attempts.iter().any(|a| a.phase == Phase::Streaming)
    }
    /// The first attempt that may have run, or is still out.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| {
            a.phase
                != Phase::Done {
                    may_have_run: false,
                }
        })
    }
}

#[derive(Default)]
pub(crate) struct Queue {
    pub(crate) held: BTreeMap<(u64, u64), RequestId>,
    pub(crate) cost: f64,
    pub(crate) deficit: f64,
    pub(crate) granted: bool,
}

pub(crate) struct Tier {
    pub(crate) worth: f64,
    /// Worth less than any request within its tenant's share.
    pub(crate) spare: bool,
    pub(crate) queues: Vec<Queue>,
    /// Tenants with held requests, in round-robin order.
    pub(crate) turn: VecDeque<usize>,
}

pub(crate) struct Replica {
    pub(crate) zone: usize,
    pub(crate) cell: usize,
    pub(crate) up: bool,
    /// It has left the list.
    pub(crate) gone: bool,
    pub(crate) cold_since: Option<Seconds>,
    /// What may still be sent while cold, in requests.
    pub(crate) cold_credit: f64,
    pub(crate) in_flight: usize,
    pub(crate) reported: f64,
    pub(crate) reported_at: Seconds,
    /// Own prompt tokens sent and not yet read.
    pub(crate) own_unread: f64,
    pub(crate) memory_held: f64,
    /// Requests reported waiting for a place in its batch.
    pub(crate) queued: f64,
    /// Requests it reported holding, and how many of its own were out then.
    pub(crate) holding: Option<(f64, usize)>,
    /// Requests its batch holds, learned from a report with some queued; unknown at first.
    pub(crate) batch: Option<f64>,
    pub(crate) life: Seconds,
    /// When the first of its sends since then went out, and by when it was to begin its answer at the latest.
    pub(crate) oldest: (Seconds, Seconds),
    /// Logarithm of how far its last first tokens ran over their estimate.
    pub(crate) tail: Mean,
    pub(crate) failures: u32,
    /// Streams in a row that stalled or broke after their first token, and when the last of these did.
    pub(crate) broken: u32,
    pub(crate) broke_at: Seconds,
    pub(crate) silent_since: Option<Seconds>,
    pub(crate) paused_until: Seconds,
    pub(crate) next_probe: Seconds,
    /// A probe is out.
    pub(crate) asked: bool,
    /// Its address in spread bits, for the homes of sessions.
    pub(crate) hash: u64,
    pub(crate) size: Option<f64>,
    pub(crate) kind: usize,
}

impl Tier {
    pub(crate) fn new(worth: f64, spare: bool, tenants: usize) -> Self {
        Tier {
            worth,
            spare,
            queues: (0..tenants).map(|_| Queue::default()).collect(),
            turn: VecDeque::new(),
        }
    }

    pub(crate) fn put(&mut self, tenant: usize, key: (u64, u64), id: RequestId, cost: f64) {
        let queue = &mut self.queues[tenant];
        if queue.held.is_empty() {
            self.turn.push_back(tenant);
        }
        queue.held.insert(key, id);
        queue.cost += cost;
    }

    pub(crate) fn cost(&self) -> f64 {
        self.queues.iter().map(|q| q.cost).sum()
    }

    /// Takes a request out; an emptied queue starts anew, its deficit too.
    pub(crate) fn take(&mut self, tenant: usize, key: (u64, u64), cost: f64) {
        let queue = &mut self.queues[tenant];
        queue.held.remove(&key);
        queue.cost -= cost;
        if queue.held.is_empty() {
            *queue = Queue::default();
            self.turn.retain(|t| *t != tenant);
        }
    }
}

/// All held requests: by tier, highest worth first, and by the time they must be answered.
pub(crate) struct Backlog {
    pub(crate) tiers: Vec<Tier>,
    expiry: BTreeSet<(u64, RequestId)>,
}

impl Backlog {
    /// A tier for each worth there is, within a share and beyond it.
    pub(crate) fn new(settings: &SchedulerSettings) -> Self {
        let (classes, tenants) = (&settings.classes, settings.tenants.len().max(1));
        let over = if settings.tenants.is_empty() {
            1.0
        } else {
            settings.over_quota_weight
        };
        let mut worths: Vec<f64> = classes
            .iter()
            .flat_map(|c| [c.priority_weight, c.priority_weight * over])
            .collect();
        worths.sort_by(|a, b| b.total_cmp(a));
        worths.dedup();
        let least = classes
            .iter()
            .map(|c| c.priority_weight)
            .fold(f64::INFINITY, f64::min);
        let tiers = worths
            .into_iter()
            .map(|worth| Tier::new(worth, worth < least, tenants))
            .collect();
        Backlog {
            tiers,
            expiry: BTreeSet::new(),
        }
    }

    /// Held requests by tenant.
    pub(crate) fn waiting(&self) -> Vec<usize> {
        let mut all = vec![0; self.tiers.first().map_or(0, |t| t.queues.len())];
        for tier in &self.tiers {
            all.iter_mut()
                .zip(&tier.queues)
                .for_each(|(sum, queue)| *sum += queue.held.len());
        }
        all
    }

    /// The highest tier of no more than this worth.
    pub(crate) fn tier_of(&self, worth: f64) -> usize {
        self.tiers
            .iter()
            .position(|t| t.worth <= worth)
            .unwrap_or(self.tiers.len() - 1)
    }

    /// Puts a request among the held ones or takes it out; does nothing where it is so already.
    pub(crate) fn hold(&mut self, id: RequestId, request: &mut Request, held: bool) {
        if request.queued == held || (held && request.ended) {
            return;
        }
        request.queued = held;
        let (tier, expiry) = (
            &mut self.tiers[request.tier],
            (micros(request.useful_until), id),
        );
        if held {
            self.expiry.insert(expiry);
            tier.put(request.arrival.tenant, request.key, id, request.cost);
        } else {
            self.expiry.remove(&expiry);
            tier.take(request.arrival.tenant, request.key, request.cost);
        }
    }

    /// The held request that must be answered first, if that is before `time`.
    pub(crate) fn expired(&self, time: Seconds) -> Option<RequestId> {
        self.expiry
            .first()
            .filter(|e| e.0 <= micros(time))
            .map(|e| e.1)
    }
}

impl Attempt {
    pub(crate) fn new(
        replica: ReplicaId,
        sent: Seconds,
        unread: f64,
        kept: Kept,
        estimate: Seconds,
    ) -> Self {
        Attempt {
            replica,
            sent,
            unread,
            kept,
            estimate,
            phase: Phase::Waiting,
            cancelled: false,
        }
    }
}

impl Replica {
    /// A replica that nothing is known of; the list fills in the rest.
    pub(crate) fn new(id: ReplicaId) -> Self {
        Replica {
            hash: address_hash(id),
            size: None,
            kind: 0,
            zone: 0,
            cell: 0,
            up: false,
            gone: false,
            cold_since: None,
            cold_credit: 0.0,
            in_flight: 0,
            reported: 0.0,
            reported_at: f64::NEG_INFINITY,
            own_unread: 0.0,
            memory_held: 0.0,
            queued: 0.0,
            holding: None,
            batch: None,
            life: 0.0,
            oldest: (f64::NEG_INFINITY, 0.0),
            tail: Mean::default(),
            failures: 0,
            broken: 0,
            broke_at: f64::NEG_INFINITY,
            silent_since: None,
            paused_until: 0.0,
            next_probe: 0.0,
            asked: false,
        }
    }
}

impl Replica {
    /// Takes over what the list says.
    pub(crate) fn listed(&mut self, entry: &Endpoint) {
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.kind = entry.host_type;
        self.size = entry.capacity_weight;
        self.up = entry.state == EndpointState::Available;
        self.gone = entry.state == EndpointState::Removed;
    }

    /// A new process forgets what the one before it could bear.
    pub(crate) fn restart(&mut self, cold_since: Option<Seconds>, credit: f64) {
        (self.cold_since, self.cold_credit) = (cold_since, credit);
        (self.failures, self.broken, self.silent_since) = (0, 0, None);
        self.paused_until = 0.0;
    }

    /// A request went out to it that is overdue after so long.
    pub(crate) fn sent(&mut self, unread: f64, now: Seconds, overdue: Seconds) {
        if self.oldest.0 <= self.life {
            self.oldest = (now, now + overdue);
        }
        self.in_flight += 1;
        self.own_unread += unread;
        self.cold_credit -= 1.0;
    }

    /// A prompt is read; the time to its first token is held against its estimate.
    pub(crate) fn began(&mut self, unread: f64, estimate: Seconds, elapsed: Seconds) {
        self.own_unread = (self.own_unread - unread).max(0.0);
        if estimate > 0.0 {
            self.tail.add(
                (elapsed.max(0.005) / estimate).ln().clamp(-2.0, 3.0),
                TAIL_SAMPLES,
            );
        }
    }

    /// Counts a stream in a row that stalled or broke; those of one crash break together and count once. First tokens
    /// say nothing of how streams end: after so many the replica is ejected until one is whole.
    pub(crate) fn stream_broke(&mut self, now: Seconds, eject_after: u32, pause: Seconds) {
        (self.broken, self.broke_at) = (self.broken + 1, now);
        if self.broken == eject_after {
            self.paused_until = now + pause;
        }
    }

    /// Counts a failure in a row. A replica that fails at once frees room at once, and would draw every held
    /// request: after so many it is paused.
    pub(crate) fn failed(&mut self, now: Seconds, most: u32, pause: Seconds) {
        self.failures += 1;
        // It answers, if badly.
        self.oldest = (f64::NEG_INFINITY, 0.0);
        if self.failures == most {
            self.paused_until = now + pause;
        }
    }

    /// The part of its capacity that the rules promise of it.
    pub(crate) fn warmth(&self, rules: &LifecycleRules, now: Seconds) -> f64 {
        let Some(since) = self.cold_since.filter(|_| rules.slow_start_duration > 0.0) else {
            return 1.0;
        };
        (rules.slow_start_initial_fraction
            + (1.0 - rules.slow_start_initial_fraction) * (now - since) / rules.slow_start_duration)
            .min(1.0)
    }

    /// An even chance from 0 to 1 that is the same for a session and this replica at every router.
    pub(crate) fn chance(&self, session: u64) -> f64 {
        (mix(session ^ self.hash) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn same_group(&self, other: &Replica, group: DeduplicationScope) -> bool {
        match group {
            DeduplicationScope::AllReplicas => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }

    pub(crate) fn take_report(&mut self, report: LoadReport, now: Seconds) {
        if let Some(tokens) = report
            .queued_prompt_tokens
            .filter(|t| (0.0..MOST_TOKENS).contains(t))
        {
            (self.reported, self.reported_at) = (tokens, now);
        }
        if let Some(held) = report
            .memory_utilization
            .filter(|m| (0.0..f64::INFINITY).contains(m))
        {
            self.memory_held = held;
        }
        if let Some(queued) = report
            .requests_queued
            .filter(|q| (0.0..MOST_TOKENS).contains(q))
        {
            self.queued = queued;
        }
        if let Some(holding) = report
            .requests_held
            .filter(|h| (0.0..MOST_TOKENS).contains(h))
        {
            self.holding = Some((holding, self.in_flight));
            if self.queued >= 0.5 {
                self.batch = Some((holding - self.queued).round().max(1.0));
            }
        }
    }
}

/// A time as a sortable whole number of microseconds.
pub(crate) fn micros(time: Seconds) -> u64 {
    (time * 1e6) as u64
}

/// What a router may have in flight at all warm replicas together.
pub(crate) struct Pool {
    pub(crate) size: f64,
    /// It grows by whole requests until its first cut.
    pub(crate) fresh: bool,
    /// Warm replicas that it is for.
    pub(crate) warm: usize,
    /// The most replicas that were up at once.
    pub(crate) most_up: usize,
    /// How much one answer counts: the more routers share the replicas, the fewer come to each of them.
    pub(crate) rare: f64,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Pool {
            size: 1.0,
            fresh: true,
            warm: 0,
            most_up: 0,
            rare: 1.0,
        }
    }
    /// Keeps its part for each warm replica, at first so many requests. Without any it stays as it is.
    pub(crate) fn resize(&mut self, warm: usize, first: f64) {
        if warm > 0 && warm != self.warm {
            self.size = if self.warm == 0 {
                first
            } else {
                self.size / self.warm as f64
            } * warm as f64;
            self.warm = warm;
        }
    }
    pub(crate) fn grow(&mut self, factor: f64) {
        self.size = if self.fresh {
            self.size + 1.0
        } else {
            self.size * factor
        };
    }
    /// One request may always be out.
    pub(crate) fn cut(&mut self, factor: f64) {
        self.size = (self.size * factor).max(1.0);
        self.fresh = false;
    }
}

fn address_hash(id: ReplicaId) -> u64 {
    let bits = match id.0.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => mix(u128::from(ip) as u64) ^ (u128::from(ip) >> 64) as u64,
    };
    mix(bits ^ (u64::from(id.0.port()) << 48))
}

/// Spreads the bits of a key, so that keys that differ little fall apart.
fn mix(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
