//! Conditions that are checked before each step of a future, not only at its start or when a timer fires.
//!
//! A decision may be out of date when its effect happens: a connection is established late, or the process was suspended.
//! With a usual timeout, a future that becomes ready makes one more step even if its deadline has passed meanwhile. Where such
//! a step has an effect that must not happen late, such as the write of a request, the condition is checked again before it.

use super::clock::Clock;
use crate::routing::MonotonicMicros;
use std::future::Future;
use std::pin::pin;
use std::task::Poll;

/// Runs a future while it is allowed to go on, which is checked before each of its steps. Returns `None` if it is not; the
/// future is then dropped. Nothing wakes a waiting future when it is no longer allowed.
pub async fn run_while<F: Future>(
    mut is_allowed: impl FnMut() -> bool,
    future: F,
) -> Option<F::Output> {
    let mut future = pin!(future);
    std::future::poll_fn(|context| {
        if !is_allowed() {
            return Poll::Ready(None);
        }
        future.as_mut().poll(context).map(Some)
    })
    .await
}

/// Runs a future until a deadline. Returns `None` if the future is not complete by then; it is then dropped, and no step of it
/// has begun after the deadline.
pub async fn run_until<F: Future>(
    clock: Clock,
    deadline: MonotonicMicros,
    future: F,
) -> Option<F::Output> {
    let in_time = run_while(|| clock.now() <= deadline, future);
    let limited = tokio::time::timeout_at(clock.instant(deadline), in_time);
    limited.await.ok().flatten()
}

#[cfg(test)]
mod tests;
