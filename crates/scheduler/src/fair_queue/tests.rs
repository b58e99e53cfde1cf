//! Unit tests of the fair queue.

use super::{ChargedRequest, FairQueue, Quantum, QueueEntry, QueueKey};
use crate::tests::settings;
use crate::types::RequestId;
use proptest::collection::vec;
use proptest::prelude::{prop_assert_eq, proptest};
use std::collections::VecDeque;

const QUANTUM: f64 = 100.0;
/// Number of tenants in the settings of these tests.
const TENANTS: usize = 2;

fn entry(number: u64, tenant: usize, tier: usize, cost: f64) -> QueueEntry {
    QueueEntry {
        request: RequestId(number),
        tenant,
        tier,
        key: QueueKey {
            deadline_micros: 1_000_000,
            sequence: number,
        },
        cost,
        useful_until: number as f64,
    }
}

fn charge_next(queue: &mut FairQueue, quantum: f64) -> Option<ChargedRequest> {
    queue.charge_next(Quantum::new(quantum))
}

/// Removes all requests; returns them in the order of the queue.
fn dequeue_all(queue: &mut FairQueue, entries: &[QueueEntry]) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(ChargedRequest { request, .. }) = charge_next(queue, QUANTUM) {
        let entry = entries
            .iter()
            .find(|entry| entry.request == request)
            .unwrap();
        queue.remove(entry);
        order.push(request.0);
    }
    order
}

#[test]
fn tenants_get_equal_shares_of_cost_not_of_requests() {
    let mut queue = FairQueue::new(&settings());
    let small = (1..=4).map(|number| entry(number, 0, 0, 50.0));
    let large = (11..=12).map(|number| entry(number, 1, 0, 100.0));
    let entries: Vec<QueueEntry> = small.chain(large).collect();
    for entry in &entries {
        queue.enqueue(entry);
    }
    assert_eq!(dequeue_all(&mut queue, &entries), [1, 2, 11, 3, 4, 12]);
}

#[test]
fn request_larger_than_the_quantum_waits_for_enough_deficit() {
    let mut queue = FairQueue::new(&settings());
    let entries = [entry(1, 0, 0, 250.0), entry(2, 1, 0, 100.0)];
    for entry in &entries {
        queue.enqueue(entry);
    }
    assert_eq!(dequeue_all(&mut queue, &entries), [2, 1]);
}

#[test]
fn first_expiring_request_is_found_by_time() {
    let mut queue = FairQueue::new(&settings());
    let later = entry(9, 0, 0, 1.0);
    let sooner = entry(3, 1, 0, 1.0);
    queue.enqueue(&later);
    queue.enqueue(&sooner);
    assert_eq!(queue.first_expiring_by(2.9), None);
    assert_eq!(queue.first_expiring_by(3.0), Some(RequestId(3)));
    queue.remove(&sooner);
    assert_eq!(queue.first_expiring_by(3.0), None);
}

#[test]
fn cost_ahead_includes_higher_tiers_and_other_tenants_up_to_the_own_turn() {
    let mut queue = FairQueue::new(&settings());
    queue.enqueue(&entry(1, 0, 0, 70.0));
    queue.enqueue(&entry(2, 0, 1, 10.0));
    queue.enqueue(&entry(3, 1, 1, 500.0));
    // The higher tier, the own tenant's queue, and the cost that the other tenant dispatches in the same turns.
    assert_eq!(
        queue.cost_ahead_of(&entry(4, 0, 1, 20.0)),
        70.0 + 10.0 + 30.0
    );
}

#[test]
fn emptied_queue_starts_without_deficit() {
    let mut queue = FairQueue::new(&settings());
    let cheap = entry(1, 0, 0, 1.0);
    queue.enqueue(&cheap);
    let charged = charge_next(&mut queue, QUANTUM).unwrap();
    assert_eq!(charged.request, RequestId(1));
    queue.remove(&cheap);
    assert_eq!(queue.first_backlogged_tier(), None);
    let entries = [entry(2, 0, 0, 150.0), entry(3, 1, 0, 100.0)];
    for entry in &entries {
        queue.enqueue(entry);
    }
    assert_eq!(dequeue_all(&mut queue, &entries), [3, 2]);
}

/// Guards against a node that stands still: the queue played one round for each quantum of the cost that a client had stated
/// for its request, up to 2^64 tokens.
#[test]
fn number_of_turns_does_not_depend_on_the_stated_cost() {
    for quantum in [QUANTUM, 0.0, f64::NAN] {
        for cost in [250.0, 1e5, 1e7, 2f64.powi(41), 2f64.powi(64)] {
            let mut queue = FairQueue::new(&settings());
            let entries = [entry(1, 0, 0, 2.0 * cost), entry(2, 1, 0, cost)];
            for entry in &entries {
                queue.enqueue(entry);
            }
            for entry in entries.iter().rev() {
                let charged = charge_next(&mut queue, quantum).unwrap();
                assert_eq!(charged.request, entry.request, "cost {cost}");
                assert!(charged.turns <= TENANTS as u64, "{charged:?}, cost {cost}");
                queue.remove(entry);
            }
        }
    }
}

/// Deficit round robin that plays one turn after the other.
struct ReferenceRoundRobin {
    queues: [VecDeque<(u64, f64)>; TENANTS],
    deficits: [f64; TENANTS],
    turns: VecDeque<usize>,
    /// Whether the tenant whose turn it is has received its quantum.
    has_quantum: bool,
}

impl ReferenceRoundRobin {
    fn enqueue(&mut self, number: u64, tenant: usize, cost: f64) {
        if self.queues[tenant].is_empty() {
            self.turns.push_back(tenant);
        }
        self.queues[tenant].push_back((number, cost));
    }

    fn dequeue(&mut self, quantum: f64) -> Option<u64> {
        loop {
            let tenant = *self.turns.front()?;
            if !std::mem::replace(&mut self.has_quantum, true) {
                self.deficits[tenant] += quantum;
            }
            let (number, cost) = self.queues[tenant][0];
            if self.deficits[tenant] >= cost {
                self.deficits[tenant] -= cost;
                self.queues[tenant].pop_front();
                if self.queues[tenant].is_empty() {
                    self.deficits[tenant] = 0.0;
                    self.turns.pop_front();
                    self.has_quantum = false;
                }
                return Some(number);
            }
            self.turns.rotate_left(1);
            self.has_quantum = false;
        }
    }
}

proptest! {
    /// Calculating the rounds gives the order of playing them.
    #[test]
    fn order_is_that_of_playing_each_turn(
        quantum in 1_u32..300,
        steps in vec((0..TENANTS, 1_u32..2_000, 0_usize..3), 1..40),
    ) {
        let quantum = f64::from(quantum);
        let mut queue = FairQueue::new(&settings());
        let mut reference = ReferenceRoundRobin {
            queues: Default::default(),
            deficits: [0.0; TENANTS],
            turns: VecDeque::new(),
            has_quantum: false,
        };
        let mut entries = Vec::new();
        for (number, (tenant, cost, dequeued)) in steps.into_iter().enumerate() {
            let new = entry(number as u64, tenant, 0, f64::from(cost));
            queue.enqueue(&new);
            entries.push(new);
            reference.enqueue(number as u64, tenant, f64::from(cost));
            for _ in 0..dequeued {
                let charged = charge_next(&mut queue, quantum);
                let number = charged.map(|charged| charged.request.0);
                prop_assert_eq!(number, reference.dequeue(quantum));
                if let Some(number) = number {
                    queue.remove(&entries[number as usize]);
                }
            }
        }
    }
}
