//! Example-based tests of endpoint identity: which listings of several sources are the same endpoint.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_endpoints::{
    EndpointRegistry, EndpointStatus, ListedEndpoint, ListedState, SourceUpdate,
};
use support::{
    dns_target, endpoint_addr, endpoint_with_id, listed_ids, listed_targets, state_change,
    two_sources, usable_numbers, LIST, SRV,
};

#[test]
fn endpoint_in_two_sources_is_one_endpoint_named_by_its_id() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets([1, 2]));
    assert_eq!(
        registry.endpoints()[0].name,
        "t1.example.test:8001@127.0.0.1:8001"
    );
    let changes = registry.apply_update(1, LIST, listed_ids([1]));
    assert_eq!(
        changes.len(),
        2,
        "removed under its DNS name, added under its id: {changes:?}"
    );
    let endpoints = registry.endpoints();
    let one = endpoints
        .iter()
        .find(|endpoint| endpoint.name == "s-1")
        .unwrap();
    assert_eq!(
        (usable_numbers(&registry), one.priority),
        (vec![1, 2], Some(10))
    );
    assert_eq!(registry.source_verdicts(one).len(), 2);
}

#[test]
fn new_endpoint_at_a_reused_address_is_in_service_under_a_new_name() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, LIST, listed_ids([1, 2, 3]));
    registry.apply_update(0, SRV, listed_targets([1, 2, 3]));
    registry.apply_update(1, LIST, state_change(1, ListedState::Removed));
    assert_eq!(usable_numbers(&registry), [2, 3]);
    let new = ListedEndpoint {
        name: "s-9".into(),
        ..endpoint_with_id(1)
    };
    registry.apply_update(2, LIST, SourceUpdate::Changes(vec![new]));
    assert_eq!(usable_numbers(&registry), [1, 2, 3]);
    assert!(registry
        .endpoints()
        .iter()
        .any(|endpoint| endpoint.name == "s-9" && endpoint.status == EndpointStatus::InService));
    // Only a new start reported by the list restores an endpoint that DNS has withdrawn.
    registry.apply_update(3, SRV, listed_targets([1, 3]));
    assert_eq!(usable_numbers(&registry), [1, 3]);
    registry.apply_update(4, LIST, state_change(2, ListedState::Available));
    assert_eq!(usable_numbers(&registry), [1, 3]);
    registry.apply_update(
        5,
        LIST,
        SourceUpdate::Changes(vec![ListedEndpoint {
            started_ms: 77,
            ..endpoint_with_id(2)
        }]),
    );
    assert_eq!(usable_numbers(&registry), [1, 2, 3]);
    // If only DNS lists an address and all of its names are replaced, it is a different endpoint.
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets([1, 2]));
    let renamed = ListedEndpoint {
        name: "new.example.test:8001".into(),
        ..dns_target(1)
    };
    let changes =
        registry.apply_update(1, SRV, SourceUpdate::FullList(vec![renamed, dns_target(2)]));
    let names: Vec<_> = changes
        .iter()
        .map(|endpoint| (endpoint.name.as_str(), endpoint.status))
        .collect();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(names.contains(&(
        "t1.example.test:8001@127.0.0.1:8001",
        EndpointStatus::OutOfService
    )));
    assert_eq!(usable_numbers(&registry), [1, 2]);
}

#[test]
fn two_dns_names_of_one_address_are_one_endpoint() {
    let mut registry = EndpointRegistry::new(two_sources());
    let second = ListedEndpoint {
        name: "alias.example.test:8001".into(),
        ..dns_target(1)
    };
    let changes = registry.apply_update(
        0,
        SRV,
        SourceUpdate::FullList(vec![dns_target(1), second.clone()]),
    );
    assert_eq!(changes.len(), 1, "{changes:?}");
    // Removing one of the names changes nothing.
    assert!(registry
        .apply_update(1, SRV, SourceUpdate::FullList(vec![second]))
        .is_empty());
    assert_eq!(usable_numbers(&registry), [1]);
}

#[test]
fn moved_dns_target_is_a_new_endpoint_and_moved_id_is_the_same_endpoint() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets([1, 2, 3]));
    let moved = ListedEndpoint {
        addr: endpoint_addr(7),
        ..dns_target(1)
    };
    let changes = registry.apply_update(
        1,
        SRV,
        SourceUpdate::FullList(vec![moved, dns_target(2), dns_target(3)]),
    );
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(usable_numbers(&registry), [2, 3, 7]);

    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, LIST, listed_ids([1]));
    registry.apply_update(0, SRV, listed_targets([1]));
    let changes = registry.apply_update(
        1,
        LIST,
        SourceUpdate::Changes(vec![ListedEndpoint {
            addr: endpoint_addr(7),
            ..endpoint_with_id(1)
        }]),
    );
    assert_eq!(changes[0].name, "s-1");
    // DNS still lists the previous address.
    assert_eq!(usable_numbers(&registry), [7]);
}
