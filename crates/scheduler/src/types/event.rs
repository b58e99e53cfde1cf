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
    /// The status of the endpoint list has changed. Before the first such event it is [`EndpointListStatus::Confirmed`].
    EndpointListStatusChanged(EndpointListStatus),
    /// A client's request has arrived.
    RequestArrived(IncomingRequest),
    /// The first token of an attempt has arrived; from now on the request has no deadline.
    FirstToken {
        /// The request to which the attempt belongs.
        request: RequestId,
        /// The attempt's number within the request, from zero.
        attempt: usize,
        /// Time since the attempt was started.
        elapsed: Seconds,
    },
    /// An attempt has ended. There is exactly one such event for each attempt.
    AttemptEnded {
        /// The request to which the attempt belongs.
        request: RequestId,
        /// The attempt's number within the request, from zero.
        attempt: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// True if the client has its final answer or has disconnected, so that the request needs no further attempt.
        is_request_finished: bool,
        /// The load report in the answer; `None` if the answer has no report or there is no answer.
        report: Option<LoadReport>,
    },
    /// The client has disconnected; the request needs no answer.
    ClientDisconnected(RequestId),
    /// A probe has ended.
    ProbeEnded {
        /// The replica that was probed.
        replica: ReplicaId,
        /// How the probe ended; only [`AttemptOutcome::Completed`] shows that the replica accepts requests.
        outcome: AttemptOutcome,
        /// The load report in the answer; `None` if the answer has no report or there is no answer.
        report: Option<LoadReport>,
    },
    /// Another router, which probes ejected replicas for the whole fleet, reports on one of them.
    OutlierAdvice {
        /// The ejected replica.
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
    /// The router ended the attempt before its answer was complete.
    Cancelled,
    /// No byte of the attempt was sent to the replica.
    NotSent,
    /// The replica rejected the request as invalid; any other replica would do the same.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Whether a replica may have run an attempt with this outcome.
    pub fn may_have_run(self) -> bool {
        match self {
            AttemptOutcome::AtCapacity
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent
            | AttemptOutcome::InvalidRequest => false,
            AttemptOutcome::Completed
            | AttemptOutcome::ServerError
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::Cancelled => true,
        }
    }
}
