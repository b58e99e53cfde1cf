//! The times of a shutdown, with the runtime's clock fed.

use super::*;
use tokio::time::advance;

/// The platform kills no earlier than this after the order, for each deadline.
fn earliest_kill(deadline: Duration) -> Duration {
    deadline.min(LONGEST_DEADLINE) + ALLOWANCE
}

#[tokio::test(start_paused = true)]
async fn requests_are_admitted_until_admission_ends_and_a_second_order_changes_nothing() {
    let shutdown = Shutdown::default();
    assert!(shutdown.admits() && shutdown.elapsed().is_none() && shutdown.reading_ends().is_none());
    shutdown.order();
    advance(ADMISSION - Duration::from_millis(1)).await;
    assert!(shutdown.admits());
    shutdown.order();
    advance(Duration::from_millis(1)).await;
    assert!(!shutdown.admits());
    assert_eq!(shutdown.elapsed(), Some(ADMISSION));
}

/// Whatever is admitted last has its answer before the earliest kill, also by a process that is held up.
#[test]
fn what_is_admitted_last_is_over_before_the_earliest_kill() {
    let held_up = Duration::from_millis(150);
    for deadline_ms in [150, 700, 1_000, 2_999, 3_000, 3_001, 12_000] {
        let deadline = Duration::from_millis(deadline_ms);
        let answered = (ADMISSION + deadline).min(FINAL_ANSWERS) + held_up;
        assert!(answered < earliest_kill(deadline), "{deadline:?}");
    }
    assert!(ADMISSION + held_up < ALLOWANCE);
}
