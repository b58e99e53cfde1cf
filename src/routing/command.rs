//! What the router has its driver do.

use super::time::{DurationMicros, MonotonicMicros};
use poppykeel_scheduler::{ReplicaId, RequestId};

/// Something that the router's driver must do now. Commands are carried out in the order in which they come.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterCommand {
    /// Send a request to a replica.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: usize,
        /// The replica.
        replica: ReplicaId,
        /// The first token must have come by this time; then the router abandons the attempt.
        deadline: MonotonicMicros,
    },
    /// Close the connection of an attempt. The router ignores what the attempt still reports.
    AbandonAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: usize,
    },
    /// Pass the stream of this attempt to the client as the response.
    BindStream {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: usize,
    },
    /// Reject the request.
    Reject {
        /// The request.
        request: RequestId,
        /// After this time the client may retry.
        retry_after: DurationMicros,
    },
    /// Tell the client that its request has failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask a replica for its load report or its health.
    Probe {
        /// The replica.
        replica: ReplicaId,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
}
