//! Runs of the emulator: reproducible results, invariants under faults, and the effects of faults.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_testbed::emulator::description::{
    ClassDescription, FaultDescription, FaultKind, RepeatSafety, RunDescription, TenantDescription,
};
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::{RunOutcome, Simulation, Tally};
use proptest::prelude::*;

const FAULT_KINDS: [FaultKind; 12] = [
    FaultKind::Die,
    FaultKind::Silent,
    FaultKind::FailFast,
    FaultKind::Stall,
    FaultKind::Slow,
    FaultKind::ColdRestart,
    FaultKind::ZoneCut,
    FaultKind::LateReports,
    FaultKind::Burst,
    FaultKind::NoList,
    FaultKind::NodeKill,
    FaultKind::Deploys,
];

fn fault(what: FaultKind, at_s: f64, for_s: f64, part: f64, size: f64) -> FaultDescription {
    FaultDescription {
        what,
        at_s,
        for_s,
        part,
        size,
        zone: 0,
        tenant: 0,
    }
}

fn run_description(
    servers: usize,
    per_server: f64,
    seconds: f64,
    faults: Vec<FaultDescription>,
) -> RunDescription {
    let mut run = RunDescription {
        fault: faults,
        ..RunDescription::default()
    };
    (run.fleet.servers, run.load.per_server, run.load.seconds) = (servers, per_server, seconds);
    run.check().unwrap()
}

fn simulate(run: &RunDescription, policy: Policy, seed: u64) -> RunOutcome {
    Simulation::new(run, policy, seed)
        .unwrap()
        .finish()
        .unwrap()
}

#[test]
fn equal_seeds_give_identical_bytes_and_different_seeds_do_not() {
    let run = run_description(
        9,
        7.0,
        12.0,
        vec![
            fault(FaultKind::Die, 4.0, 3.0, 0.3, 1.0),
            fault(FaultKind::Deploys, 6.0, 4.0, 0.2, 1.0),
        ],
    );
    for policy in Policy::ALL {
        let bytes = |seed| serde_json::to_vec(&simulate(&run, policy, seed)).unwrap();
        assert_eq!(bytes(3), bytes(3), "{policy}");
        assert_ne!(bytes(3), bytes(4), "{policy}");
    }
}

#[test]
fn every_request_ends_and_a_moderate_load_is_served() {
    let run = run_description(6, 4.0, 20.0, vec![]);
    for policy in Policy::ALL {
        let outcome = simulate(&run, policy, 1);
        assert!(
            outcome.all.request_count() > 400,
            "{policy}: {:?}",
            outcome.all
        );
        assert_eq!(
            outcome.all.request_count(),
            outcome.series.iter().map(Tally::request_count).sum::<u64>()
        );
        assert_eq!(outcome.broken.sum(), 0, "{policy}: {:?}", outcome.broken);
        assert!(
            outcome.all.served_fraction() > 0.9,
            "{policy}: {:?}",
            outcome.all
        );
        assert!(
            outcome.gaps.count > 10_000 && outcome.prompt.cached > 0,
            "{policy}: {:?} {:?}",
            outcome.gaps,
            outcome.prompt
        );
    }
}

#[test]
fn overloaded_fleet_serves_a_part_and_bounds_open_submissions() {
    // The load is about three times the capacity, and rejected clients retry.
    let run = run_description(4, 40.0, 20.0, vec![]);
    let mut simulation = Simulation::new(&run, Policy::Poppykeel, 1).unwrap();
    let mut max_open = 0;
    while simulation.process_events(10_000) {
        max_open = max_open.max(simulation.open_submission_count());
    }
    assert!(
        max_open < 4000,
        "{max_open} submissions open at once, of 160 requests per second"
    );
    let outcome = simulate(&run, Policy::Poppykeel, 1);
    assert_eq!(outcome.broken.sum(), 0, "{:?}", outcome.broken);
    assert!(
        outcome.all.served_fraction() > 0.1 && outcome.all.served_fraction() < 0.7,
        "{:?}",
        outcome.all
    );
}

#[test]
fn faults_reduce_service_and_the_fleet_recovers() {
    let without_fault = simulate(
        &run_description(8, 6.0, 48.0, vec![]),
        Policy::RoundRobin,
        2,
    )
    .all
    .served_fraction();
    for what in [
        FaultKind::Die,
        FaultKind::Silent,
        FaultKind::FailFast,
        FaultKind::Stall,
        FaultKind::Slow,
        FaultKind::ZoneCut,
        FaultKind::NodeKill,
    ] {
        let run = run_description(8, 6.0, 48.0, vec![fault(what, 8.0, 6.0, 0.5, 1.9)]);
        let outcome = simulate(&run, Policy::RoundRobin, 2);
        assert!(
            outcome.all.served_fraction() < without_fault - 0.005,
            "{what:?}: {} of {without_fault}",
            outcome.all.served_fraction()
        );
        // The last eight seconds are long after the fault and its after-effects.
        let last_slices = &outcome.series[100..];
        let offered: f64 = last_slices.iter().map(|tally| tally.offered).sum();
        let gained: f64 = last_slices.iter().map(|tally| tally.gained).sum();
        assert!(
            gained / offered > 0.85,
            "{what:?}: {} at the end",
            gained / offered
        );
    }
}

#[test]
fn classes_and_tenants_are_counted_and_unsafe_requests_run_once() {
    let mut run = run_description(
        4,
        12.0,
        15.0,
        vec![
            fault(FaultKind::FailFast, 3.0, 4.0, 0.5, 1.0),
            fault(FaultKind::Silent, 9.0, 4.0, 0.5, 1.0),
        ],
    );
    let class = |name: &str, part, repeats| ClassDescription {
        name: name.into(),
        part,
        repeats,
        ..ClassDescription::default()
    };
    run.class = vec![
        class("chat", 2.0, RepeatSafety::Safe),
        class("order", 1.0, RepeatSafety::Unsafe),
    ];
    let tenant = |name: &str, part| TenantDescription {
        name: name.into(),
        part,
        share: 1.0,
    };
    run.tenant = vec![tenant("small", 1.0), tenant("large", 4.0)];
    for policy in Policy::ALL {
        let outcome = simulate(&run, policy, 5);
        assert_eq!(outcome.broken.sum(), 0, "{policy}: {:?}", outcome.broken);
        let request_counts = |groups: &[(String, Tally)]| {
            groups
                .iter()
                .map(|(_, tally)| tally.request_count())
                .collect::<Vec<_>>()
        };
        let (classes, tenants) = (
            request_counts(&outcome.classes),
            request_counts(&outcome.tenants),
        );
        assert!(
            classes[0] > classes[1] && tenants[1] > 3 * tenants[0],
            "{classes:?} {tenants:?}"
        );
        assert_eq!(classes.iter().sum::<u64>(), outcome.all.request_count());
    }
}

/// Guards against a server that still counts as draining on a node after the drain has ended during an outage of the
/// list: the full list after the outage shows the server as available.
#[test]
fn drain_that_ends_during_a_list_outage_ends_with_the_next_list() {
    let faults = vec![
        fault(FaultKind::NoList, 4.0, 4.3, 0.0, 0.2),
        fault(FaultKind::Deploys, 2.1, 0.0, 0.0, 2.4),
    ];
    let run = run_description(1, 1.0, 8.0, faults);
    for (policy, seed) in Policy::ALL.into_iter().zip(1..) {
        assert_eq!(simulate(&run, policy, seed).broken.sum(), 0, "{policy}");
    }
}

fn any_fault() -> impl Strategy<Value = FaultDescription> {
    (
        0..FAULT_KINDS.len(),
        0.0..5.0f64,
        0.0..5.0f64,
        0.0..=1.0f64,
        0.2..3.0f64,
    )
        .prop_map(|(what, at, span, part, size)| fault(FAULT_KINDS[what], at, span, part, size))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under any combination of faults every request has one final outcome, no request that must run once runs twice,
    /// and no node sends to a draining server after the drain grace.
    #[test]
    fn invariants_hold_under_random_faults(
        faults in prop::collection::vec(any_fault(), 0..4),
        policy in 0..Policy::ALL.len(),
        servers in 1..7usize,
        nodes in 1..4usize,
        load in 1.0..25.0f64,
        hedging in any::<bool>(),
        is_unsafe in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut run = run_description(servers, load, 8.0, faults);
        (run.fleet.nodes, run.fleet.second_copies, run.load.retries) = (nodes, hedging, 2);
        if is_unsafe {
            run.class[0].repeats = RepeatSafety::Unsafe;
        }
        let outcome = simulate(&run, Policy::ALL[policy], seed);
        prop_assert_eq!(outcome.broken.sum(), 0, "{:?}", outcome.broken);
        prop_assert_eq!(outcome.all.request_count(), outcome.series.iter().map(Tally::request_count).sum::<u64>());
    }
}
