//! Example-based tests of precedence in simulated time: drains and removals, failures, disagreement, priority standby.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_endpoints::{
    prevailing_verdict, AbsencePolicy, EndpointRegistry, EndpointStatus, ListedEndpoint,
    ListedState, RegistrySettings, SourceUpdate, SourceVerdict,
};
use support::{
    dns_target, endpoint_addr, listed_ids, listed_targets, state_change, two_sources,
    usable_numbers, LIST, MINUTE, SECOND, SRV,
};

#[test]
fn precedence_table_matches_the_documentation_and_combines_in_any_order() {
    let documentation = include_str!("../../../docs/membership.md");
    let verdict_of = |label: &str| {
        SourceVerdict::ALL
            .iter()
            .copied()
            .find(|verdict| verdict.label() == label)
    };
    let mut row_count = 0;
    for line in documentation.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, one, other, prevailing, status, _] = cells[..] else {
            continue;
        };
        let (Some(one), Some(other)) = (verdict_of(one), verdict_of(other)) else {
            continue;
        };
        assert_eq!(
            prevailing_verdict(one, other),
            verdict_of(prevailing).unwrap(),
            "{line}"
        );
        assert_eq!(
            prevailing_verdict(one, other).status().label(),
            status,
            "{line}"
        );
        row_count += 1;
    }
    assert_eq!(
        row_count,
        SourceVerdict::ALL.len() * SourceVerdict::ALL.len(),
        "the documentation has a row for every pair"
    );
    for first in SourceVerdict::ALL {
        assert_eq!(prevailing_verdict(first, first), first);
        for second in SourceVerdict::ALL {
            let first_two = prevailing_verdict(first, second);
            assert_eq!(first_two, prevailing_verdict(second, first));
            for third in SourceVerdict::ALL {
                let last_two = prevailing_verdict(second, third);
                assert_eq!(
                    prevailing_verdict(first_two, third),
                    prevailing_verdict(first, last_two)
                );
            }
        }
    }
}

#[test]
fn drained_endpoint_stays_out_of_service_while_dns_lists_it() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, LIST, listed_ids(1..=4));
    registry.apply_update(0, SRV, listed_targets(1..=4));
    registry.apply_update(SECOND, LIST, state_change(2, ListedState::Draining));
    assert_eq!(usable_numbers(&registry), [1, 3, 4]);
    for n in 0..300 {
        let now = 2 * SECOND + n * 2 * SECOND;
        registry.apply_update(now, SRV, listed_targets(1..=4));
        if n == 50 {
            registry.apply_update(now, LIST, state_change(2, ListedState::Removed));
        }
        if n == 100 {
            registry.apply_update(now, LIST, SourceUpdate::Failed);
        }
        if n == 150 {
            // A full list without the removed endpoint changes nothing.
            registry.apply_update(now, LIST, listed_ids([1, 3, 4]));
        }
        if n == 200 {
            // A new name of the address in DNS does not count as a new start of the endpoint.
            let renamed = ListedEndpoint {
                name: "other.example.test:8002".into(),
                ..dns_target(2)
            };
            registry.apply_update(
                now,
                SRV,
                SourceUpdate::FullList(vec![dns_target(1), renamed, dns_target(3), dns_target(4)]),
            );
        }
        assert_eq!(usable_numbers(&registry), [1, 3, 4], "at {n}");
    }
    let drained = registry
        .endpoints()
        .into_iter()
        .find(|endpoint| endpoint.listing.addr == endpoint_addr(2))
        .unwrap();
    assert!(
        registry.status_reason(&drained).contains("list removed it"),
        "{}",
        registry.status_reason(&drained)
    );
    // Only the list can restore the endpoint.
    registry.apply_update(20 * MINUTE, LIST, state_change(2, ListedState::Available));
    assert_eq!(usable_numbers(&registry), [1, 2, 3, 4]);
}

#[test]
fn failed_lookup_neither_removes_nor_restores_endpoints() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets([1, 2, 3]));
    registry.apply_update(0, LIST, listed_ids([1, 2, 3]));
    registry.apply_update(1, LIST, state_change(3, ListedState::Draining));
    for source in [SRV, LIST] {
        registry.apply_update(2, source, SourceUpdate::Failed);
    }
    registry.on_timer(365 * 24 * 60 * MINUTE);
    assert_eq!(usable_numbers(&registry), [1, 2]);
    let statuses: Vec<_> = registry
        .endpoints()
        .iter()
        .map(|endpoint| endpoint.status)
        .collect();
    assert_eq!(
        statuses,
        [
            EndpointStatus::Held,
            EndpointStatus::Held,
            EndpointStatus::Draining
        ]
    );
}

#[test]
fn sources_that_disagree_give_their_union_without_endpoints_that_either_removed() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, LIST, listed_ids([1, 2, 3]));
    registry.apply_update(0, SRV, listed_targets([2, 3, 4]));
    for n in 1..500 {
        registry.apply_update(n * SECOND, SRV, listed_targets([2, 3, 4]));
        registry.apply_update(n * SECOND, LIST, SourceUpdate::Changes(vec![]));
        assert_eq!(usable_numbers(&registry), [1, 2, 3, 4]);
    }
    let with_abstaining_srv = |mut settings: RegistrySettings| {
        settings.sources[SRV].absence_policy = AbsencePolicy::Abstains;
        settings
    };
    let mut abstaining = EndpointRegistry::new(with_abstaining_srv(two_sources()));
    for registry in [&mut registry, &mut abstaining] {
        registry.apply_update(600 * SECOND, LIST, listed_ids([1, 2, 3]));
        registry.apply_update(600 * SECOND, SRV, listed_targets([2, 3, 4]));
        registry.apply_update(601 * SECOND, SRV, listed_targets([3, 4]));
    }
    assert_eq!(
        (usable_numbers(&registry), usable_numbers(&abstaining)),
        (vec![1, 3, 4], vec![1, 2, 3, 4])
    );
}

#[test]
fn endpoints_with_a_higher_priority_number_are_standby_if_configured() {
    let backup = ListedEndpoint {
        priority: Some(20),
        ..dns_target(3)
    };
    let answer = || SourceUpdate::FullList(vec![dns_target(1), dns_target(2), backup.clone()]);
    let mut registry = EndpointRegistry::new(RegistrySettings {
        has_priority_standby: true,
        ..two_sources()
    });
    registry.apply_update(0, SRV, answer());
    assert_eq!(usable_numbers(&registry), [1, 2]);
    let drains = [1, 2].map(|n| ListedEndpoint {
        state: ListedState::Draining,
        ..dns_target(n)
    });
    registry.apply_update(
        1,
        SRV,
        SourceUpdate::FullList([drains.to_vec(), vec![backup.clone()]].concat()),
    );
    assert_eq!(usable_numbers(&registry), [3]);
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, answer());
    assert_eq!(usable_numbers(&registry), [1, 2, 3]);
}

#[test]
fn new_settings_keep_the_state_of_remaining_sources() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, LIST, listed_ids([1, 2]));
    registry.apply_update(0, SRV, listed_targets([1, 2, 3]));
    registry.apply_update(1, LIST, state_change(1, ListedState::Draining));
    let mut settings = two_sources();
    settings.sources.reverse();
    registry.update_settings(2, settings.clone());
    assert_eq!(usable_numbers(&registry), [2, 3]);
    settings.sources.truncate(1);
    registry.update_settings(3, settings);
    assert_eq!(
        usable_numbers(&registry),
        [1, 2, 3],
        "a source that is no longer configured has no influence"
    );
}
