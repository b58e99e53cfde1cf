//! Events that the embedding program passes to the scheduler.

use super::{
    Endpoint, EndpointListStatus, IncomingRequest, LoadReport, ReplicaId, RequestId, Seconds,
};

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete endpoint list; replicas missing from it are removed.
    EndpointsReplaced(Vec<Endpoint>),
    /// Only the changed entries of the endpoint list.
    EndpointsChanged(Vec<Endpoint>),
    /// A poll of the endpoint list failed, or its watch broke.
    EndpointListFailed,
    /// Whether the endpoint list is known to be current has changed. Before the first such event it counts as current.
    EndpointListStatusChanged(EndpointListStatus),
    /// A client's request has arrived.
    RequestArrived(IncomingRequest),
    /// The first token of an attempt has arrived; from now on the request has no deadline.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: usize,
        /// Time since the attempt was started.
        elapsed: Seconds,
    },
    /// An attempt has ended. There is exactly one such event for each attempt.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: usize,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The client has its final answer or has disconnected.
        is_request_finished: bool,
        /// The load report in the answer, if there was one.
        report: Option<LoadReport>,
    },
    /// The client has disconnected; the request needs no answer.
    ClientDisconnected(RequestId),
    /// A probe has ended.
    ProbeEnded {
        /// The replica.
        replica: ReplicaId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report in the answer, if there was one.
        report: Option<LoadReport>,
    },
    /// Another router, which probes ejected replicas for the whole fleet, reports on one of them.
    OutlierAdvice {
        /// The replica.
        replica: ReplicaId,
        /// True if the replica answered its probe successfully; false while it is still being probed.
        is_healthy: bool,
    },
    /// The timer of [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was complete.
    Completed,
    /// The replica answered with a server error.
    ServerError,
    /// The replica declined the attempt because it is at capacity.
    AtCapacity,
    /// No first token arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke.
    ConnectionReset,
    /// The attempt was cancelled.
    Cancelled,
    /// No byte of the attempt was sent.
    NotSent,
    /// The replica rejected the request as invalid; any other replica would do the same.
    InvalidRequest,
}
