//! Unit tests of the strict timeout.

use super::run_until;
use crate::routing::MonotonicMicros;
use crate::transport::clock::Clock;
use std::cell::Cell;
use std::time::Duration;

const MICROS_PER_MILLI: MonotonicMicros = 1_000;

/// Guards against an effect after its deadline: a usual timeout lets a future that has become ready make a step although the
/// process stood still past the deadline.
#[tokio::test]
async fn makes_no_step_after_the_deadline_even_if_the_future_is_ready() {
    let clock = Clock::start();
    let deadline = clock.now() + 20 * MICROS_PER_MILLI;
    let has_written = Cell::new(false);
    let effect = async {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        sender.send(()).unwrap();
        // The future is woken at once, but its next step comes after the thread has stood still.
        tokio::task::yield_now().await;
        receiver.await.unwrap();
        has_written.set(true);
    };
    let stall = async {
        while clock.now() <= deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    let (outcome, ()) = tokio::join!(run_until(clock, deadline, effect), stall);
    assert_eq!((outcome, has_written.get()), (None, false));
}

#[tokio::test]
async fn ends_a_future_that_is_never_ready() {
    let clock = Clock::start();
    let deadline = clock.now() + 20 * MICROS_PER_MILLI;
    let never = std::future::pending::<()>();
    assert_eq!(run_until(clock, deadline, never).await, None);
}

#[tokio::test]
async fn returns_the_output_in_time() {
    let outcome = run_until(Clock::start(), MonotonicMicros::MAX / 2, async { 5 }).await;
    assert_eq!(outcome, Some(5));
}
