//! Order and cancellation of timers.

use super::{Timer, TimerQueue};
use crate::routing::AttemptId;
use poppykeel_scheduler::RequestId;

fn deadline_of(request: u64) -> Timer {
    Timer::AttemptDeadline(AttemptId {
        request: RequestId(request),
        attempt: 0,
    })
}

#[test]
fn timers_run_by_time_and_the_scheduler_before_deadlines_of_the_same_time() {
    let mut timers = TimerQueue::default();
    timers.set(20, deadline_of(1));
    timers.set(10, deadline_of(3));
    timers.set(10, deadline_of(2));
    timers.set(10, Timer::SchedulerWakeup);
    timers.set(10, Timer::SchedulerWakeup);
    assert_eq!(timers.next_due(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    assert_eq!(timers.pop_due(15), Some(Timer::SchedulerWakeup));
    assert_eq!(timers.pop_due(15), Some(deadline_of(2)));
    assert_eq!(timers.pop_due(15), Some(deadline_of(3)));
    assert_eq!(timers.pop_due(15), None);
    assert_eq!(timers.next_due(), Some(20));
}

#[test]
fn a_cancelled_timer_does_not_run() {
    let mut timers = TimerQueue::default();
    timers.set(10, deadline_of(1));
    timers.cancel(11, deadline_of(1));
    assert_eq!(timers.next_due(), Some(10));
    timers.cancel(10, deadline_of(1));
    assert_eq!(timers.pop_due(100), None);
}
