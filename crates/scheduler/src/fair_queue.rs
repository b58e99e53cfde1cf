//! The queue of requests that wait for capacity: strict priority tiers, deficit round robin over tenants within a tier, and
//! earliest deadline first within a tenant.
//!
//! Deficit round robin visits the tenants in turn, adds a quantum to the tenant's deficit and dispatches the tenant's
//! requests while the deficit covers their cost. Tenants thus get equal shares of the capacity in tokens, whatever their
//! requests cost.

use crate::time::to_micros;
use crate::types::{RequestId, SchedulerSettings, Seconds};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The order of requests within one tenant's queue: by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) deadline_micros: u64,
    pub(crate) sequence: u64,
}

/// An entry of the queue. The same entry must be passed to remove the request.
#[derive(Clone, Copy)]
pub(crate) struct QueueEntry {
    pub(crate) request: RequestId,
    pub(crate) tenant: usize,
    pub(crate) tier: usize,
    pub(crate) key: QueueKey,
    /// In tokens.
    pub(crate) cost: f64,
    /// An answer after this time has no value.
    pub(crate) useful_until: Seconds,
}

impl QueueEntry {
    fn expiry_key(&self) -> (u64, RequestId) {
        (to_micros(self.useful_until), self.request)
    }
}

/// A request whose cost has been charged to its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChargedRequest {
    pub(crate) request: RequestId,
    /// Number of tenants' turns that were examined to find the request.
    pub(crate) turns: u64,
}

#[derive(Clone, Copy)]
struct QueuedRequest {
    request: RequestId,
    cost: f64,
}

/// The queued requests of one tenant in one tier.
#[derive(Default)]
struct TenantQueue {
    requests: BTreeMap<QueueKey, QueuedRequest>,
    /// The total cost of the requests.
    cost: f64,
    /// The cost that the tenant may still dispatch.
    deficit: f64,
    /// Whether the tenant has received its quantum in this turn.
    has_quantum: bool,
}

impl TenantQueue {
    /// Number of rounds that must pass until a turn of this tenant in which the deficit covers the next request.
    fn full_rounds_until_affordable(&self, quantum: Quantum) -> f64 {
        let next_cost = self.requests.values().next().map_or(0.0, |next| next.cost);
        let missing_quanta = ((next_cost - self.deficit) / quantum.0).ceil();
        // The current turn adds one quantum, unless the tenant has received it already.
        let quanta_in_current_turn = if self.has_quantum { 0.0 } else { 1.0 };
        (missing_quanta - quanta_in_current_turn).max(0.0)
    }

    /// Adds the quanta of this many turns to the deficit, and ends the last of these turns.
    fn take_turns(&mut self, turns: f64, quantum: Quantum) {
        if turns == 0.0 {
            return;
        }
        let received = if self.has_quantum { 1.0 } else { 0.0 };
        self.deficit += (turns - received) * quantum.0;
        self.has_quantum = false;
    }
}

/// All queued requests of one priority weight.
struct Tier {
    priority_weight: f64,
    /// The priority weight is below that of every class, so the tier holds only requests beyond their tenants' quotas.
    is_best_effort: bool,
    queues: Vec<TenantQueue>,
    /// Tenants with queued requests, in round-robin order.
    turns: VecDeque<usize>,
}

impl Tier {
    fn new(priority_weight: f64, is_best_effort: bool, tenants: usize) -> Self {
        Tier {
            priority_weight,
            is_best_effort,
            queues: (0..tenants).map(|_| TenantQueue::default()).collect(),
            turns: VecDeque::new(),
        }
    }

    fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    fn cost(&self) -> f64 {
        self.queues.iter().map(|queue| queue.cost).sum()
    }

    fn insert(&mut self, entry: &QueueEntry) {
        let queue = &mut self.queues[entry.tenant];
        if queue.requests.is_empty() {
            self.turns.push_back(entry.tenant);
        }
        let queued = QueuedRequest {
            request: entry.request,
            cost: entry.cost,
        };
        queue.requests.insert(entry.key, queued);
        queue.cost += entry.cost;
    }

    /// Removes a request; a tenant's queue that becomes empty loses its deficit.
    fn remove(&mut self, entry: &QueueEntry) {
        let queue = &mut self.queues[entry.tenant];
        queue.requests.remove(&entry.key);
        queue.cost -= entry.cost;
        if queue.requests.is_empty() {
            *queue = TenantQueue::default();
            self.turns.retain(|tenant| *tenant != entry.tenant);
        }
    }

    /// The next request in round-robin order; its cost is taken from its tenant's deficit. The rounds that pass until a
    /// tenant's deficit covers its next request are calculated and not played one by one, because a client states the cost of
    /// its request and so determines their number.
    fn charge_next(&mut self, quantum: Quantum) -> Option<ChargedRequest> {
        let next = self.next_turn(quantum)?;
        for (position, tenant) in self.turns.iter().enumerate() {
            let has_turn_in_last_round = position <= next.position;
            let turns = next.full_rounds + f64::from(u8::from(has_turn_in_last_round));
            self.queues[*tenant].take_turns(turns, quantum);
        }
        let examined = self.turns.len() as u64;
        self.turns.rotate_left(next.position);
        let queue = &mut self.queues[*self.turns.front()?];
        let request = *queue.requests.values().next()?;
        queue.has_quantum = true;
        // Rounding may leave the deficit slightly below the cost.
        queue.deficit = (queue.deficit - request.cost).max(0.0);
        Some(ChargedRequest {
            request: request.request,
            turns: examined,
        })
    }

    /// The first turn in which a tenant's deficit covers its next request; `None` if the tier is empty.
    fn next_turn(&self, quantum: Quantum) -> Option<NextTurn> {
        let turns = self.turns.iter().enumerate();
        let candidates = turns.map(|(position, tenant)| NextTurn {
            full_rounds: self.queues[*tenant].full_rounds_until_affordable(quantum),
            position,
        });
        candidates.min_by(|x, y| x.full_rounds.total_cmp(&y.full_rounds))
    }
}

/// The turn in which the next request is dispatched.
struct NextTurn {
    /// Number of rounds, in which all tenants have a turn, before the round of this turn.
    full_rounds: f64,
    /// The tenant's position in round-robin order.
    position: usize,
}

/// The cost, in tokens, that a tenant may dispatch in each of its turns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quantum(f64);

impl Quantum {
    /// The lower bound of a quantum, in tokens.
    const MIN_TOKENS: f64 = 1.0;

    /// A quantum of this many tokens, or of one if that is more.
    pub(crate) fn new(tokens: f64) -> Quantum {
        // `max` ignores NaN.
        Quantum(tokens.max(Self::MIN_TOKENS))
    }
}

pub(crate) struct FairQueue {
    /// In descending order of priority weight.
    tiers: Vec<Tier>,
    /// All queued requests, ordered by `useful_until`.
    expiries: BTreeSet<(u64, RequestId)>,
}

impl FairQueue {
    /// Creates one tier for each distinct priority weight of requests within and beyond a quota.
    pub(crate) fn new(settings: &SchedulerSettings) -> Self {
        let over_quota = if settings.tenants.is_empty() {
            1.0
        } else {
            settings.over_quota_weight
        };
        let class_weights = settings.classes.iter().map(|class| class.priority_weight);
        let mut weights: Vec<f64> = class_weights
            .clone()
            .flat_map(|weight| [weight, weight * over_quota])
            .collect();
        weights.sort_by(|x, y| y.total_cmp(x));
        weights.dedup();
        let lowest_class_weight = class_weights.fold(f64::INFINITY, f64::min);
        let tenants = settings.tenants.len().max(1);
        let new_tier = |weight| Tier::new(weight, weight < lowest_class_weight, tenants);
        FairQueue {
            tiers: weights.into_iter().map(new_tier).collect(),
            expiries: BTreeSet::new(),
        }
    }

    /// The highest tier whose priority weight is at most `priority_weight`; the lowest tier if there is none.
    pub(crate) fn tier_for(&self, priority_weight: f64) -> usize {
        let position = self
            .tiers
            .iter()
            .position(|tier| tier.priority_weight <= priority_weight);
        position.unwrap_or(self.tiers.len() - 1)
    }

    pub(crate) fn priority_weight(&self, tier: usize) -> f64 {
        self.tiers[tier].priority_weight
    }

    pub(crate) fn highest_priority_weight(&self) -> f64 {
        self.tiers[0].priority_weight
    }

    pub(crate) fn is_best_effort(&self, tier: usize) -> bool {
        self.tiers[tier].is_best_effort
    }

    pub(crate) fn enqueue(&mut self, entry: &QueueEntry) {
        self.expiries.insert(entry.expiry_key());
        self.tiers[entry.tier].insert(entry);
    }

    pub(crate) fn remove(&mut self, entry: &QueueEntry) {
        self.expiries.remove(&entry.expiry_key());
        self.tiers[entry.tier].remove(entry);
    }

    /// The highest tier with queued requests.
    pub(crate) fn first_backlogged_tier(&self) -> Option<usize> {
        self.tiers.iter().position(|tier| !tier.is_empty())
    }

    /// The next request of the highest tier with queued requests. Its cost is charged to its tenant; the caller removes it
    /// from the queue.
    pub(crate) fn charge_next(&mut self, quantum: Quantum) -> Option<ChargedRequest> {
        let tier = self.tiers.iter_mut().find(|tier| !tier.is_empty())?;
        tier.charge_next(quantum)
    }

    /// The cost, in tokens, of the queued requests that would be dispatched before `entry` if it were queued now.
    pub(crate) fn cost_ahead_of(&self, entry: &QueueEntry) -> f64 {
        let higher: f64 = self.tiers[..entry.tier].iter().map(Tier::cost).sum();
        let queues = &self.tiers[entry.tier].queues;
        let own = queues[entry.tenant].cost;
        let turn_end = own + entry.cost;
        let others = queues
            .iter()
            .map(|queue| queue.cost.min(turn_end))
            .sum::<f64>()
            - own;
        higher + own + others
    }

    /// The queued request that expires first, if that is no later than `time`.
    pub(crate) fn first_expiring_by(&self, time: Seconds) -> Option<RequestId> {
        let (expiry, request) = *self.expiries.first()?;
        (expiry <= to_micros(time)).then_some(request)
    }

    /// Numbers of queued requests by tenant.
    pub(crate) fn queued_by_tenant(&self) -> Vec<usize> {
        let tenants = self.tiers.first().map_or(0, |tier| tier.queues.len());
        let mut counts = vec![0; tenants];
        for tier in &self.tiers {
            for (count, queue) in counts.iter_mut().zip(&tier.queues) {
                *count += queue.requests.len();
            }
        }
        counts
    }
}

#[cfg(test)]
mod tests;
