//! Actions that the scheduler returns to the embedding program.

use super::{ReplicaId, RequestId, Seconds};

/// An action for the embedding program. Actions must be carried out in the order in which they were appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from zero in the order of these actions.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The replica that gets the attempt.
        replica: ReplicaId,
        /// The attempt times out if no first token arrives within this time.
        timeout: Seconds,
    },
    /// Final answer: reject the request. The client can retry it safely.
    Reject {
        /// The request.
        request: RequestId,
        /// Seconds after which the client should retry.
        retry_after: Seconds,
    },
    /// Final answer: the request has failed and may have had an effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt that has had no first token.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: usize,
    },
    /// Probe a replica for its health and load report.
    Probe {
        /// The replica.
        replica: ReplicaId,
    },
    /// Poll the endpoint list and watch it for changes.
    WatchEndpoints,
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after a delay.
    SetTimer {
        /// Delay from now.
        after: Seconds,
    },
}
