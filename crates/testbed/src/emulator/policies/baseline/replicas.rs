//! The replicas of a node with a baseline policy, and how each policy chooses one.

use super::Policy;
use poppykeel::routing::MonotonicMicros;
use poppykeel_scheduler::{Endpoint, EndpointState, ReplicaId};
use rand::RngExt;
use std::collections::HashMap;

/// Consecutive failures after which a replica is ejected.
const EJECTION_THRESHOLD: u32 = 3;
/// How long a replica is ejected, in microseconds. After it the replica receives requests again, and its failures are
/// counted from 0.
const EJECTION_DURATION: MonotonicMicros = 10_000_000;
/// Points of each replica on the hash ring.
const RING_POINTS: u64 = 40;
/// Added to the index of a point before hashing.
const RING_POINT_OFFSET: u64 = 77;
/// The maximum number of requests in flight on a replica, as a multiple of the mean (Mirrokni et al., "Consistent
/// hashing with bounded loads", 2018).
const LOAD_BOUND: f64 = 1.25;
/// Limits how many eligible points of the hash ring one choice examines: this many for each replica in the table.
const RING_CANDIDATES_PER_REPLICA: usize = 4;
/// A table with fewer replicas than this counts as having this many when the limit of
/// [`RING_CANDIDATES_PER_REPLICA`] is computed.
const RING_CANDIDATES_MIN_REPLICAS: usize = 16;
/// Random draws before all replicas are scanned.
const QUICK_DRAWS: usize = 8;

/// The position of a replica in the table; it never changes.
pub(super) type ReplicaIndex = usize;

struct Replica {
    id: ReplicaId,
    is_available: bool,
    in_flight: u32,
    reported_tokens: f64,
    consecutive_failures: u32,
    ejected_until: MonotonicMicros,
}

impl Replica {
    fn new(id: ReplicaId, is_available: bool) -> Self {
        Replica {
            id,
            is_available,
            in_flight: 0,
            reported_tokens: 0.0,
            consecutive_failures: 0,
            ejected_until: 0,
        }
    }
}

/// The replicas that one choice may return.
#[derive(Clone, Copy)]
struct Eligibility {
    now: MonotonicMicros,
    /// The replica of the previous attempt, which is chosen again only if it is the only one.
    excluded: Option<ReplicaIndex>,
    /// Whether ejected replicas are eligible, because all available ones are ejected.
    includes_ejected: bool,
}

/// All replicas that have ever been on the endpoint list.
pub(super) struct ReplicaTable {
    policy: Policy,
    replicas: Vec<Replica>,
    index_by_id: HashMap<ReplicaId, ReplicaIndex>,
    /// Points of the hash ring in ascending order, each with its replica.
    ring: Vec<(u64, ReplicaIndex)>,
    /// The index at which the next round-robin choice starts.
    next_in_turn: ReplicaIndex,
    rng: rand_pcg::Pcg64Mcg,
    total_in_flight: u64,
}

impl ReplicaTable {
    pub(super) fn new(policy: Policy, rng: rand_pcg::Pcg64Mcg) -> Self {
        ReplicaTable {
            policy,
            replicas: Vec::new(),
            index_by_id: HashMap::new(),
            ring: Vec::new(),
            next_in_turn: 0,
            rng,
            total_in_flight: 0,
        }
    }

    pub(super) fn id(&self, index: ReplicaIndex) -> ReplicaId {
        self.replicas[index].id
    }

    pub(super) fn set_reported_tokens(&mut self, index: ReplicaIndex, queued_tokens: f64) {
        self.replicas[index].reported_tokens = queued_tokens;
    }

    pub(super) fn add_in_flight(&mut self, index: ReplicaIndex) {
        self.replicas[index].in_flight += 1;
        self.total_in_flight += 1;
    }

    pub(super) fn remove_in_flight(&mut self, index: ReplicaIndex) {
        self.replicas[index].in_flight -= 1;
        self.total_in_flight -= 1;
    }

    pub(super) fn record_success(&mut self, index: ReplicaIndex) {
        self.replicas[index].consecutive_failures = 0;
    }

    /// Counts a failure, and ejects the replica when it reaches the threshold.
    pub(super) fn record_failure(&mut self, index: ReplicaIndex, now: MonotonicMicros) {
        let replica = &mut self.replicas[index];
        replica.consecutive_failures += 1;
        if replica.consecutive_failures >= EJECTION_THRESHOLD {
            replica.consecutive_failures = 0;
            replica.ejected_until = now + EJECTION_DURATION;
        }
    }

    /// Replaces the endpoint list: replicas that are not on the new one are no longer available.
    pub(super) fn replace_endpoints(&mut self, endpoints: &[Endpoint]) {
        for replica in &mut self.replicas {
            replica.is_available = false;
        }
        self.update_endpoints(endpoints);
    }

    /// Applies changes of the endpoint list.
    pub(super) fn update_endpoints(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let is_available = endpoint.state == EndpointState::Available;
            if let Some(index) = self.index_by_id.get(&endpoint.id) {
                let replica = &mut self.replicas[*index];
                if !replica.is_available {
                    replica.ejected_until = 0;
                }
                replica.is_available = is_available;
            } else {
                self.add_replica(endpoint.id, is_available);
            }
        }
        self.ring.sort_unstable();
    }

    fn add_replica(&mut self, id: ReplicaId, is_available: bool) {
        let index = self.replicas.len();
        self.index_by_id.insert(id, index);
        self.replicas.push(Replica::new(id, is_available));
        let seed = mix_bits(index as u64 + 1);
        for point in 0..RING_POINTS {
            let position = mix_bits(seed ^ mix_bits(point + RING_POINT_OFFSET));
            self.ring.push((position, index));
        }
    }

    /// Chooses the replica of an attempt; `None` if none is available. The results of a seed depend on the order of the
    /// random draws.
    pub(super) fn choose(
        &mut self,
        now: MonotonicMicros,
        affinity_key: u64,
        excluded: Option<ReplicaIndex>,
    ) -> Option<ReplicaIndex> {
        let has_healthy = self
            .replicas
            .iter()
            .any(|replica| replica.is_available && now >= replica.ejected_until);
        let eligibility = Eligibility {
            now,
            excluded,
            includes_ejected: !has_healthy,
        };
        match self.policy {
            Policy::Poppykeel | Policy::Random => self.draw(eligibility),
            Policy::TwoChoices => self.choose_better_of_two(eligibility),
            Policy::RoundRobin => self.choose_next_in_turn(eligibility),
            Policy::LeastOutstanding => self.choose_least_outstanding(eligibility),
            Policy::LeastReported => self.choose_least_reported_tokens(eligibility),
            Policy::PrefixAffine => self.choose_on_ring(eligibility, affinity_key),
        }
    }

    fn is_eligible(&self, index: ReplicaIndex, eligibility: Eligibility) -> bool {
        let replica = &self.replicas[index];
        let is_ejected = eligibility.now < replica.ejected_until;
        let is_excluded = eligibility.excluded == Some(index) && self.replicas.len() != 1;
        replica.is_available && (eligibility.includes_ejected || !is_ejected) && !is_excluded
    }

    /// Eligible replicas in the order of the table, starting at `start` and wrapping around.
    fn eligible_from(
        &self,
        start: ReplicaIndex,
        eligibility: Eligibility,
    ) -> impl Iterator<Item = ReplicaIndex> + '_ {
        let count = self.replicas.len();
        (0..count)
            .map(move |offset| (start + offset) % count)
            .filter(move |index| self.is_eligible(*index, eligibility))
    }

    fn random_index(&mut self) -> ReplicaIndex {
        self.rng.random_range(0..self.replicas.len().max(1))
    }

    /// Draws an eligible replica at random. The first draw is nearly always eligible; if several draws are not, all
    /// replicas are scanned.
    fn draw(&mut self, eligibility: Eligibility) -> Option<ReplicaIndex> {
        for _ in 0..QUICK_DRAWS {
            let index = self.random_index();
            if index < self.replicas.len() && self.is_eligible(index, eligibility) {
                return Some(index);
            }
        }
        let eligible: Vec<ReplicaIndex> = self.eligible_from(0, eligibility).collect();
        if eligible.is_empty() {
            return None;
        }
        Some(eligible[self.rng.random_range(0..eligible.len())])
    }

    fn choose_better_of_two(&mut self, eligibility: Eligibility) -> Option<ReplicaIndex> {
        let first = self.draw(eligibility)?;
        let second = self.draw(eligibility)?;
        if self.replicas[first].in_flight <= self.replicas[second].in_flight {
            Some(first)
        } else {
            Some(second)
        }
    }

    fn choose_next_in_turn(&mut self, eligibility: Eligibility) -> Option<ReplicaIndex> {
        let chosen = self.eligible_from(self.next_in_turn, eligibility).next()?;
        self.next_in_turn = chosen + 1;
        Some(chosen)
    }

    /// Starts at a random replica, so that ties do not all go to the first one.
    fn choose_least_outstanding(&mut self, eligibility: Eligibility) -> Option<ReplicaIndex> {
        let start = self.random_index();
        self.eligible_from(start, eligibility)
            .min_by_key(|index| self.replicas[*index].in_flight)
    }

    /// The search starts at a random replica, so that ties do not all go to the first one.
    fn choose_least_reported_tokens(&mut self, eligibility: Eligibility) -> Option<ReplicaIndex> {
        let start = self.random_index();
        self.eligible_from(start, eligibility)
            .min_by(|first, second| {
                let first_tokens = self.replicas[*first].reported_tokens;
                let second_tokens = self.replicas[*second].reported_tokens;
                first_tokens.total_cmp(&second_tokens)
            })
    }

    /// The first replica on the ring, from the position of the key on, that is below the load bound; the first eligible
    /// one if none of those examined is below it.
    fn choose_on_ring(&self, eligibility: Eligibility, affinity_key: u64) -> Option<ReplicaIndex> {
        let position = mix_bits(affinity_key);
        let start = self.ring.partition_point(|point| point.0 < position);
        let max_in_flight = self.in_flight_bound();
        let max_candidates =
            RING_CANDIDATES_PER_REPLICA * self.replicas.len().max(RING_CANDIDATES_MIN_REPLICAS);
        let mut candidates = (0..self.ring.len())
            .map(|offset| self.ring[(start + offset) % self.ring.len()].1)
            .filter(|index| self.is_eligible(*index, eligibility))
            .take(max_candidates);
        let first = candidates.next()?;
        if self.replicas[first].in_flight < max_in_flight {
            return Some(first);
        }
        candidates
            .find(|index| self.replicas[*index].in_flight < max_in_flight)
            .or(Some(first))
    }

    fn in_flight_bound(&self) -> u32 {
        let available = self.replicas.iter().filter(|replica| replica.is_available);
        let available_count = available.count().max(1);
        let total_in_flight = (self.total_in_flight + 1) as f64;
        (LOAD_BOUND * total_in_flight / available_count as f64).ceil() as u32
    }
}

/// Mixes the bits of a number: the finalizer of `SplitMix64`.
fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
