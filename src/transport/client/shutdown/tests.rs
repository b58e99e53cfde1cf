//! Tests of the shutdown's time limits, on a paused clock.

use super::*;
use tokio::time::advance;

/// The platform kills the process no earlier than this after the shutdown signal, if this is the longest deadline.
fn earliest_kill(deadline: Duration) -> Duration {
    deadline.min(MAX_COUNTED_DEADLINE) + KILL_ALLOWANCE
}

#[tokio::test(start_paused = true)]
async fn admits_requests_until_admission_ends_and_ignores_a_second_signal() {
    let shutdown = Shutdown::default();
    assert!(
        shutdown.admits_requests()
            && shutdown.elapsed().is_none()
            && shutdown.read_deadline().is_none()
    );
    shutdown.begin();
    advance(ADMISSION_DURATION - Duration::from_millis(1)).await;
    assert!(shutdown.admits_requests());
    shutdown.begin();
    advance(Duration::from_millis(1)).await;
    assert!(!shutdown.admits_requests());
    assert_eq!(shutdown.elapsed(), Some(ADMISSION_DURATION));
}

/// The last admitted request must have its response before the earliest kill, even if the process is suspended.
#[test]
fn last_admitted_request_ends_before_the_earliest_kill() {
    let suspension = Duration::from_millis(150);
    for deadline_ms in [150, 700, 1_000, 2_999, 3_000, 3_001, 12_000] {
        let deadline = Duration::from_millis(deadline_ms);
        let answered = (ADMISSION_DURATION + deadline).min(FINAL_RESPONSE_TIMEOUT) + suspension;
        assert!(answered < earliest_kill(deadline), "{deadline:?}");
    }
    assert!(ADMISSION_DURATION + suspension < KILL_ALLOWANCE);
}
