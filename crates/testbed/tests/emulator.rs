//! Runs of the emulator: the same bytes for the same seed, the rules under whatever goes wrong, and what faults do.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::redundant_closure_for_method_calls,
    reason = "not yet converted"
)]

use poppykeel_testbed::emulator::description::{
    ClassDescription, FaultDescription, FaultKind, RepeatSafety, RunDescription, TenantDescription,
};
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::{RunOutcome, Simulation};
use proptest::prelude::*;

const WHATS: [FaultKind; 12] = [
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

fn run(
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

fn play(run: &RunDescription, policy: Policy, seed: u64) -> RunOutcome {
    Simulation::new(run, policy, seed)
        .unwrap()
        .finish()
        .unwrap()
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_one_others() {
    let run = run(
        9,
        7.0,
        12.0,
        vec![
            fault(FaultKind::Die, 4.0, 3.0, 0.3, 1.0),
            fault(FaultKind::Deploys, 6.0, 4.0, 0.2, 1.0),
        ],
    );
    for policy in Policy::ALL {
        let bytes = |seed| serde_json::to_vec(&play(&run, policy, seed)).unwrap();
        assert_eq!(bytes(3), bytes(3), "{policy}");
        assert_ne!(bytes(3), bytes(4), "{policy}");
    }
}

#[test]
fn all_that_is_offered_ends_and_a_calm_day_is_served() {
    let run = run(6, 4.0, 20.0, vec![]);
    for policy in Policy::ALL {
        let out = play(&run, policy, 1);
        assert!(out.all.request_count() > 400, "{policy}: {:?}", out.all);
        assert_eq!(
            out.all.request_count(),
            out.series.iter().map(|t| t.request_count()).sum::<u64>()
        );
        assert_eq!(out.broken.sum(), 0, "{policy}: {:?}", out.broken);
        assert!(out.all.served_fraction() > 0.9, "{policy}: {:?}", out.all);
        assert!(
            out.gaps.count > 10_000 && out.prompt.cached > 0,
            "{policy}: {:?} {:?}",
            out.gaps,
            out.prompt
        );
    }
}

#[test]
fn an_overloaded_fleet_serves_what_it_can_and_holds_no_more_for_it() {
    // Three times what it bears, and with refusals that come back.
    let run = run(4, 40.0, 20.0, vec![]);
    let mut world = Simulation::new(&run, Policy::Poppykeel, 1).unwrap();
    let mut most = 0;
    while world.process_events(10_000) {
        most = most.max(world.open_submission_count());
    }
    assert!(most < 4000, "{most} tries held at once, of 160 a second");
    let out = play(&run, Policy::Poppykeel, 1);
    assert_eq!(out.broken.sum(), 0, "{:?}", out.broken);
    assert!(
        out.all.served_fraction() > 0.1 && out.all.served_fraction() < 0.7,
        "{:?}",
        out.all
    );
}

#[test]
fn each_fault_costs_what_it_should_and_ends() {
    let calm = play(&run(8, 6.0, 48.0, vec![]), Policy::RoundRobin, 2)
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
        let run = run(8, 6.0, 48.0, vec![fault(what, 8.0, 6.0, 0.5, 1.9)]);
        let out = play(&run, Policy::RoundRobin, 2);
        assert!(
            out.all.served_fraction() < calm - 0.005,
            "{what:?}: {} of {calm}",
            out.all.served_fraction()
        );
        // The last eight seconds are long after it, and after what it left behind.
        let late = out.series[100..]
            .iter()
            .fold((0.0, 0.0), |s, t| (s.0 + t.offered, s.1 + t.gained));
        assert!(
            late.1 / late.0 > 0.85,
            "{what:?}: {} at the end",
            late.1 / late.0
        );
    }
}

#[test]
fn tenants_and_classes_are_told_apart_and_an_unsafe_one_runs_once() {
    let mut run = run(
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
        let out = play(&run, policy, 5);
        assert_eq!(out.broken.sum(), 0, "{policy}: {:?}", out.broken);
        let of = |groups: &[(String, poppykeel_testbed::emulator::Tally)]| {
            groups
                .iter()
                .map(|g| g.1.request_count())
                .collect::<Vec<_>>()
        };
        let (classes, tenants) = (of(&out.classes), of(&out.tenants));
        assert!(
            classes[0] > classes[1] && tenants[1] > 3 * tenants[0],
            "{classes:?} {tenants:?}"
        );
        assert_eq!(classes.iter().sum::<u64>(), out.all.request_count());
    }
}

/// Guards against a drain that counts as known after the whole list has said that it is over.
#[test]
fn a_drain_that_ends_while_there_is_no_list_ends_with_the_next_one() {
    let faults = vec![
        fault(FaultKind::NoList, 4.0, 4.3, 0.0, 0.2),
        fault(FaultKind::Deploys, 2.1, 0.0, 0.0, 2.4),
    ];
    let run = run(1, 1.0, 8.0, faults);
    for (policy, seed) in Policy::ALL.into_iter().zip(1..) {
        assert_eq!(play(&run, policy, seed).broken.sum(), 0, "{policy}");
    }
}

fn any_fault() -> impl Strategy<Value = FaultDescription> {
    (
        0..WHATS.len(),
        0.0..5.0f64,
        0.0..5.0f64,
        0.0..=1.0f64,
        0.2..3.0f64,
    )
        .prop_map(|(what, at, span, part, size)| fault(WHATS[what], at, span, part, size))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever goes wrong together, every request has one final outcome, none that forbids it runs twice, and no
    /// node sends to a server whose drain it has known for longer than it may.
    #[test]
    fn the_rules_hold(
        faults in prop::collection::vec(any_fault(), 0..4),
        policy in 0..Policy::ALL.len(),
        servers in 1..7usize,
        nodes in 1..4usize,
        load in 1.0..25.0f64,
        copies in any::<bool>(),
        unsafe_too in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut run = run(servers, load, 8.0, faults);
        (run.fleet.nodes, run.fleet.second_copies, run.load.retries) = (nodes, copies, 2);
        if unsafe_too {
            run.class[0].repeats = RepeatSafety::Unsafe;
        }
        let out = play(&run, Policy::ALL[policy], seed);
        prop_assert_eq!(out.broken.sum(), 0, "{:?}", out.broken);
        prop_assert_eq!(out.all.request_count(), out.series.iter().map(|t| t.request_count()).sum::<u64>());
    }
}
