//! Example-based tests, in simulated time, of changes that the registry delays: sudden losses and flapping records.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_endpoints::{
    EndpointRegistry, EndpointStatus, ListedEndpoint, ListedState, SourceUpdate,
};
use support::{
    endpoint_with_id, listed_ids, listed_targets, two_sources, usable_numbers, LIST, MINUTE,
    SECOND, SRV,
};

#[test]
fn empty_list_is_applied_only_after_hold_time_and_enough_answers() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets(1..=4));
    registry.apply_update(SECOND, SRV, listed_targets([]));
    assert_eq!(usable_numbers(&registry), [1, 2, 3, 4]);
    assert!(registry
        .endpoints()
        .iter()
        .all(|endpoint| endpoint.status == EndpointStatus::Held));
    assert!(registry
        .status_reason(&registry.endpoints()[0])
        .contains("consecutive answers without it: 1)"));
    // Failed lookups during the hold time do not confirm the loss.
    for n in 2..60 {
        registry.apply_update(n * SECOND, SRV, SourceUpdate::Failed);
    }
    assert_eq!(usable_numbers(&registry).len(), 4);
    // Neither the hold time alone nor enough answers alone confirm the loss.
    registry.apply_update(60 * SECOND, SRV, listed_targets([]));
    assert_eq!(usable_numbers(&registry).len(), 4);
    registry.apply_update(61 * SECOND, SRV, listed_targets([]));
    assert!(usable_numbers(&registry).is_empty());

    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets(1..=4));
    for n in 1..20 {
        registry.apply_update(n * SECOND, SRV, listed_targets([]));
    }
    assert_eq!(usable_numbers(&registry).len(), 4);
    // Two endpoints return, which leaves a loss too small to be sudden: it is accepted immediately.
    registry.apply_update(20 * SECOND, SRV, listed_targets([1, 2]));
    let held_count = registry
        .endpoints()
        .iter()
        .filter(|endpoint| endpoint.status == EndpointStatus::Held)
        .count();
    assert_eq!(
        (usable_numbers(&registry).len(), held_count),
        (2, 0),
        "a loss of two of four endpoints is not sudden"
    );
}

#[test]
fn many_small_losses_are_held_like_a_large_one() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets(0..20));
    for n in 1..20_u16 {
        registry.apply_update(u64::from(n) * SECOND, SRV, listed_targets(n..20));
    }
    assert_eq!(usable_numbers(&registry).len(), 10);
    // Explicit drains take effect immediately, regardless of their number.
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, LIST, listed_ids(0..20));
    let drains = (0..20)
        .map(|n| ListedEndpoint {
            state: ListedState::Draining,
            ..endpoint_with_id(n)
        })
        .collect();
    registry.apply_update(1, LIST, SourceUpdate::Changes(drains));
    assert!(usable_numbers(&registry).is_empty());
}

#[test]
fn empty_change_list_confirms_a_sudden_loss() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, LIST, listed_ids(1..=4));
    registry.apply_update(SECOND, LIST, listed_ids([]));
    registry.apply_update(20 * SECOND, LIST, SourceUpdate::Changes(vec![]));
    assert_eq!(usable_numbers(&registry).len(), 4);
    registry.apply_update(40 * SECOND, LIST, SourceUpdate::Changes(vec![]));
    assert!(usable_numbers(&registry).is_empty());
}

#[test]
fn flapping_records_are_suppressed_unless_the_whole_source_flaps() {
    let mut registry = EndpointRegistry::new(two_sources());
    registry.apply_update(0, SRV, listed_targets(0..10));
    let mut change_count = 0;
    for n in 1..=60_u64 {
        let lists_all = n % 2 == 0;
        change_count += registry
            .apply_update(
                n * SECOND,
                SRV,
                listed_targets(if lists_all { 0..10 } else { 1..10 }),
            )
            .len();
        change_count += registry.on_timer(n * SECOND + SECOND / 2).len();
    }
    assert!(change_count <= 8, "{change_count} changes for 60 flaps");
    assert_eq!(usable_numbers(&registry), (1..10).collect::<Vec<_>>());
    // Once listed steadily, the endpoint returns to service when its suppression ends.
    let released_at = registry.next_timer().unwrap();
    assert!(released_at > 60 * SECOND && released_at <= 60 * SECOND + 5 * MINUTE);
    assert_eq!(registry.on_timer(released_at).len(), 1);
    assert_eq!(usable_numbers(&registry).len(), 10);
    // It keeps its name, so learned state still applies to it.
    assert!(registry
        .endpoints()
        .iter()
        .any(|endpoint| endpoint.name == "t0.example.test:8000@127.0.0.1:8000"));

    // A source that lists a different subset in each answer is not flapping: no endpoint is suppressed.
    let mut registry = EndpointRegistry::new(two_sources());
    for n in 0..40_u64 {
        let first = (n % 2) as u16 * 2;
        registry.apply_update(n * SECOND, SRV, listed_targets(first..first + 8));
        assert!(usable_numbers(&registry).len() >= 8);
    }
}
