//! The operators' own address: one call a connection, answered whatever the load, whoever else stays silent there.

use super::client::registry::ConnectionRegistry;
use super::coordination::CoordinationDriver;
use super::evacuation::{evacuate, rejoin};
use super::messages::{query, DispatcherMessage, DispatcherQuery};
use super::node_phase::NodePhase;
use super::HttpConnection;
use crate::protocol::admin::{
    self, AdminCall, ClientCloses, FleetMetric, NodeMetrics, ReloadCounts,
};
use crate::protocol::http::{EncodedMessage, HttpCodec, HttpParseError, MessagePart, Role};
use crate::protocol::request;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::codec::Framed;

/// Callers at once; for one more the oldest is let go, since whoever is answered does not stay.
pub const MOST_CALLERS: usize = 32;
/// A call must be whole within this time.
const CALL: Duration = Duration::from_secs(2);
/// An answer must be taken within this time.
const TAKE: Duration = Duration::from_secs(1);

/// What the operators' calls act on.
pub struct Admin {
    /// To the core.
    pub tell: mpsc::Sender<DispatcherMessage>,
    /// How far the node's life has come.
    pub phase: Rc<watch::Sender<NodePhase>>,
    /// Reloads of the settings at SIGHUP.
    pub reloads: Cell<ReloadCounts>,
    /// The node's part in its fleet, where it has one.
    pub fleet: Option<Rc<CoordinationDriver>>,
    /// What clients' connections share.
    pub clients: Rc<ConnectionRegistry>,
}

impl Admin {
    /// Answers calls until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // Out of descriptors: the oldest caller makes room.
                callers
                    .pop_front()
                    .into_iter()
                    .for_each(|oldest| oldest.abort());
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MOST_CALLERS {
                callers
                    .pop_front()
                    .into_iter()
                    .for_each(|oldest| oldest.abort());
            }
            callers.push_back(spawn_local(self.clone().caller(socket)).abort_handle());
        }
    }

    async fn caller(self: Rc<Self>, socket: TcpStream) {
        let mut wire = Framed::new(socket.into(), HttpCodec::new(Role::Server));
        let answer = match tokio::time::timeout(CALL, read(&mut wire)).await {
            Ok(Ok(Ok(call))) => self.answer(call).await,
            Ok(Ok(Err(reject))) => {
                request::local_response(reject.status, &reject.reason, None, true)
            }
            Ok(Err(HttpParseError::UnexpectedEof | HttpParseError::Io(_))) => return,
            Ok(Err(fault)) => request::local_response(400, &fault.to_string(), None, true),
            Err(_) => {
                request::local_response(408, "the call did not come whole in time", None, true)
            }
        };
        let sent = async {
            if wire.send(EncodedMessage::Raw(answer)).await.is_ok() {
                let _ = wire.get_mut().shutdown().await;
                wire.get_mut().discard_input().await;
            }
        };
        let _ = tokio::time::timeout(TAKE, sent).await;
    }

    /// The response with the metrics: those of the dispatcher, and those that are known here.
    async fn metrics_response(&self) -> Bytes {
        let Some(dispatcher_metrics) = query(&self.tell, DispatcherQuery::Telemetry).await else {
            return request::local_response(503, "the node is ending", None, true);
        };
        let fleet = self.fleet.as_ref().map(|fleet| fleet.metrics());
        let fleet = fleet.unwrap_or_default().into_iter();
        let closes = self.clients.close_counters().by_label().into_iter();
        admin::metrics_response(&NodeMetrics {
            reloads: self.reloads.get(),
            fleet: fleet
                .map(|(name, value)| FleetMetric { name, value })
                .collect(),
            client_closes: closes
                .map(|(reason, count)| ClientCloses { reason, count })
                .collect(),
            ..dispatcher_metrics
        })
    }

    async fn answer(&self, call: AdminCall) -> Bytes {
        let yes = |text: &str| request::local_response(200, text, None, true);
        match call {
            AdminCall::Ready if *self.phase.borrow() == NodePhase::Serving => yes("ready"),
            AdminCall::Ready => {
                request::local_response(503, "this node takes no clients now", None, true)
            }
            AdminCall::Telemetry => self.metrics_response().await,
            AdminCall::Fleet => match &self.fleet {
                Some(fleet) => admin::json_response(&fleet.status().to_string()),
                None => request::local_response(404, "this node is in no fleet", None, true),
            },
            AdminCall::Crossings => {
                let rows = query(&self.tell, DispatcherQuery::CrossZoneTraffic).await;
                match rows.and_then(|rows| serde_json::to_string(&rows).ok()) {
                    Some(rows) => admin::json_response(&rows),
                    None => request::local_response(503, "the node is ending", None, true),
                }
            }
            AdminCall::Roll {
                max_nodes_out,
                hold_us,
            } => match &self.fleet {
                Some(fleet) => yes(&fleet.order_rolling_restart(max_nodes_out, hold_us)),
                None => request::local_response(404, "this node is in no fleet", None, true),
            },
            AdminCall::Evacuate => {
                evacuate(&self.phase);
                yes("evacuating")
            }
            AdminCall::Rejoin => {
                rejoin(&self.phase);
                yes("serving")
            }
        }
    }
}

/// Reads one call, its body too.
async fn read(
    wire: &mut HttpConnection,
) -> Result<Result<AdminCall, request::RequestError>, HttpParseError> {
    let mut call = None;
    loop {
        match wire.next().await {
            Some(Ok(MessagePart::Head(head))) => match admin::parse_call(&head) {
                Ok(read) => call = Some(read),
                Err(reject) => return Ok(Err(reject)),
            },
            Some(Ok(MessagePart::Body(_))) => {}
            Some(Ok(MessagePart::End)) => return call.ok_or(HttpParseError::UnexpectedEof).map(Ok),
            Some(Err(fault)) => return Err(fault),
            None => return Err(HttpParseError::UnexpectedEof),
        }
    }
}
