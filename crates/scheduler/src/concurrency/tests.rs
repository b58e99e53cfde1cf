//! Unit tests of the concurrency limit.

use super::{ConcurrencyLimit, FirstTokenTiming};

const ROUTERS: usize = 4;

fn limit_for(warm_replicas: usize) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::new();
    limit.observe_available(warm_replicas, ROUTERS);
    limit.resize(warm_replicas, ROUTERS);
    limit
}

#[test]
fn limit_scales_with_the_number_of_warm_replicas() {
    let mut limit = limit_for(8);
    assert_eq!(limit.limit(), 16.0);
    limit.resize(4, ROUTERS);
    assert_eq!(limit.limit(), 8.0);
    limit.resize(0, ROUTERS);
    assert_eq!(limit.limit(), 8.0);
}

#[test]
fn limit_grows_by_requests_until_its_first_reduction_and_by_a_factor_afterwards() {
    let mut limit = limit_for(8);
    limit.record_first_token(FirstTokenTiming::Early, || 8);
    assert_eq!(limit.limit(), 17.0);
    limit.reduce();
    let after_reduction = limit.limit();
    assert!(after_reduction < 17.0);
    limit.record_first_token(FirstTokenTiming::Early, || 17);
    assert!(limit.limit() > after_reduction && limit.limit() < after_reduction + 1.0);
}

#[test]
fn limit_does_not_grow_while_less_than_half_is_used() {
    let mut limit = limit_for(8);
    limit.record_first_token(FirstTokenTiming::Early, || 7);
    limit.record_first_token(FirstTokenTiming::OnTime, || 16);
    assert_eq!(limit.limit(), 16.0);
}

#[test]
fn limit_never_falls_below_one_request() {
    let mut limit = limit_for(1);
    for _ in 0..1000 {
        limit.reduce();
    }
    assert_eq!(limit.limit(), 1.0);
    assert!(limit.has_free_slot(0, true));
    assert!(!limit.has_free_slot(1, false));
}

#[test]
fn first_token_is_late_only_if_it_took_longer_than_the_request_was_queued() {
    assert_eq!(
        FirstTokenTiming::classify(0.4, 1.0, 0.1),
        FirstTokenTiming::Late
    );
    assert_eq!(
        FirstTokenTiming::classify(0.4, 1.0, 0.5),
        FirstTokenTiming::OnTime
    );
    assert_eq!(
        FirstTokenTiming::classify(0.15, 1.0, 0.0),
        FirstTokenTiming::Early
    );
}

#[test]
fn feedback_is_sparse_with_more_routers_than_replicas() {
    assert!(limit_for(3).has_sparse_feedback());
    assert!(!limit_for(4).has_sparse_feedback());
}
