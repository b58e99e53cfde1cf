//! Tests of fleet-wide budgets: retries, probes, cross-zone attempts, slow start and tenants.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_scheduler::{
    Action, AttemptOutcome, BudgetGrant, BudgetKind, EndpointState, Event, SchedulerSettings,
    Seconds, Tenant,
};
use support::{
    answered_requests, endpoint, incoming_request, replica_id, settings, started_attempts,
    SchedulerHarness,
};

impl SchedulerHarness {
    fn grant(&mut self, budgets: impl IntoIterator<Item = (BudgetKind, BudgetGrant)>) {
        self.scheduler
            .set_budget_grants(&budgets.into_iter().collect());
    }
}

fn budget(
    rate: f64,
    burst: f64,
    guaranteed_rate: f64,
    guaranteed_burst: f64,
    expires_at: Seconds,
) -> BudgetGrant {
    BudgetGrant {
        rate,
        burst,
        guaranteed_rate,
        guaranteed_burst,
        expires_at,
    }
}

/// Submits `count` requests, one each tenth of a second, and declines their first attempts. Returns the number of retries.
fn count_retries(harness: &mut SchedulerHarness, first: u64, count: u64) -> usize {
    let mut retries = 0;
    for n in first..first + count {
        harness.advance(0.1);
        assert_eq!(
            started_attempts(&harness.arrive(incoming_request(n, 0, 0, 30.0))).len(),
            1
        );
        // A replica at capacity is not ejected, and the request may be retried.
        let actions = harness.end_attempt(n, 0, AttemptOutcome::AtCapacity, false);
        retries += started_attempts(&actions).len();
        if started_attempts(&actions).is_empty() {
            assert_eq!(answered_requests(&actions), [n]);
        } else {
            harness.end_attempt(n, 1, AttemptOutcome::Completed, true);
        }
    }
    retries
}

#[test]
fn spends_retries_from_the_budget_and_answers_the_others_immediately() {
    let harness = |grant: Option<BudgetGrant>| {
        let mut harness = SchedulerHarness::new(settings(), 40);
        harness.grant(grant.map(|grant| (BudgetKind::Retries, grant)));
        harness
    };
    assert_eq!(count_retries(&mut harness(None), 1, 20), 20);
    assert_eq!(
        count_retries(&mut harness(Some(budget(0.0, 0.0, 0.0, 0.0, 1e9))), 1, 20),
        0
    );
    // An expired grant: only the guaranteed rate and burst apply.
    let retried = count_retries(&mut harness(Some(budget(0.0, 0.0, 1.0, 1.0, 0.0))), 1, 20);
    assert!((1..=2).contains(&retried), "{retried}");
    // The bucket starts empty and gets two units per second, guaranteed and granted rate together, for two seconds.
    let retried = count_retries(&mut harness(Some(budget(1.5, 1.0, 0.5, 1.0, 1e9))), 1, 20);
    assert!((3..=4).contains(&retried), "{retried}");
    // A grant that expires after one second: units accumulated during the grant must not remain.
    let mut expired = harness(Some(budget(100.0, 100.0, 0.5, 1.0, 101.0)));
    expired.advance(5.0);
    let retried = count_retries(&mut expired, 1, 20);
    assert!((1..=2).contains(&retried), "{retried}");
    assert_eq!(
        expired.scheduler.budget_demand()[&BudgetKind::Retries].units,
        20.0
    );
}

const EMPTY_GRANT: BudgetGrant = BudgetGrant {
    rate: 0.0,
    burst: 0.0,
    guaranteed_rate: 0.0,
    guaranteed_burst: 0.0,
    expires_at: 1e9,
};

fn probe_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Probe { .. }))
        .count()
}

/// An unresponsive replica is probed once a second, or as often as the budget allows. The demand includes probes that were
/// not sent.
#[test]
fn spends_probes_from_the_budget() {
    let probes_and_demand = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
        let mut harness = SchedulerHarness::new(settings(), 2);
        harness.grant(budgets);
        harness.arrive(incoming_request(1, 0, 0, 30.0));
        let count = probe_count(&harness.advance(20.0));
        (
            count,
            harness
                .scheduler
                .budget_demand()
                .get(&BudgetKind::Probes)
                .map_or(0.0, |demand| demand.units),
        )
    };
    let (unlimited, _) = probes_and_demand(vec![]);
    assert!(unlimited >= 15, "{unlimited}");
    let (none, demand) = probes_and_demand(vec![(BudgetKind::Probes, EMPTY_GRANT)]);
    assert!(none == 0 && demand >= 15.0, "{none} {demand}");
    let (some, _) = probes_and_demand(vec![(
        BudgetKind::Probes,
        BudgetGrant {
            guaranteed_rate: 0.25,
            guaranteed_burst: 1.0,
            ..EMPTY_GRANT
        },
    )]);
    assert!((3..=6).contains(&some), "{some}");
}

/// With an empty cross-zone budget a request waits for capacity in its own zone, and is answered in time if there is none.
/// Half of the burst is reserved for the class of the highest priority.
#[test]
fn half_of_the_cross_zone_burst_is_reserved_for_the_highest_priority() {
    let cross_zone_attempts = |harness: &mut SchedulerHarness, class: usize, from: u64| -> usize {
        let mut count = 0;
        for n in from..from + 20 {
            count += started_attempts(&harness.arrive(incoming_request(n, class, 0, 5.0))).len();
        }
        count
    };
    // All replicas in this router's zone are removed, so every attempt crosses zones.
    let harness = |budget: Option<BudgetGrant>| {
        let mut harness = SchedulerHarness::new(settings(), 8);
        harness.handle(Event::EndpointsChanged(
            (0..8)
                .step_by(2)
                .map(|n| endpoint(n, EndpointState::Removed, None))
                .collect(),
        ));
        harness.grant(budget.map(|budget| (BudgetKind::CrossZone, budget)));
        harness
    };
    assert_eq!(cross_zone_attempts(&mut harness(None), 1, 1), 20);
    assert_eq!(
        cross_zone_attempts(&mut harness(Some(EMPTY_GRANT)), 0, 1),
        0
    );
    let grant = BudgetGrant {
        rate: 10.0,
        burst: 10.0,
        ..EMPTY_GRANT
    };
    let mut limited = harness(Some(grant));
    limited.advance(1.5);
    let (lower, higher) = (
        cross_zone_attempts(&mut limited, 1, 1),
        cross_zone_attempts(&mut limited, 0, 100),
    );
    assert!(
        (4..=6).contains(&lower) && (4..=6).contains(&higher),
        "{lower} {higher}"
    );
    // Demand grows while requests wait for the budget.
    let before = limited.scheduler.budget_demand()[&BudgetKind::CrossZone];
    let late = limited.advance(4.9);
    assert!(limited.scheduler.budget_demand()[&BudgetKind::CrossZone].units > before.units);
    assert!(
        started_attempts(&late).len() > 5,
        "{}",
        started_attempts(&late).len()
    );
}

/// If its own zone has capacity, a router with an empty cross-zone budget sends all requests there.
#[test]
fn own_zone_serves_with_an_empty_cross_zone_budget() {
    let mut harness = SchedulerHarness::new(settings(), 8);
    harness.grant([(BudgetKind::CrossZone, EMPTY_GRANT)]);
    for n in 1..=12 {
        let sent = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
        assert_eq!(sent.len(), 1);
        assert!((0..8)
            .step_by(2)
            .any(|local| replica_id(local) == sent[0].replica));
    }
}

/// A replica in slow start gets the rate of the fleet-wide budget, scaled by its warm-up fraction.
#[test]
fn replica_in_slow_start_gets_the_budgeted_rate() {
    let sent = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
        let mut harness = SchedulerHarness::new(settings(), 1);
        harness.grant(budgets);
        harness.handle(Event::EndpointsChanged(vec![endpoint(
            0,
            EndpointState::Available,
            Some(harness.now),
        )]));
        (1..=100)
            .map(|n| {
                harness.advance(0.1);
                let sent = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 0.1)));
                for attempt in &sent {
                    harness.end_attempt(attempt.request, 0, AttemptOutcome::Completed, true);
                }
                sent.len()
            })
            .sum::<usize>()
    };
    assert_eq!(sent(vec![(BudgetKind::SlowStart, EMPTY_GRANT)]), 0);
    let (small, large) = (
        sent(vec![(
            BudgetKind::SlowStart,
            BudgetGrant {
                rate: 1.0,
                ..EMPTY_GRANT
            },
        )]),
        sent(vec![(
            BudgetKind::SlowStart,
            BudgetGrant {
                rate: 8.0,
                ..EMPTY_GRANT
            },
        )]),
    );
    // In the first ten of the twenty seconds of slow start, a replica has a third of its capacity on average.
    assert!(
        (1..=5).contains(&small) && (12..=34).contains(&large),
        "{small} {large}"
    );
}

/// The fleet-wide budget of a tenant, not this router's even share of its rate limit, decides which requests are within the
/// quota.
#[test]
fn budget_of_a_tenant_replaces_the_local_quota() {
    let dispatched_within_quota = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
        let site = settings();
        let tenants = site
            .tenants
            .iter()
            .map(|tenant| Tenant {
                rate_limit: 5.0,
                ..*tenant
            })
            .collect();
        let mut harness = SchedulerHarness::new(SchedulerSettings { tenants, ..site }, 8);
        let started = harness.fill_capacity();
        harness.grant(budgets);
        harness.advance(1.5);
        for n in 1..=30 {
            harness.arrive(incoming_request(n, 0, 0, 20.0));
        }
        // Requests beyond the quota are dispatched after this one.
        harness.arrive(incoming_request(99, 1, 1, 20.0));
        let ends = (1000..1000 + started)
            .map(|n| harness.end_attempt(n, 0, AttemptOutcome::Completed, true));
        let order: Vec<u64> = ends
            .flat_map(|actions| started_attempts(&actions))
            .map(|attempt| attempt.request)
            .collect();
        order.iter().position(|n| *n == 99).unwrap_or(order.len())
    };
    let local = dispatched_within_quota(vec![]);
    let (none, large) = (
        dispatched_within_quota(vec![(BudgetKind::Tenant(0), EMPTY_GRANT)]),
        dispatched_within_quota(vec![(
            BudgetKind::Tenant(0),
            BudgetGrant {
                rate: 100.0,
                burst: 20.0,
                ..EMPTY_GRANT
            },
        )]),
    );
    assert!(
        none <= 1 && (6..12).contains(&local) && large >= 18,
        "{none} {local} {large}"
    );
}

/// A grant of less than one unit per second must accumulate to whole units.
#[test]
fn grants_below_one_unit_per_second_accumulate() {
    let mut harness = SchedulerHarness::new(settings(), 40);
    harness.grant([(
        BudgetKind::Retries,
        BudgetGrant {
            rate: 0.1,
            burst: 0.0,
            guaranteed_burst: 1.0,
            ..EMPTY_GRANT
        },
    )]);
    let retried = count_retries(&mut harness, 1, 300);
    assert!((2..=3).contains(&retried), "{retried} in 30 s");
}

/// A process that was suspended until its grant had expired may have many retries to send when it resumes. It may send no
/// more than the guaranteed burst.
#[test]
fn retries_after_a_suspension_are_limited_to_the_guaranteed_burst() {
    let mut harness = SchedulerHarness::new(settings(), 40);
    harness.grant([(BudgetKind::Retries, budget(50.0, 50.0, 0.0, 1.0, 102.0))]);
    for n in 1..=30 {
        harness.arrive(incoming_request(n, 0, 0, 60.0));
    }
    harness.now += 20.0;
    let retried: usize = (1..=30)
        .map(|n| {
            started_attempts(&harness.end_attempt(n, 0, AttemptOutcome::AtCapacity, false)).len()
        })
        .sum();
    assert!(retried <= 1, "{retried}");
}

/// A burst of one tenant must not use the budget of another, and its requests beyond its own budget must be dispatched
/// later.
#[test]
fn burst_of_a_tenant_does_not_affect_the_quotas_of_others() {
    let mut harness = SchedulerHarness::new(settings(), 8);
    let started = harness.fill_capacity();
    let each = BudgetGrant {
        rate: 10.0,
        burst: 10.0,
        ..EMPTY_GRANT
    };
    harness.grant([(BudgetKind::Tenant(0), each), (BudgetKind::Tenant(1), each)]);
    harness.advance(1.5);
    for n in 1..=60 {
        harness.arrive(incoming_request(n, 0, 0, 20.0));
    }
    for n in 101..=108 {
        harness.arrive(incoming_request(n, 0, 1, 20.0));
    }
    let ends =
        (1000..1000 + started).map(|n| harness.end_attempt(n, 0, AttemptOutcome::Completed, true));
    let order: Vec<u64> = ends
        .flat_map(|actions| started_attempts(&actions))
        .map(|attempt| attempt.request)
        .collect();
    let last = (101..=108)
        .filter_map(|n| order.iter().position(|request| *request == n))
        .max()
        .unwrap_or(usize::MAX);
    assert!(
        last < 20,
        "the last request of the other tenant is dispatched at position {last} of {order:?}"
    );
}
