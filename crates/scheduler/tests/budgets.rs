//! Budgets that the routers of a fleet share: retries, probes, zones crossed, slow start and tenants.

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

/// The retries of this many failing requests, of which one comes each tenth of a second.
fn retries(harness: &mut SchedulerHarness, first: u64, count: u64) -> usize {
    let mut made = 0;
    for n in first..first + count {
        harness.advance(0.1);
        assert_eq!(
            started_attempts(&harness.arrive(incoming_request(n, 0, 0, 30.0))).len(),
            1
        );
        // A replica at capacity is not ejected, and the request may be tried elsewhere.
        let again = harness.end_attempt(n, 0, AttemptOutcome::AtCapacity, false);
        made += started_attempts(&again).len();
        if started_attempts(&again).is_empty() {
            assert_eq!(answered_requests(&again), [n]);
        } else {
            harness.end_attempt(n, 1, AttemptOutcome::Completed, true);
        }
    }
    made
}

#[test]
fn spends_retries_from_the_budget_and_answers_the_others_at_once() {
    let harness = |allowed: Option<BudgetGrant>| {
        let mut harness = SchedulerHarness::new(settings(), 40);
        harness.grant(allowed.map(|budget| (BudgetKind::Retries, budget)));
        harness
    };
    assert_eq!(retries(&mut harness(None), 1, 20), 20);
    assert_eq!(
        retries(&mut harness(Some(budget(0.0, 0.0, 0.0, 0.0, 1e9))), 1, 20),
        0
    );
    // The guaranteed rate alone.
    let made = retries(&mut harness(Some(budget(0.0, 0.0, 1.0, 1.0, 0.0))), 1, 20);
    assert!((1..=2).contains(&made), "{made}");
    // Two seconds at two a second, from an empty bucket, guaranteed and granted rate together.
    let made = retries(&mut harness(Some(budget(1.5, 1.0, 0.5, 1.0, 1e9))), 1, 20);
    assert!((3..=4).contains(&made), "{made}");
    // An expired grant leaves the guaranteed rate, and what had been saved beyond it is gone.
    let mut late = harness(Some(budget(100.0, 100.0, 0.5, 1.0, 101.0)));
    late.advance(5.0);
    let made = retries(&mut late, 1, 20);
    assert!((1..=2).contains(&made), "{made}");
    assert_eq!(
        late.scheduler.budget_demand()[&BudgetKind::Retries].units,
        20.0
    );
}

const NONE: BudgetGrant = BudgetGrant {
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

/// An unresponsive replica is probed each second; with a budget only as often as that allows, and all demand is counted.
#[test]
fn spends_probes_from_the_budget() {
    let probed = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
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
    let (free, _) = probed(vec![]);
    assert!(free >= 15, "{free}");
    let (none, wanted) = probed(vec![(BudgetKind::Probes, NONE)]);
    assert!(none == 0 && wanted >= 15.0, "{none} {wanted}");
    let (some, _) = probed(vec![(
        BudgetKind::Probes,
        BudgetGrant {
            guaranteed_rate: 0.25,
            guaranteed_burst: 1.0,
            ..NONE
        },
    )]);
    assert!((3..=6).contains(&some), "{some}");
}

/// A request without a cross-zone budget waits for its own zone, and is answered in time where that has no capacity; of
/// what is saved up, half is kept for the class of the highest priority.
#[test]
fn cross_zone_budget_goes_to_higher_priority_first() {
    let crossing = |harness: &mut SchedulerHarness, class: usize, from: u64| -> usize {
        let mut crossed = 0;
        for n in from..from + 20 {
            crossed += started_attempts(&harness.arrive(incoming_request(n, class, 0, 5.0))).len();
        }
        crossed
    };
    // All replicas of this router's zone are removed: every attempt crosses zones.
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
    assert_eq!(crossing(&mut harness(None), 1, 1), 20);
    assert_eq!(crossing(&mut harness(Some(NONE)), 0, 1), 0);
    let saved = BudgetGrant {
        rate: 10.0,
        burst: 10.0,
        ..NONE
    };
    let mut low = harness(Some(saved));
    low.advance(1.5);
    let (lower, higher) = (crossing(&mut low, 1, 1), crossing(&mut low, 0, 100));
    assert!(
        (4..=6).contains(&lower) && (4..=6).contains(&higher),
        "{lower} {higher}"
    );
    // What could not be sent is demand: the longer it waits, the more.
    let before = low.scheduler.budget_demand()[&BudgetKind::CrossZone];
    let late = low.advance(4.9);
    assert!(low.scheduler.budget_demand()[&BudgetKind::CrossZone].units > before.units);
    assert!(
        started_attempts(&late).len() > 5,
        "{}",
        started_attempts(&late).len()
    );
}

/// With capacity in its own zone, a router without a cross-zone budget serves all requests there.
#[test]
fn own_zone_serves_without_a_cross_zone_budget() {
    let mut harness = SchedulerHarness::new(settings(), 8);
    harness.grant([(BudgetKind::CrossZone, NONE)]);
    for n in 1..=12 {
        let sent = started_attempts(&harness.arrive(incoming_request(n, 0, 0, 5.0)));
        assert_eq!(sent.len(), 1);
        assert!((0..8)
            .step_by(2)
            .any(|near| replica_id(near) == sent[0].replica));
    }
}

/// A starting replica gets what the fleet's budget grants this router, scaled by how far it has warmed up.
#[test]
fn starting_replicas_get_what_the_budget_grants() {
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
    assert_eq!(sent(vec![(BudgetKind::SlowStart, NONE)]), 0);
    let (little, much) = (
        sent(vec![(
            BudgetKind::SlowStart,
            BudgetGrant { rate: 1.0, ..NONE },
        )]),
        sent(vec![(
            BudgetKind::SlowStart,
            BudgetGrant { rate: 8.0, ..NONE },
        )]),
    );
    // Ten seconds of a start of twenty, from a tenth of its capacity: a third of it in the mean.
    assert!(
        (1..=5).contains(&little) && (12..=34).contains(&much),
        "{little} {much}"
    );
}

/// Requests of a tenant count as within its quota by the fleet's budget for it, not by this router's even part.
#[test]
fn budget_of_a_tenant_decides_what_is_within_its_quota() {
    let kept = |budgets: Vec<(BudgetKind, BudgetGrant)>| {
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
        let full = harness.fill_capacity();
        harness.grant(budgets);
        harness.advance(1.5);
        for n in 1..=30 {
            harness.arrive(incoming_request(n, 0, 0, 20.0));
        }
        // What is beyond the quota is dispatched after it.
        harness.arrive(incoming_request(99, 1, 1, 20.0));
        let ends =
            (1000..1000 + full).map(|n| harness.end_attempt(n, 0, AttemptOutcome::Completed, true));
        let order: Vec<u64> = ends
            .flat_map(|out| started_attempts(&out))
            .map(|attempt| attempt.request)
            .collect();
        order.iter().position(|n| *n == 99).unwrap_or(order.len())
    };
    let even = kept(vec![]);
    let (none, much) = (
        kept(vec![(BudgetKind::Tenant(0), NONE)]),
        kept(vec![(
            BudgetKind::Tenant(0),
            BudgetGrant {
                rate: 100.0,
                burst: 20.0,
                ..NONE
            },
        )]),
    );
    assert!(
        none <= 1 && (6..12).contains(&even) && much >= 18,
        "{none} {even} {much}"
    );
}

/// A grant of a part of a unit a second adds up.
#[test]
fn grants_below_one_unit_add_up() {
    let mut harness = SchedulerHarness::new(settings(), 40);
    harness.grant([(
        BudgetKind::Retries,
        BudgetGrant {
            rate: 0.1,
            burst: 0.0,
            guaranteed_burst: 1.0,
            ..NONE
        },
    )]);
    let made = retries(&mut harness, 1, 300);
    assert!((2..=3).contains(&made), "{made} in 30 s");
}

/// A process that stood still until its grant had expired wakes with a queue of retries: only what was saved within the
/// guaranteed burst goes out.
#[test]
fn queue_of_retries_after_a_long_stop_gets_the_guaranteed_burst() {
    let mut harness = SchedulerHarness::new(settings(), 40);
    harness.grant([(BudgetKind::Retries, budget(50.0, 50.0, 0.0, 1.0, 102.0))]);
    for n in 1..=30 {
        harness.arrive(incoming_request(n, 0, 0, 60.0));
    }
    harness.now += 20.0;
    let made: usize = (1..=30)
        .map(|n| {
            started_attempts(&harness.end_attempt(n, 0, AttemptOutcome::AtCapacity, false)).len()
        })
        .sum();
    assert!(made <= 1, "{made}");
}

/// The burst of one tenant takes nothing of another's budget, and what is beyond its own budget waits behind.
#[test]
fn burst_of_a_tenant_leaves_others_within_their_quotas() {
    let mut harness = SchedulerHarness::new(settings(), 8);
    let full = harness.fill_capacity();
    let each = BudgetGrant {
        rate: 10.0,
        burst: 10.0,
        ..NONE
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
        (1000..1000 + full).map(|n| harness.end_attempt(n, 0, AttemptOutcome::Completed, true));
    let order: Vec<u64> = ends
        .flat_map(|out| started_attempts(&out))
        .map(|attempt| attempt.request)
        .collect();
    let last = (101..=108)
        .filter_map(|n| order.iter().position(|request| *request == n))
        .max()
        .unwrap_or(usize::MAX);
    assert!(
        last < 20,
        "the eighth of the other tenant is dispatched at place {last} of {order:?}"
    );
}
