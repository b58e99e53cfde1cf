//! Unit tests of slow start.

use super::{SlowStart, SlowStartTraffic};
use crate::budgets::BudgetLedger;
use crate::tests::settings;
use crate::types::{BudgetGrant, BudgetKind};

#[test]
fn warm_up_fraction_grows_from_the_initial_fraction_to_one() {
    let rules = settings().lifecycle;
    let mut slow_start = SlowStart::default();
    assert_eq!(slow_start.warm_up_fraction(&rules, 0.0), 1.0);
    slow_start.restart(Some(100.0), 0.0);
    assert_eq!(slow_start.warm_up_fraction(&rules, 100.0), 0.1);
    assert_eq!(slow_start.warm_up_fraction(&rules, 110.0), 0.55);
    assert!(slow_start.is_warming_up(&rules, 119.9));
    assert!(!slow_start.is_warming_up(&rules, 120.0));
}

#[test]
fn budget_does_not_accumulate() {
    let mut slow_start = SlowStart::default();
    slow_start.restart(Some(100.0), 0.0);
    for _ in 0..100 {
        slow_start.refill(0.5, 10.0, 0.02, false);
    }
    assert!(slow_start.has_budget());
    slow_start.record_attempt();
    assert!(!slow_start.has_budget());
}

#[test]
fn debt_delays_the_first_attempt() {
    let mut slow_start = SlowStart::default();
    slow_start.restart(Some(100.0), 0.3);
    slow_start.refill(0.5, 10.0, 0.02, false);
    assert!(!slow_start.has_budget());
    slow_start.refill(0.5, 10.0, 0.05, false);
    assert!(slow_start.has_budget());
}

#[test]
fn budget_of_an_idle_router_expires() {
    let mut slow_start = SlowStart::default();
    slow_start.restart(Some(100.0), 0.0);
    slow_start.refill(0.5, 10.0, 0.02, true);
    slow_start.refill(0.5, 10.0, 0.02, true);
    assert!(!slow_start.has_budget());
}

#[test]
fn rate_is_taken_from_the_budget_then_rate_limits_then_own_traffic() {
    let traffic = SlowStartTraffic {
        attempt_rate: 6.0,
        warm_replica_count: 3,
        max_available_replicas: 4,
    };
    let mut budgets = BudgetLedger::default();
    let mut site = settings();
    assert_eq!(traffic.rate_per_replica(0.0, &site, &budgets), 2.0);
    site.router_count = 5;
    for tenant in &mut site.tenants {
        tenant.rate_limit = 20.0;
    }
    assert_eq!(
        traffic.rate_per_replica(0.0, &site, &budgets),
        2.0 * 20.0 / (4.0 * 5.0)
    );
    let grant = BudgetGrant {
        rate: 0.5,
        burst: 1.0,
        guaranteed_rate: 0.25,
        guaranteed_burst: 1.0,
        expires_at: 10.0,
    };
    budgets.set_grants(0.0, &[(BudgetKind::SlowStart, grant)].into());
    assert_eq!(traffic.rate_per_replica(0.0, &site, &budgets), 0.75);
    assert_eq!(traffic.rate_per_replica(10.0, &site, &budgets), 0.25);
}
