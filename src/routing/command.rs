//! Commands from the router to its driver.

use super::time::{DurationMicros, MonotonicMicros};
use poppykeel_scheduler::{ReplicaId, RequestId};

/// A command that the router's driver must carry out at once. Commands are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterCommand {
    /// Send a request to a replica.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: usize,
        /// The replica that gets the request.
        replica: ReplicaId,
        /// The router abandons the attempt if its first token has not arrived by this time.
        deadline: MonotonicMicros,
        /// The last byte of the request must be written by this time, or the attempt ends as not sent; `None` for no limit.
        write_by: Option<MonotonicMicros>,
    },
    /// Close the connection of an attempt. The router ignores later events of the attempt.
    AbandonAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: usize,
    },
    /// Forward the stream of this attempt to the client as the response.
    BindStream {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: usize,
    },
    /// Send the client a response that rejects the request and names the time for a retry.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// Time after which the client may retry.
        retry_after: DurationMicros,
    },
    /// Send the client an error response.
    Fail {
        /// The request that has failed.
        request: RequestId,
    },
    /// Probe a replica for its health and load report.
    Probe {
        /// The replica to probe.
        replica: ReplicaId,
    },
    /// Poll the endpoint list and watch it for changes.
    WatchEndpoints,
}
