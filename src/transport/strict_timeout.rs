//! A timeout that is checked before each step of a future, not only when a timer fires.
//!
//! With a usual timeout, a future that becomes ready makes one more step even if its deadline has passed meanwhile: the
//! process may have been suspended, or a connection may have been established while other tasks ran. Where such a step has an
//! effect that must not happen late, such as the write of a request, the clock decides.

use super::clock::Clock;
use crate::routing::MonotonicMicros;
use std::future::Future;
use std::pin::pin;
use std::task::Poll;

/// Runs a future until a deadline. Returns `None` if the future is not complete by then; it is then dropped, and no step of it
/// has begun after the deadline.
pub async fn run_until<F: Future>(
    clock: Clock,
    deadline: MonotonicMicros,
    future: F,
) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut timer = pin!(tokio::time::sleep_until(clock.instant(deadline)));
    std::future::poll_fn(|context| {
        if clock.now() > deadline {
            return Poll::Ready(None);
        }
        if let Poll::Ready(output) = future.as_mut().poll(context) {
            return Poll::Ready(Some(output));
        }
        timer.as_mut().poll(context).map(|()| None)
    })
    .await
}

#[cfg(test)]
mod tests;
