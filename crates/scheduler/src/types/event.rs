//! What the embedding program tells the scheduler.

use super::{
    Endpoint, EndpointListStatus, IncomingRequest, LoadReport, ReplicaId, RequestId, Seconds,
};

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole endpoint list; replicas that it lacks are removed.
    EndpointsReplaced(Vec<Endpoint>),
    /// Changed entries of the endpoint list only.
    EndpointsChanged(Vec<Endpoint>),
    /// Asking for the endpoint list failed, or its watch broke.
    EndpointListFailed,
    /// The age of the endpoint list has become known or doubtful. Without such an event the list counts as current.
    EndpointListStatusChanged(EndpointListStatus),
    /// A client's request has come.
    RequestArrived(IncomingRequest),
    /// The first token of an attempt has come; the request has no deadline from here on.
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
        /// The client has its final answer or has gone: nothing more is owed.
        is_request_finished: bool,
        /// The load report that came with the answer, if any did.
        report: Option<LoadReport>,
    },
    /// The client has left; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A probe has ended.
    ProbeEnded {
        /// The replica.
        replica: ReplicaId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came with it, if any did.
        report: Option<LoadReport>,
    },
    /// Another router probes ejected replicas for the whole fleet and tells what it found.
    OutlierAdvice {
        /// The replica.
        replica: ReplicaId,
        /// True where it answered well; false while it is still being tried.
        is_healthy: bool,
    },
    /// The timer of [`Action::SetTimer`](super::Action::SetTimer) has run out.
    TimerFired,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer came to its end.
    Completed,
    /// The replica answered with an error of its own.
    ServerError,
    /// The replica turned the attempt away because it is full.
    AtCapacity,
    /// No first token came in time.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke.
    ConnectionReset,
    /// The attempt was cancelled.
    Cancelled,
    /// Nothing of the attempt was ever sent.
    NotSent,
    /// The replica finds the request itself at fault: any other replica would say the same.
    InvalidRequest,
}
