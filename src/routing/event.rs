//! Events that the driver passes to the router.

use poppykeel_scheduler::{
    AttemptOutcome, Endpoint, EndpointListStatus, IncomingRequest, LoadReport, ReplicaId, RequestId,
};

/// An event that the router has to process.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterEvent {
    /// A client's request has been read completely.
    RequestArrived(IncomingRequest),
    /// The client of a request has disconnected and can no longer receive a response.
    ClientDisconnected(RequestId),
    /// The first token of an attempt's stream has arrived.
    FirstToken {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: usize,
    },
    /// An attempt has ended, other than by the router's abandoning it.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The load report in the response, if any.
        report: Option<LoadReport>,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The replica that was probed.
        replica: ReplicaId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// The load report in the response, if any.
        report: Option<LoadReport>,
    },
    /// A complete endpoint list. Replicas that are not on it are removed.
    EndpointsReplaced(Vec<Endpoint>),
    /// Changed entries of the endpoint list. All other entries remain.
    EndpointsChanged(Vec<Endpoint>),
    /// Watching the endpoint list has failed.
    EndpointListFailed,
    /// The age of the endpoint list has become known or uncertain.
    EndpointListStatusChanged(EndpointListStatus),
    /// A verdict on one ejected replica, from the node that probes ejected replicas for the whole fleet.
    OutlierAdvice {
        /// The ejected replica.
        replica: ReplicaId,
        /// Whether the replica was found healthy. If false, it is still being probed.
        is_healthy: bool,
    },
}
