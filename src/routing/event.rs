//! What the router is told.

use poppykeel_scheduler::{
    AttemptOutcome, Endpoint, EndpointListStatus, IncomingRequest, LoadReport, ReplicaId, RequestId,
};

/// Something that has happened and that the router must know.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterEvent {
    /// A client's request has been read completely.
    RequestArrived(IncomingRequest),
    /// The client of a request has disconnected and takes no response any more.
    ClientDisconnected(RequestId),
    /// The first token of an attempt's stream has come.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: usize,
    },
    /// An attempt has ended without being abandoned by the router.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The load report that came with the response.
        report: Option<LoadReport>,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The replica that was probed.
        replica: ReplicaId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// The load report that came with the response.
        report: Option<LoadReport>,
    },
    /// The whole endpoint list; a replica that it lacks has been removed.
    EndpointsReplaced(Vec<Endpoint>),
    /// Endpoints whose entries have changed; all others stay as they are.
    EndpointsChanged(Vec<Endpoint>),
    /// The watch of the endpoint list has failed.
    EndpointListFailed,
    /// The age of the endpoint list has become known or doubtful.
    EndpointListStatusChanged(EndpointListStatus),
    /// The node that probes ejected replicas for all nodes has a verdict on one of them.
    OutlierAdvice {
        /// The replica.
        replica: ReplicaId,
        /// Whether the replica was found healthy; otherwise it is still being probed.
        is_healthy: bool,
    },
}
