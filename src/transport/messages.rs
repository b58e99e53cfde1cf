//! What drivers tell each other. Everything here is plain data; each driver uses this file and those below it.

use crate::protocol::admin::Figures;
use crate::routing::directory::EndpointSourceSettings;
use crate::routing::{MonotonicMicros, ReplicaStatus, RouterEvent};
use bytes::Bytes;
use poppykeel_endpoints::Told;
use poppykeel_scheduler::interface::{
    BudgetDemand, BudgetGrants, BudgetKind, IncomingRequest, LearnedState, ReplicaId, RequestId,
};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A client's request as it goes to replicas.
pub struct RequestPayload {
    /// The head, but for the deadline.
    pub head: Vec<u8>,
    /// The body, unchanged.
    pub body: Bytes,
}

/// What a client's driver is told.
pub enum ClientResponse {
    /// Turned away until then.
    Rejected(MonotonicMicros),
    /// Failed.
    Failed,
    /// Another request of this id is live.
    Duplicate,
    /// The stream begins.
    Stream {
        /// Its content type.
        content_type: String,
        /// Who writes it.
        replica: ReplicaId,
        /// Its bytes.
        chunks: mpsc::Receiver<StreamChunk>,
    },
}

/// Attempts that went to another zone in one minute.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct CrossZoneMinute {
    /// Minutes of Unix time by this node's clock.
    pub minute: u64,
    /// The requests' class.
    pub class: String,
    /// Their tenant; empty at sites without.
    pub tenant: String,
    /// How many.
    pub count: u64,
}

/// One asking of one client: no other has had this number since the node's start.
pub type RequestOwner = u64;

/// What drivers tell the hub.
pub enum DispatcherMessage {
    /// For the core as it is.
    Input(RouterEvent),
    /// A request and where its answer goes.
    ClientRequest {
        /// What the module is told.
        request: IncomingRequest,
        /// What replicas are sent.
        payload: RequestPayload,
        /// To the client's driver.
        response: oneshot::Sender<ClientResponse>,
        /// Who asks: an id alone does not say it, since two clients may send the same.
        owner: RequestOwner,
    },
    /// A client has left that waited for this request. Another one's of the same id is none of its business.
    ClientDisconnected {
        /// The request.
        request: RequestId,
        /// Who asked.
        owner: RequestOwner,
    },
    /// The first event of an attempt.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// The stream's content type.
        content_type: String,
        /// Who writes it.
        replica: ReplicaId,
        /// The stream's bytes.
        chunks: mpsc::Receiver<StreamChunk>,
    },
    /// A source of servers has something to say.
    EndpointUpdate {
        /// Its name.
        source: &'static str,
        /// What it tells.
        update: Told,
    },
    /// New settings of the account of membership.
    SetEndpointSources(EndpointSourceSettings),
    /// How each replica stands, by name.
    ReplicaStatuses(oneshot::Sender<BTreeMap<String, ReplicaStatus>>),
    /// Another node of the fleet tries ejected replicas for all: whether it found them well.
    OutlierAdvice(Vec<(String, bool)>),
    /// What the fleet allows this node from now on.
    SetBudgetGrants(BudgetGrants),
    /// What has been wanted since the start of what the fleet has budgets for.
    BudgetDemand(oneshot::Sender<BTreeMap<BudgetKind, BudgetDemand>>),
    /// An operator asks for the account of crossings.
    CrossZoneTraffic(oneshot::Sender<Vec<CrossZoneMinute>>),
    /// What has been learned is to be handed to another process of this node.
    ExportLearnedState(oneshot::Sender<LearnedState>),
    /// Another process of this node has handed over what it had learned.
    ImportLearnedState(Box<LearnedState>),
    /// An operator asks for the figures.
    Telemetry(oneshot::Sender<Figures>),
    /// New settings for the core; answered once they hold.
    UpdateSettings(Rc<SiteSettings>, oneshot::Sender<()>),
    /// The node ends: whoever still waits for a first token after this time is given a final answer.
    SetAnswerDeadline(Duration),
    /// The log is to say what has happened so far; answered once it has.
    LogSummary(oneshot::Sender<()>),
}

/// The name of discovery's list as a source.
pub const ENDPOINT_LIST_SOURCE: &str = "list";
/// The name of DNS as a source.
pub const SRV_SOURCE: &str = "srv";

impl From<RouterEvent> for DispatcherMessage {
    fn from(input: RouterEvent) -> Self {
        DispatcherMessage::Input(input)
    }
}

/// A piece of a stream on its way to the client.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamChunk {
    /// Bytes, unchanged.
    Bytes(Bytes),
    /// The whole stream has passed. A channel that closes without this says that it broke.
    End,
}

/// How far the node's life has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// Clients may come and stay.
    Serving,
    /// An operator has ordered clients away: each answer is the last on its connection.
    Evacuating,
    /// And connections without a request are closed, until the node is called back to work.
    Evacuated,
    /// Clients may come, but each answer is the last on its connection.
    Draining,
    /// Connections without a request are closed.
    Closing,
}
