//! Budget scenarios with complete participants on a simulated clock: simultaneous requests, node failures, a lost
//! quorum and changing demand. They check how much of the limit is used and how soon a dead node's quota is available
//! to others.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_coordination::budget::{
    BudgetLimit, BudgetMessage, BudgetParticipant, BudgetSettings, CumulativeDemand,
};
use poppykeel_coordination::{Epoch, Incarnation, ProcessId};
use std::collections::BTreeMap;

const MS: u64 = 1_000;
const GRANT_DURATION: u64 = 1_000 * MS;
const DRIFT_PPM: u32 = 1_000;
const BUDGET: &str = "b";

fn limit(rate: u64, burst: u64, guaranteed_rate: u64, max_nodes: u32) -> BudgetLimit {
    BudgetLimit {
        rate,
        burst,
        guaranteed_rate,
        guaranteed_burst: 1_000,
        max_nodes,
    }
}

fn participant(node: usize, incarnation: u64, limit: BudgetLimit) -> BudgetParticipant {
    let process = ProcessId {
        node: format!("n{node}"),
        incarnation: Incarnation(incarnation),
    };
    let settings = BudgetSettings {
        grant_duration: GRANT_DURATION,
        drift_ppm: DRIFT_PPM,
        limits: [(BUDGET.to_string(), limit)].into(),
    };
    BudgetParticipant::new(process, settings)
}

struct SimulatedNode {
    participant: BudgetParticipant,
    incarnation: u64,
    is_up: bool,
    /// The demand, in thousandths of a unit per second.
    demanded_rate: u64,
    /// The cumulative demand, in thousandths of a unit.
    demanded_units: f64,
    /// The weight of a unit at this node.
    weight: f64,
    /// The level of a token bucket like that of the scheduler, in thousandths of a unit.
    bucket: f64,
    /// The units spent so far, in thousandths of a unit.
    spent: f64,
    next_request_at: u64,
}

impl SimulatedNode {
    fn new(index: usize, limit: BudgetLimit, demanded_rate: u64) -> SimulatedNode {
        SimulatedNode {
            participant: participant(index, 1, limit),
            incarnation: 1,
            is_up: true,
            demanded_rate,
            demanded_units: 0.0,
            weight: 1.0,
            bucket: 0.0,
            spent: 0.0,
            next_request_at: 0,
        }
    }

    fn granted_rate(&self, now: u64) -> u64 {
        self.participant.quota(BUDGET, now).rate
    }

    /// Spends units for one millisecond.
    fn spend(&mut self, limit: &BudgetLimit, now: u64) {
        let demanded = self.demanded_rate as f64 / 1e3;
        self.demanded_units += demanded;
        let quota = self.participant.quota(BUDGET, now);
        let bucket_size = (limit.guaranteed_burst + quota.burst) as f64;
        let refill = (quota.rate + limit.guaranteed_rate) as f64 / 1e3;
        self.bucket = (self.bucket + refill).min(bucket_size);
        let spent = demanded.min(self.bucket);
        self.bucket -= spent;
        self.spent += spent;
    }

    /// The next request, if one is due.
    fn due_request(&mut self, held_epoch: Option<Epoch>, now: u64) -> Option<BudgetMessage> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + self.participant.request_interval();
        let demand = CumulativeDemand {
            units: self.demanded_units as u64,
            weight_sum: self.demanded_units / 1e3 * self.weight,
        };
        let totals = [(BUDGET.to_string(), demand)].into();
        Some(self.participant.next_request(totals, held_epoch, now))
    }
}

/// The node that runs the allocator.
#[derive(Clone, Copy)]
struct Leader {
    node: usize,
    epoch: Epoch,
}

struct Packet {
    from: usize,
    to: usize,
    message: BudgetMessage,
}

/// Nodes, one of which runs the allocator, with message latencies of a few milliseconds.
struct Fleet {
    now: u64,
    limit: BudgetLimit,
    nodes: Vec<SimulatedNode>,
    leader: Option<Leader>,
    /// Messages by arrival time and sending order.
    in_flight: BTreeMap<(u64, u64), Packet>,
    sent_count: u64,
}

impl Fleet {
    fn new(nodes: usize, limit: BudgetLimit, demanded_rate: u64) -> Fleet {
        Fleet {
            now: 0,
            limit,
            nodes: (0..nodes)
                .map(|index| SimulatedNode::new(index, limit, demanded_rate))
                .collect(),
            leader: Some(Leader {
                node: 0,
                epoch: Epoch(1),
            }),
            in_flight: BTreeMap::new(),
            sent_count: 0,
        }
    }

    fn held_epoch(&self, node: usize) -> Option<Epoch> {
        let leader = self.leader.filter(|leader| leader.node == node)?;
        Some(leader.epoch)
    }

    fn send(&mut self, from: usize, to: usize, message: BudgetMessage) {
        self.sent_count += 1;
        let delay = 1 + self.sent_count % 4;
        let packet = Packet { from, to, message };
        self.in_flight
            .insert((self.now + delay * MS, self.sent_count), packet);
    }

    fn granted_rate(&self, node: usize) -> u64 {
        self.nodes[node].granted_rate(self.now)
    }

    /// The rate that all nodes may spend together, including the guaranteed rates of all planned and additional nodes.
    fn spendable_rate(&self) -> u64 {
        let up: Vec<&SimulatedNode> = self.nodes.iter().filter(|node| node.is_up).collect();
        let granted: u64 = up.iter().map(|node| node.granted_rate(self.now)).sum();
        let guaranteed_nodes = (up.len() as u64).max(u64::from(self.limit.max_nodes));
        granted + self.limit.guaranteed_rate * guaranteed_nodes
    }

    fn next_arrived(&mut self) -> Option<Packet> {
        let first = self.in_flight.first_entry()?;
        (first.key().0 <= self.now).then(|| first.remove())
    }

    /// Advances the simulation by one millisecond.
    fn step(&mut self) {
        self.now += MS;
        while let Some(Packet { from, to, message }) = self.next_arrived() {
            let held_epoch = self.held_epoch(to);
            let node = &mut self.nodes[to];
            let answer = node
                .participant
                .handle_message(message, held_epoch, self.now);
            if let Some(answer) = answer.filter(|_| node.is_up) {
                self.send(to, from, answer);
            }
        }
        for index in 0..self.nodes.len() {
            let held_epoch = self.held_epoch(index);
            let node = &mut self.nodes[index];
            if !node.is_up {
                continue;
            }
            node.spend(&self.limit, self.now);
            let request = node.due_request(held_epoch, self.now);
            if let (Some(request), Some(leader)) = (request, self.leader) {
                self.send(index, leader.node, request);
            }
        }
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.step();
            let spendable_rate = self.spendable_rate();
            assert!(
                spendable_rate <= self.limit.rate,
                "{spendable_rate} of {} at {}",
                self.limit.rate,
                self.now
            );
        }
    }

    fn spent(&self) -> f64 {
        self.nodes.iter().map(|node| node.spent).sum()
    }

    /// Runs for `ms` milliseconds and returns the fraction of the limit that is spent in that time.
    fn utilisation(&mut self, ms: u64) -> f64 {
        let before = self.spent();
        self.run_ms(ms);
        (self.spent() - before) / (self.limit.rate as f64 * ms as f64 / 1e3)
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.participant = participant(index, node.incarnation, self.limit);
        node.is_up = true;
        node.bucket = 0.0;
        node.demanded_units = 0.0;
        node.next_request_at = self.now;
    }
}

#[test]
fn three_hundred_simultaneous_requesters_get_their_rates_after_two_requests() {
    let mut fleet = Fleet::new(300, limit(3_000_000, 900_000, 100, 300), 9_000);
    fleet.run_ms(GRANT_DURATION / MS + 600);
    let lowest = (0..300).map(|node| fleet.granted_rate(node)).min().unwrap();
    assert!(lowest >= 8_500, "{lowest}");
}

#[test]
fn remaining_nodes_use_the_limit_after_half_of_the_nodes_died() {
    let mut fleet = Fleet::new(20, limit(200_000, 100_000, 200, 20), 30_000);
    fleet.run_ms(3_000);
    for node in 10..20 {
        fleet.kill(node);
    }
    fleet.run_ms(GRANT_DURATION / MS + 500);
    let utilisation = fleet.utilisation(1_000);
    assert!(utilisation > 0.9, "{utilisation}");
    // All nodes restart at once as new processes. The grants of the previous processes have expired.
    for node in 10..20 {
        fleet.start(node);
    }
    fleet.run_ms(GRANT_DURATION / MS + 1_000);
    let granted: Vec<u64> = (0..20).map(|node| fleet.granted_rate(node)).collect();
    assert!(granted.iter().all(|rate| *rate > 8_000), "{granted:?}");
}

/// Without a quorum of lease servers there is no allocator: after one grant duration only guaranteed rates may be
/// spent. The whole limit must be usable again under the next epoch.
#[test]
fn only_guaranteed_rates_are_spent_without_a_quorum() {
    let mut fleet = Fleet::new(9, limit(90_000, 50_000, 1_000, 9), 20_000);
    fleet.run_ms(3_000);
    assert!(fleet.utilisation(1_000) > 0.9);
    fleet.leader = None;
    fleet.run_ms(GRANT_DURATION / MS + 10);
    let guaranteed = 9.0 * 1_000.0 / 90_000.0;
    let utilisation = fleet.utilisation(58_000);
    assert!(
        (utilisation - guaranteed).abs() < 0.02,
        "{utilisation} {guaranteed}"
    );
    fleet.leader = Some(Leader {
        node: 4,
        epoch: Epoch(2),
    });
    fleet.run_ms(2 * GRANT_DURATION / MS + 500);
    assert!(fleet.utilisation(1_000) > 0.9);
}

/// The quota of a dead node must be available to others once its grant has expired, and a new node must get a quota
/// within a second.
#[test]
fn quota_of_a_dead_node_is_reused_within_a_grant_and_a_new_node_gets_one_within_a_second() {
    let mut fleet = Fleet::new(9, limit(90_000, 50_000, 200, 10), 8_000);
    fleet.nodes[5].demanded_rate = 200_000;
    fleet.run_ms(5_000);
    let granted = fleet.granted_rate(5);
    assert!(granted > 20_000, "{granted}");
    for node in &mut fleet.nodes {
        node.demanded_rate = 30_000;
    }
    fleet.kill(5);
    let mut after_ms = 0;
    while fleet.spendable_rate() < 85_000 {
        fleet.run_ms(10);
        after_ms += 10;
        assert!(after_ms < 5_000, "{after_ms}");
    }
    println!(
        "the quota of a dead node is reused after {after_ms} ms; grants last {} ms",
        GRANT_DURATION / MS
    );
    assert!(after_ms <= GRANT_DURATION / MS + 500, "{after_ms}");
    fleet.start(5);
    fleet.run_ms(1_000);
    assert!(fleet.granted_rate(5) > 0);
}

/// If more nodes send requests than planned, their guaranteed rates must be deducted from the allocatable rate after
/// one grant duration.
#[test]
fn guaranteed_rates_of_unplanned_nodes_are_deducted_from_the_allocatable_rate() {
    let mut fleet = Fleet::new(12, limit(100_000, 50_000, 2_000, 8), 50_000);
    // Until the allocator knows all nodes, the guaranteed rates of the unplanned nodes may exceed the limit.
    for _ in 0..2 * GRANT_DURATION / MS {
        fleet.step();
    }
    fleet.run_ms(3_000);
    assert!(fleet.utilisation(1_000) > 0.9);
}

/// A token bucket that is refilled each millisecond.
struct Bucket {
    level: f64,
    size: f64,
    refill: f64,
}

impl Bucket {
    fn new(rate: f64, size: f64) -> Bucket {
        Bucket {
            level: 0.0,
            size,
            refill: rate / 1e3,
        }
    }

    fn spend(&mut self, demanded: f64) -> f64 {
        self.level = (self.level + self.refill).min(self.size);
        let spent = self.level.min(demanded);
        self.level -= spent;
        spent
    }
}

/// One hot node demands ten times as much as each other node, and another node becomes hot every ten seconds. The limit
/// is four fifths of the demand. Compares the spent units with those of one central bucket without delay, and with
/// those of equal static shares.
#[test]
fn moving_hot_node_uses_nine_tenths_of_what_a_central_limiter_allows() {
    let nodes = 9usize;
    let rate = 144_000;
    let burst = 36_000;
    let warm_up_ms = 5_000;
    let demanded_rate = |node: usize, now: u64| {
        let hot_node = (now / (10_000 * MS)) as usize % nodes;
        if node == hot_node {
            100_000
        } else {
            10_000
        }
    };
    let mut fleet = Fleet::new(nodes, limit(rate, burst, 200, nodes as u32), 0);
    let mut central_bucket = Bucket::new(rate as f64, burst as f64);
    let equal_bucket = || Bucket::new(rate as f64 / nodes as f64, burst as f64 / nodes as f64);
    let mut equal_buckets: Vec<Bucket> = (0..nodes).map(|_| equal_bucket()).collect();
    let mut central_spent = 0.0;
    let mut equal_spent = 0.0;
    for ms in 0..120_000 {
        let is_warmed_up = ms >= warm_up_ms;
        let mut total_demand = 0.0;
        for (node, bucket) in equal_buckets.iter_mut().enumerate() {
            let demanded = demanded_rate(node, fleet.now);
            fleet.nodes[node].demanded_rate = demanded;
            total_demand += demanded as f64;
            let spent = bucket.spend(demanded as f64 / 1e3);
            equal_spent += if is_warmed_up { spent } else { 0.0 };
        }
        let spent = central_bucket.spend(total_demand / 1e3);
        central_spent += if is_warmed_up { spent } else { 0.0 };
        if ms == warm_up_ms {
            for node in &mut fleet.nodes {
                node.spent = 0.0;
            }
        }
        fleet.run_ms(1);
    }
    let granted = fleet.spent() / central_spent;
    let equal = equal_spent / central_spent;
    println!("relative to a central limiter: grants {granted:.3}, equal shares {equal:.3}");
    assert!(granted >= 0.9 && granted > equal + 0.1, "{granted} {equal}");
}

#[test]
fn scarce_units_are_allocated_by_weight() {
    let mut fleet = Fleet::new(2, limit(50_000, 20_000, 100, 2), 100_000);
    fleet.nodes[1].weight = 4.0;
    fleet.run_ms(4_000);
    let [light, heavy] = [0, 1].map(|node| fleet.granted_rate(node));
    assert!(heavy > 3 * light && light > 0, "{light} {heavy}");
}
