//! The concurrency limit alone.

use super::{ConcurrencyLimit, Promptness};

const ROUTERS: usize = 4;

fn limit_for(warm_replicas: usize) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::new();
    limit.observe_available(warm_replicas, ROUTERS);
    limit.resize(warm_replicas, ROUTERS);
    limit
}

#[test]
fn limit_keeps_its_part_for_each_warm_replica() {
    let mut limit = limit_for(8);
    assert_eq!(limit.limit(), 16.0);
    limit.resize(4, ROUTERS);
    assert_eq!(limit.limit(), 8.0);
    limit.resize(0, ROUTERS);
    assert_eq!(limit.limit(), 8.0);
}

#[test]
fn limit_grows_by_requests_until_its_first_cut_and_by_a_factor_then() {
    let mut limit = limit_for(8);
    limit.record_first_token(Promptness::Early, || 8);
    assert_eq!(limit.limit(), 17.0);
    limit.cut();
    let after_cut = limit.limit();
    assert!(after_cut < 17.0);
    limit.record_first_token(Promptness::Early, || 17);
    assert!(limit.limit() > after_cut && limit.limit() < after_cut + 1.0);
}

#[test]
fn limit_does_not_grow_while_less_than_half_is_used() {
    let mut limit = limit_for(8);
    limit.record_first_token(Promptness::Early, || 7);
    limit.record_first_token(Promptness::InTime, || 16);
    assert_eq!(limit.limit(), 16.0);
}

#[test]
fn limit_never_falls_below_one_request() {
    let mut limit = limit_for(1);
    for _ in 0..1000 {
        limit.cut();
    }
    assert_eq!(limit.limit(), 1.0);
    assert!(limit.has_free_slot(0, true));
    assert!(!limit.has_free_slot(1, false));
}

#[test]
fn first_token_is_late_only_if_it_took_longer_than_the_request_waited() {
    assert_eq!(Promptness::of(0.4, 1.0, 0.1), Promptness::Late);
    assert_eq!(Promptness::of(0.4, 1.0, 0.5), Promptness::InTime);
    assert_eq!(Promptness::of(0.15, 1.0, 0.0), Promptness::Early);
}

#[test]
fn feedback_is_sparse_with_more_routers_than_replicas() {
    assert!(limit_for(3).has_sparse_feedback());
    assert!(!limit_for(4).has_sparse_feedback());
}
