//! Unit tests of the fair queue.

use super::{ChargedRequest, FairQueue, QueueEntry, QueueKey};
use crate::tests::settings;
use crate::types::RequestId;

const QUANTUM: f64 = 100.0;

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

/// Removes all requests; returns them in the order of the queue.
fn dequeue_all(queue: &mut FairQueue, entries: &[QueueEntry]) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(ChargedRequest { request, .. }) = queue.charge_next(QUANTUM) {
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
    let charged = queue.charge_next(QUANTUM).unwrap();
    assert_eq!(charged.request, RequestId(1));
    queue.remove(&cheap);
    assert_eq!(queue.first_backlogged_tier(), None);
    let entries = [entry(2, 0, 0, 150.0), entry(3, 1, 0, 100.0)];
    for entry in &entries {
        queue.enqueue(entry);
    }
    assert_eq!(dequeue_all(&mut queue, &entries), [3, 2]);
}
