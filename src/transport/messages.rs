//! Messages between the dispatcher and other tasks. All of them are plain data, except for the channels that carry
//! responses.
//!
//! The channel to the dispatcher is bounded (`program::serve` sets its capacity). A task that finds it full waits until the
//! dispatcher has received a batch of messages. Only budget grants may be dropped instead, since they are sent repeatedly.

use crate::protocol::admin::NodeMetrics;
use crate::routing::directory::EndpointSourceSettings;
use crate::routing::{DurationMicros, ReplicaStatus};
use bytes::Bytes;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::{
    AttemptOutcome, BudgetDemand, BudgetGrants, BudgetKind, EndpointListStatus, IncomingRequest,
    LearnedState, LoadReport, ReplicaId, RequestId,
};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Source name of discovery's endpoint list.
pub const ENDPOINT_LIST_SOURCE: &str = "list";
/// Source name of the DNS SRV records.
pub const SRV_SOURCE: &str = "srv";

/// Sender of a reply of type `T`. Dropping it signals the receiver that there will be no reply.
pub type Reply<T> = oneshot::Sender<T>;

/// A client's request in the form sent to replicas.
pub struct RequestPayload {
    /// The head, without the deadline header, which each attempt adds.
    pub head: Vec<u8>,
    /// The body, unchanged.
    pub body: Bytes,
}

/// The final response to a request, for the client's connection.
pub enum ClientResponse {
    /// The request is rejected with status 503; the client may retry after this time, in microseconds.
    Rejected(DurationMicros),
    /// The request has failed before a stream began; the client gets status 502.
    Failed,
    /// A request with the same id is active, or may have run and must not run again; the client gets status 400.
    Duplicate,
    /// A replica's stream has started.
    Stream {
        /// The stream's content type.
        content_type: String,
        /// The replica that sends the stream.
        replica: ReplicaId,
        /// The stream's bytes.
        chunks: mpsc::Receiver<StreamChunk>,
    },
}

/// A part of a stream sent to the client. A channel that closes without [`StreamChunk::End`] means a broken stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamChunk {
    /// Bytes from the replica, unchanged.
    Bytes(Bytes),
    /// The stream is whole: its last event has come, and its response has ended in good form.
    End,
}

/// Identifies a client connection's wait for one response. Unique within the process, unlike request ids: two clients may
/// send the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOwner(pub u64);

/// A request that a client connection has read completely.
pub struct ClientRequest {
    /// The request in the scheduler's form.
    pub request: IncomingRequest,
    /// The request in the form sent to replicas.
    pub payload: RequestPayload,
    /// Sends the response to the client's connection. The channel is closed if the client has disconnected.
    pub response: Reply<ClientResponse>,
    /// The connection's wait for this response.
    pub owner: RequestOwner,
}

/// The stream of an attempt whose first token has arrived.
pub struct StartedStream {
    /// The request that the stream answers.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: usize,
    /// The stream's content type.
    pub content_type: String,
    /// The replica that sends the stream.
    pub replica: ReplicaId,
    /// The stream's bytes. Dropping the receiver ends the attempt at its next chunk.
    pub chunks: mpsc::Receiver<StreamChunk>,
}

/// A verdict of the node that probes ejected replicas on behalf of all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAdvice {
    /// The replica's name on the endpoint list.
    pub replica: String,
    /// Whether the replica is healthy; otherwise it is still being probed.
    pub is_healthy: bool,
}

impl From<(String, bool)> for ReplicaAdvice {
    fn from((replica, is_healthy): (String, bool)) -> Self {
        ReplicaAdvice {
            replica,
            is_healthy,
        }
    }
}

/// Number of attempts of one class and tenant sent to another zone in one minute. The field names are the keys of the JSON
/// shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct CrossZoneMinute {
    /// Minutes since the Unix epoch by this node's clock.
    pub minute: u64,
    /// The requests' class.
    pub class: String,
    /// The requests' tenant; empty at sites without tenants.
    pub tenant: String,
    /// Number of attempts.
    pub count: u64,
}

/// An event, command or query from another part of the node to the dispatcher.
pub enum DispatcherMessage {
    /// A client's request has been read.
    ClientRequest(ClientRequest),
    /// The client that waited for this request has disconnected. A request with the same id from another client is not
    /// affected.
    ClientDisconnected {
        /// `owner` distinguishes it from a request of another client with the same id.
        request: RequestId,
        /// The wait that has ended.
        owner: RequestOwner,
    },
    /// The first token of an attempt has arrived.
    StreamStarted(StartedStream),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The load report that came with the response; `None` if there was no response or no valid report in it.
        report: Option<LoadReport>,
    },
    /// Discovery's endpoint list is no longer known to be current, for the reason that the status gives.
    EndpointListStatusChanged(EndpointListStatus),
    /// A probe has ended.
    ProbeEnded {
        /// The replica that was probed.
        replica: ReplicaId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// The load report that came with the response; `None` if there was no response or no valid report in it.
        report: Option<LoadReport>,
    },
    /// An endpoint source has answered or failed.
    EndpointUpdate {
        /// The source's name.
        source: &'static str,
        /// The answer, or the failure.
        update: SourceUpdate,
        /// Whether the update was read as soon as it arrived. False if it may be out of date, because its poll was dropped
        /// before the answer was read.
        is_current: bool,
    },
    /// Apply new settings of the endpoint sources.
    SetEndpointSources(EndpointSourceSettings),
    /// Verdicts on ejected replicas from the node that probes them on behalf of all nodes.
    OutlierAdvice(Vec<ReplicaAdvice>),
    /// Replace the grants of the budgets shared with other nodes.
    SetBudgetGrants(BudgetGrants),
    /// Import the learned state of the previous process of this node.
    ImportLearnedState(Box<LearnedState>),
    /// Apply new site settings.
    UpdateSettings {
        /// The settings after a reload, which replace the previous settings completely.
        settings: Rc<SiteSettings>,
        /// Replied to once the settings are in force, or rejected as invalid.
        applied: Reply<()>,
    },
    /// The node shuts down: requests that wait for a first token get a final response within this time.
    SetResponseDeadline(Duration),
    /// Log a summary; replied to once that is done.
    LogSummary(Reply<()>),
    /// A query about the dispatcher's state.
    Query(DispatcherQuery),
}

/// A query about the dispatcher's state, with the sender of its reply. [`query`] sends one.
pub enum DispatcherQuery {
    /// The metrics that the dispatcher collects. Those of reloads, coordination and client connections are 0 or empty.
    Metrics(Reply<NodeMetrics>),
    /// Number of attempts sent to other zones by minute, class and tenant.
    CrossZoneTraffic(Reply<Vec<CrossZoneMinute>>),
    /// Demand for each budget since the start, in units and priority weight.
    BudgetDemand(Reply<BTreeMap<BudgetKind, BudgetDemand>>),
    /// The status of each listed replica by its name on the endpoint list.
    ReplicaStatuses(Reply<BTreeMap<String, ReplicaStatus>>),
    /// The scheduler's learned state.
    LearnedState(Reply<LearnedState>),
}

/// Sends the dispatcher a query and waits for the reply; `None` once the dispatcher has ended. The query is given by its
/// variant: `query(&dispatcher, DispatcherQuery::Metrics)`.
pub async fn query<T>(
    dispatcher: &mpsc::Sender<DispatcherMessage>,
    new_query: impl FnOnce(Reply<T>) -> DispatcherQuery,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    let message = DispatcherMessage::Query(new_query(reply));
    dispatcher.send(message).await.ok()?;
    answer.await.ok()
}
