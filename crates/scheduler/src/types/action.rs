//! What the scheduler asks the embedding program to do.

use super::{ReplicaId, RequestId, Seconds};

/// What a router is to do. Actions are carried out in the order in which they were appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Attempts of a request count from zero, in the order of these actions.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where the attempt goes.
        replica: ReplicaId,
        /// The attempt has timed out if its first token has not come after this long.
        timeout: Seconds,
    },
    /// Final answer: the request is rejected, and a retry by the client does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should come again.
        retry_after: Seconds,
    },
    /// Final answer: the request has failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for one attempt that has had no first token.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: usize,
    },
    /// Ask a replica for its health and its load report.
    Probe {
        /// The replica.
        replica: ReplicaId,
    },
    /// Ask for the endpoint list and for its changes from now on.
    WatchEndpoints,
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after this long.
    SetTimer {
        /// From now.
        after: Seconds,
    },
}
