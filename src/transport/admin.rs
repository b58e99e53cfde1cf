//! The operators' address: one call a connection, answered whatever the clients' load.
//!
//! [`Admin::serve`] starts a task for each caller. The task owns the socket; aborting it closes the connection. Callers that send
//! nothing or do not read their response are disconnected after a time limit, so none of them keeps others out.
//! `program::serve` starts it; `docs/oncall.md` has the calls.

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
use crate::protocol::request::{self, RequestError};
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

/// Callers at once. For one more the oldest is disconnected: whoever gets a response does not stay.
pub const MAX_CALLERS: usize = 32;
/// A call must be complete within this time.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// A response must have been taken within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const NODE_IS_ENDING: &str = "the node is ending";
const NO_FLEET: &str = "this node is in no fleet";

/// What the operators' calls act on.
pub struct Admin {
    /// The way to the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// The phase of the node's life.
    pub phase: Rc<watch::Sender<NodePhase>>,
    /// How often settings were read again at SIGHUP.
    pub reloads: Cell<ReloadCounts>,
    /// The node's part in its fleet, if it has one.
    pub coordination: Option<Rc<CoordinationDriver>>,
    /// What clients' connections share.
    pub clients: Rc<ConnectionRegistry>,
}

/// Why a call cannot be carried out.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The call is not one of the known ones.
    #[error("the call is rejected with status {}", .0.status)]
    Rejected(RequestError),
    /// The caller's bytes are not a request, or the caller has disconnected.
    #[error(transparent)]
    Unreadable(#[from] HttpParseError),
}

impl Admin {
    /// Answers calls until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // The process has no descriptors left: the oldest caller makes room.
                disconnect_oldest(&mut callers);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MAX_CALLERS {
                disconnect_oldest(&mut callers);
            }
            let task = spawn_local(self.clone().serve_caller(socket));
            callers.push_back(task.abort_handle());
        }
    }

    async fn serve_caller(self: Rc<Self>, socket: TcpStream) {
        let mut http = Framed::new(socket.into(), HttpCodec::new(Role::Server));
        let response = match tokio::time::timeout(READ_TIMEOUT, read_call(&mut http)).await {
            Ok(Ok(call)) => self.carry_out(call).await,
            Ok(Err(CallError::Rejected(error))) => respond(error.status, &error.reason),
            Ok(Err(CallError::Unreadable(
                HttpParseError::UnexpectedEof | HttpParseError::Io(_),
            ))) => return,
            Ok(Err(CallError::Unreadable(error))) => respond(400, &error.to_string()),
            Err(_) => respond(408, "the call did not come whole in time"),
        };
        // A caller that does not take its response in time is disconnected.
        let _ = tokio::time::timeout(WRITE_TIMEOUT, send_and_close(&mut http, response)).await;
    }

    /// Carries out a call and returns the response.
    async fn carry_out(&self, call: AdminCall) -> Bytes {
        match call {
            AdminCall::Ready if *self.phase.borrow() == NodePhase::Serving => respond(200, "ready"),
            AdminCall::Ready => respond(503, "this node takes no clients now"),
            AdminCall::Telemetry => self.metrics_response().await,
            AdminCall::Fleet => match &self.coordination {
                Some(coordination) => admin::json_response(&coordination.status().to_string()),
                None => respond(404, NO_FLEET),
            },
            AdminCall::Crossings => self.cross_zone_response().await,
            AdminCall::RollingRestart {
                max_nodes_out,
                hold_us,
            } => match &self.coordination {
                Some(coordination) => respond(
                    200,
                    &coordination.order_rolling_restart(max_nodes_out, hold_us),
                ),
                None => respond(404, NO_FLEET),
            },
            AdminCall::Evacuate => {
                evacuate(&self.phase);
                respond(200, "evacuating")
            }
            AdminCall::Rejoin => {
                rejoin(&self.phase);
                respond(200, "serving")
            }
        }
    }

    /// The response with the metrics: those of the dispatcher, and those that are known here.
    async fn metrics_response(&self) -> Bytes {
        let Some(dispatcher_metrics) = query(&self.dispatcher, DispatcherQuery::Telemetry).await
        else {
            return respond(503, NODE_IS_ENDING);
        };
        let fleet = self
            .coordination
            .as_ref()
            .map(|coordination| coordination.metrics())
            .unwrap_or_default()
            .into_iter()
            .map(|(name, value)| FleetMetric { name, value })
            .collect();
        let client_closes = self
            .clients
            .close_counters()
            .by_label()
            .into_iter()
            .map(|(reason, count)| ClientCloses { reason, count })
            .collect();
        admin::metrics_response(&NodeMetrics {
            reloads: self.reloads.get(),
            fleet,
            client_closes,
            ..dispatcher_metrics
        })
    }

    async fn cross_zone_response(&self) -> Bytes {
        let rows = query(&self.dispatcher, DispatcherQuery::CrossZoneTraffic).await;
        match rows.and_then(|rows| serde_json::to_string(&rows).ok()) {
            Some(json) => admin::json_response(&json),
            None => respond(503, NODE_IS_ENDING),
        }
    }
}

fn disconnect_oldest(callers: &mut VecDeque<AbortHandle>) {
    if let Some(oldest) = callers.pop_front() {
        oldest.abort();
    }
}

/// A response of this node with a text; it is the last on its connection.
fn respond(status: u16, text: &str) -> Bytes {
    request::local_response(status, text, None, true)
}

/// Reads one call, its body too.
async fn read_call(http: &mut HttpConnection) -> Result<AdminCall, CallError> {
    let mut call = None;
    loop {
        match http.next().await {
            Some(Ok(MessagePart::Head(head))) => {
                call = Some(admin::parse_call(&head).map_err(CallError::Rejected)?);
            }
            Some(Ok(MessagePart::Body(_))) => {}
            Some(Ok(MessagePart::End)) => {
                return call.ok_or_else(|| HttpParseError::UnexpectedEof.into());
            }
            Some(Err(error)) => return Err(error.into()),
            None => return Err(HttpParseError::UnexpectedEof.into()),
        }
    }
}

async fn send_and_close(http: &mut HttpConnection, response: Bytes) {
    if http.send(EncodedMessage::Raw(response)).await.is_ok() {
        // Where the caller has closed the connection already, there is nothing left to shut down.
        let _ = http.get_mut().shutdown().await;
        http.get_mut().discard_input().await;
    }
}
