//! Unit tests of the limit on remembered ids.

use super::{ExecutedRequests, MAX_IDS};
use poppykeel_scheduler::RequestId;

#[test]
fn forgets_the_oldest_id_at_the_limit() {
    let mut executed = ExecutedRequests::default();
    for id in 0..=MAX_IDS as u64 {
        executed.add(RequestId(id));
        executed.add(RequestId(id));
    }
    assert!(!executed.contains(RequestId(0)));
    assert!(executed.contains(RequestId(1)));
    assert_eq!(executed.by_age.len(), MAX_IDS);
}
