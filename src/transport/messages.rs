//! What drivers tell each other. Everything here is plain data; each driver uses this file and those below it.

use crate::protocol::admin::Figures;
use crate::routing::directory::Members;
use crate::routing::{Input, Micros};
use bytes::Bytes;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::interface::{
    BudgetDemand, BudgetGrants, BudgetKind, IncomingRequest, LearnedState, ReplicaId, RequestId,
};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A client's request as it goes to replicas.
pub struct Payload {
    /// The head, but for the deadline.
    pub head: Vec<u8>,
    /// The body, unchanged.
    pub body: Bytes,
}

/// What a client's driver is told.
pub enum Answer {
    /// Turned away until then.
    Refused(Micros),
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
        body: mpsc::Receiver<Piece>,
    },
}

/// How a replica stands with this node's module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica {
    /// It gets trials only.
    pub ejected: bool,
    /// Nothing has failed there since its last answer, and that came at this time of the node's clock.
    pub well_since: Option<Micros>,
}

/// Attempts that went to another zone in one minute.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Crossed {
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
pub type Asker = u64;

/// What drivers tell the hub.
pub enum Message {
    /// For the core as it is.
    Input(Input),
    /// A request and where its answer goes.
    Request {
        /// What the module is told.
        arrival: IncomingRequest,
        /// What replicas are sent.
        payload: Payload,
        /// To the client's driver.
        answer: oneshot::Sender<Answer>,
        /// Who asks: an id alone does not say it, since two clients may send the same.
        asker: Asker,
    },
    /// A client has left that waited for this request. Another one's of the same id is none of its business.
    Left {
        /// The request.
        request: RequestId,
        /// Who asked.
        asker: Asker,
    },
    /// The first event of an attempt.
    First {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// The stream's content type.
        content_type: String,
        /// Who writes it.
        replica: ReplicaId,
        /// The stream's bytes.
        body: mpsc::Receiver<Piece>,
    },
    /// A source of servers has something to say.
    Told {
        /// Its name.
        source: &'static str,
        /// What it tells.
        told: SourceUpdate,
    },
    /// New settings of the account of membership.
    Members(Members),
    /// How each replica stands, by name.
    Replicas(oneshot::Sender<BTreeMap<String, Replica>>),
    /// Another node of the fleet tries ejected replicas for all: whether it found them well.
    Advice(Vec<(String, bool)>),
    /// What the fleet allows this node from now on.
    Allow(BudgetGrants),
    /// What has been wanted since the start of what the fleet has budgets for.
    Wanted(oneshot::Sender<BTreeMap<BudgetKind, BudgetDemand>>),
    /// An operator asks for the account of crossings.
    Crossings(oneshot::Sender<Vec<Crossed>>),
    /// What has been learned is to be handed to another process of this node.
    Learned(oneshot::Sender<LearnedState>),
    /// Another process of this node has handed over what it had learned.
    Recall(Box<LearnedState>),
    /// An operator asks for the figures.
    Figures(oneshot::Sender<Figures>),
    /// New settings for the core; answered once they hold.
    Settings(Rc<SiteSettings>, oneshot::Sender<()>),
    /// The node ends: whoever still waits for a first token after this time is given a final answer.
    AnswerAllWithin(Duration),
    /// The log is to say what has happened so far; answered once it has.
    SumUp(oneshot::Sender<()>),
}

/// The name of discovery's list as a source.
pub const LIST: &str = "list";
/// The name of DNS as a source.
pub const SRV: &str = "srv";

impl From<Input> for Message {
    fn from(input: Input) -> Self {
        Message::Input(input)
    }
}

/// A piece of a stream on its way to the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Bytes, unchanged.
    Bytes(Bytes),
    /// The whole stream has passed. A channel that closes without this says that it broke.
    End,
}

/// How far the node's life has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
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
