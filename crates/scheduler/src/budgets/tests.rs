//! Unit tests of token buckets and the budget ledger.

use super::{BudgetLedger, TokenBucket};
use crate::types::{BudgetGrant, BudgetKind};

const GRANT: BudgetGrant = BudgetGrant {
    rate: 2.0,
    burst: 3.0,
    guaranteed_rate: 1.0,
    guaranteed_burst: 1.0,
    expires_at: 10.0,
};

fn ledger(now: f64) -> BudgetLedger {
    let mut ledger = BudgetLedger::default();
    ledger.set_grants(now, &[(BudgetKind::Retries, GRANT)].into());
    ledger
}

#[test]
fn bucket_starts_full_and_refills_to_its_depth() {
    let mut bucket = TokenBucket::default();
    assert!(bucket.try_take(0.0, 1.0, 2.0));
    assert!(bucket.try_take(0.0, 1.0, 2.0));
    assert!(!bucket.try_take(0.5, 1.0, 2.0));
    assert!(bucket.try_take(1.0, 1.0, 2.0));
    for _ in 0..2 {
        assert!(bucket.try_take(100.0, 1.0, 2.0));
    }
    assert!(!bucket.try_take(100.0, 1.0, 2.0));
}

#[test]
fn budget_starts_empty() {
    let mut ledger = ledger(0.0);
    assert!(!ledger.spend_unit(0.0, BudgetKind::Retries));
    assert!(ledger.spend_unit(0.5, BudgetKind::Retries));
}

#[test]
fn expired_grant_leaves_the_guaranteed_rate() {
    let ledger = ledger(0.0);
    assert_eq!(ledger.rate(9.0, BudgetKind::Retries), Some(3.0));
    assert_eq!(ledger.rate(10.0, BudgetKind::Retries), Some(1.0));
    assert!(ledger.has_unit(9.9, BudgetKind::Retries, 1.0));
    assert!(ledger.has_unit(10.0, BudgetKind::Retries, 0.0));
}

#[test]
fn kind_without_a_budget_is_unlimited() {
    let mut ledger = ledger(0.0);
    assert!(!ledger.has_budget(BudgetKind::Probes));
    assert!(ledger.request_unit(0.0, BudgetKind::Probes, 1.0));
    assert_eq!(ledger.rate(0.0, BudgetKind::Probes), None);
}

#[test]
fn demand_is_recorded_whether_or_not_a_unit_is_available() {
    let mut ledger = ledger(0.0);
    ledger.request_unit(0.0, BudgetKind::Retries, 5.0);
    ledger.record_demand(BudgetKind::Retries, 0.5, 2.0);
    let demand = ledger.demand()[&BudgetKind::Retries];
    assert_eq!((demand.units, demand.priority_weight), (1.5, 6.0));
}

#[test]
fn reserved_fraction_remains_after_spending_a_unit() {
    let ledger = ledger(0.0);
    // The bucket is four units deep: one is spent, and half of the other three must remain. It fills at three units per
    // second.
    assert!(!ledger.has_unit(0.8, BudgetKind::Retries, 0.5));
    assert!(ledger.has_unit(0.9, BudgetKind::Retries, 0.5));
}
