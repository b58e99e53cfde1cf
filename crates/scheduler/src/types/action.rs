//! Actions that the scheduler returns to the embedding program.

use super::{ReplicaId, RequestId, Seconds};

/// An action for the embedding program. Actions must be carried out in the order in which they were appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt at a replica. The attempts of a request are numbered from zero in the order of these actions.
    StartAttempt {
        /// The request that is sent.
        request: RequestId,
        /// The replica that gets the attempt.
        replica: ReplicaId,
        /// Time from now until the attempt must be ended as timed out if no first token has arrived.
        timeout: Seconds,
        /// Time from now until the last byte of the attempt must be written; `None` for no limit. An attempt that is not
        /// written in time must be ended as not sent: replicas might no longer recognise it as a repeat of another attempt.
        write_timeout: Option<Seconds>,
    },
    /// Answer the client that the request is rejected. The client can retry it without a second effect.
    Reject {
        /// The request, which gets no further attempts.
        request: RequestId,
        /// Time after which the client should retry; at most [`SiteLimits::max_retry_after`](super::SiteLimits).
        retry_after: Seconds,
    },
    /// Answer the client that the request has failed. A replica may have run it.
    Fail {
        /// The request, which gets no further attempts.
        request: RequestId,
    },
    /// Cancel an attempt that has had no first token.
    CancelAttempt {
        /// The request to which the attempt belongs.
        request: RequestId,
        /// The attempt's number within the request, from zero.
        attempt: usize,
    },
    /// Probe a replica for its health and load report.
    Probe {
        /// The replica, whose answer or failure to answer is returned as [`Event::ProbeEnded`](super::Event::ProbeEnded).
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
