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
    /// An attempt that the router has not abandoned has ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The load report in the response; `None` if the response has no report or there is no response.
        report: Option<LoadReport>,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The replica that was probed.
        replica: ReplicaId,
        /// How the probe ended; [`AttemptOutcome::Completed`] if the replica accepts requests.
        outcome: AttemptOutcome,
        /// The load report in the response; `None` if the response has no report or there is no response.
        report: Option<LoadReport>,
    },
    /// A complete endpoint list. Replicas that are not on it are removed.
    EndpointsReplaced(Vec<Endpoint>),
    /// Changed entries of the endpoint list. All other entries remain.
    EndpointsChanged(Vec<Endpoint>),
    /// A poll of the endpoint list has failed, or its watch broke.
    EndpointListFailed,
    /// The status of the endpoint list, which states whether the list is known to be current, has changed.
    EndpointListStatusChanged(EndpointListStatus),
    /// A verdict on one ejected replica, from the node that probes ejected replicas for the whole fleet.
    OutlierAdvice {
        /// The ejected replica.
        replica: ReplicaId,
        /// Whether the replica was found healthy. If false, it is still being probed.
        is_healthy: bool,
    },
}
