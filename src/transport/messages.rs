//! What tasks send to the dispatcher and get from it. Everything here is plain data, but for the channels that carry the
//! responses.
//!
//! The channel to the dispatcher is bounded (`program::serve` names its capacity). A task that finds it full waits until the
//! dispatcher has taken a batch of messages; nothing is dropped.

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

/// The name of discovery's endpoint list as a source.
pub const ENDPOINT_LIST_SOURCE: &str = "list";
/// The name of DNS SRV records as a source.
pub const SRV_SOURCE: &str = "srv";

/// Where an answer of type `T` goes. Dropping it tells the receiver that there will be none.
pub type Reply<T> = oneshot::Sender<T>;

/// A client's request as it is sent to replicas.
pub struct RequestPayload {
    /// The head, without the header that tells the deadline.
    pub head: Vec<u8>,
    /// The body, unchanged.
    pub body: Bytes,
}

/// The final response to a request, for the client's connection.
pub enum ClientResponse {
    /// The request is rejected; the client may retry after this time.
    Rejected(DurationMicros),
    /// The request has failed.
    Failed,
    /// Another request of this id is active.
    Duplicate,
    /// The stream of a replica begins.
    Stream {
        /// The stream's content type.
        content_type: String,
        /// The replica that writes it.
        replica: ReplicaId,
        /// The stream's bytes.
        chunks: mpsc::Receiver<StreamChunk>,
    },
}

/// A part of a stream on its way to the client. A channel that closes without [`StreamChunk::End`] means a broken stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamChunk {
    /// Bytes of the replica, unchanged.
    Bytes(Bytes),
    /// The whole stream has passed.
    End,
}

/// Identifies the client connection's wait for one request. No two waits of a process have the same number, whereas two
/// clients may send the same request id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOwner(pub u64);

/// A request that a client's connection has read completely.
pub struct ClientRequest {
    /// The request as the scheduler takes it.
    pub request: IncomingRequest,
    /// The request as replicas get it.
    pub payload: RequestPayload,
    /// Where the response goes. A closed channel means that the client has disconnected.
    pub response: Reply<ClientResponse>,
    /// Who waits for the response.
    pub owner: RequestOwner,
}

/// The stream of an attempt whose first token has come.
pub struct StartedStream {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: usize,
    /// The stream's content type.
    pub content_type: String,
    /// The replica that writes it.
    pub replica: ReplicaId,
    /// The stream's bytes. Dropping the receiver ends the attempt at its next chunk.
    pub chunks: mpsc::Receiver<StreamChunk>,
}

/// The verdict of the node that probes ejected replicas for all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAdvice {
    /// The replica's name on the endpoint list.
    pub replica: String,
    /// Whether the replica was found healthy; otherwise it is still being probed.
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

/// Attempts of one class and tenant that went to another zone in one minute. The names of the fields are the keys of the
/// JSON that operators get.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct CrossZoneMinute {
    /// The minute of Unix time by this node's clock.
    pub minute: u64,
    /// The requests' class.
    pub class: String,
    /// The requests' tenant; empty at sites without tenants.
    pub tenant: String,
    /// How many attempts.
    pub count: u64,
}

/// What a task tells the dispatcher.
pub enum DispatcherMessage {
    /// A request, and where its response goes.
    ClientRequest(ClientRequest),
    /// The client that waited for this request has disconnected. A request of the same id that another client waits for is
    /// left alone.
    ClientDisconnected {
        /// The request.
        request: RequestId,
        /// Who waited for it.
        owner: RequestOwner,
    },
    /// The first token of an attempt has come.
    StreamStarted(StartedStream),
    /// An attempt has ended.
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
    /// The age of discovery's endpoint list is doubtful.
    EndpointListStatusChanged(EndpointListStatus),
    /// A probe has ended.
    ProbeEnded {
        /// The replica that was probed.
        replica: ReplicaId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// The load report that came with the response.
        report: Option<LoadReport>,
    },
    /// An endpoint source has an answer, or has failed to give one.
    EndpointUpdate {
        /// The source's name.
        source: &'static str,
        /// Its answer.
        update: SourceUpdate,
        /// Whether the answer was read as it came; else it says nothing of the present.
        is_current: bool,
    },
    /// New settings of the endpoint sources.
    SetEndpointSources(EndpointSourceSettings),
    /// Verdicts on ejected replicas from the node that probes them for all nodes.
    OutlierAdvice(Vec<ReplicaAdvice>),
    /// What this node may spend of budgets that are shared with other nodes, from now on.
    SetBudgetGrants(BudgetGrants),
    /// Another process of this node has left what it had learned.
    ImportLearnedState(Box<LearnedState>),
    /// New settings of the site.
    UpdateSettings {
        /// The settings.
        settings: Rc<SiteSettings>,
        /// Answered once the settings are in force, or are found faulty and those before them stay.
        applied: Reply<()>,
    },
    /// The node shuts down: whoever waits for a first token gets a final response within this time.
    SetResponseDeadline(Duration),
    /// Write the summary to the log; answered once that is done.
    LogSummary(Reply<()>),
    /// A question about the dispatcher's state.
    Query(DispatcherQuery),
}

/// A question about the dispatcher's state, with the place where the answer goes. [`query`] asks one.
pub enum DispatcherQuery {
    /// The figures that operators get.
    Telemetry(Reply<NodeMetrics>),
    /// Traffic to other zones by minute, class and tenant.
    CrossZoneTraffic(Reply<Vec<CrossZoneMinute>>),
    /// What this node would have spent of each budget since the start.
    BudgetDemand(Reply<BTreeMap<BudgetKind, BudgetDemand>>),
    /// The status of each listed replica, by its name on the endpoint list.
    ReplicaStatuses(Reply<BTreeMap<String, ReplicaStatus>>),
    /// What the scheduler has learned.
    LearnedState(Reply<LearnedState>),
}

/// Asks the dispatcher and waits for the answer; `None` once the dispatcher has ended. The variant of the question is given
/// as a function: `query(&dispatcher, DispatcherQuery::Telemetry)`.
pub async fn query<T>(
    dispatcher: &mpsc::Sender<DispatcherMessage>,
    question: impl FnOnce(Reply<T>) -> DispatcherQuery,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    let message = DispatcherMessage::Query(question(reply));
    dispatcher.send(message).await.ok()?;
    answer.await.ok()
}
