//! Unit tests of the poll schedule.

use super::EndpointPoll;

#[test]
fn first_poll_is_spread_over_a_quarter_of_the_interval_up_to_a_bound() {
    let mut poll = EndpointPoll::default();
    assert!(!poll.take_due(1e9));
    poll.schedule_first(100.0, 8.0, 0.5);
    assert!(!poll.take_due(100.9));
    assert!(poll.take_due(101.0));
    assert!(!poll.take_due(200.0));
    poll.schedule_first(100.0, 60.0, 1.0);
    assert!(poll.take_due(103.0));
}

#[test]
fn retry_is_due_within_its_interval_for_any_spread() {
    let mut poll = EndpointPoll::default();
    poll.schedule_retry(10.0, 0.0);
    assert!(!poll.take_due(10.18));
    assert!(poll.take_due(10.19));
    poll.schedule_retry(10.0, 1.0);
    assert!(poll.take_due(11.84));
}
