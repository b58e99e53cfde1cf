//! The admin address: HTTP calls by operators, one per connection, served independently of the clients' load.
//!
//! [`AdminServer::serve`] starts a task for each caller. The task owns the socket; aborting it closes the connection.
//! Callers that send nothing or do not read their response are disconnected after a time limit, so that they can't block
//! others. `program::serve` starts the server; `docs/oncall.md` documents the calls.

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

/// Maximum number of concurrent callers. For a further caller, the oldest is disconnected: callers leave as soon as they
/// have their response, so the oldest one has most likely stalled.
pub const MAX_ADMIN_CONNECTIONS: usize = 32;
/// A call must be read completely within this time.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// A response must be sent within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept call.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const NODE_STOPPING: &str = "the node is ending";
const NO_FLEET: &str = "this node is in no fleet";

/// The state that admin calls read and change.
pub struct AdminServer {
    /// The channel to the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// The node's phase.
    pub phase: Rc<watch::Sender<NodePhase>>,
    /// Counts of settings reloads at SIGHUP.
    pub reloads: Cell<ReloadCounts>,
    /// The node's coordination with its fleet; `None` without a fleet.
    pub coordination: Option<Rc<CoordinationDriver>>,
    /// The state shared by all client connections.
    pub clients: Rc<ConnectionRegistry>,
}

/// Why a call can't be executed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The call is unknown or malformed.
    #[error("the call is rejected with status {}", .0.status)]
    Rejected(RequestError),
    /// The bytes are not a valid request, or the caller has disconnected.
    #[error(transparent)]
    Invalid(#[from] HttpParseError),
}

impl AdminServer {
    /// Answers calls until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // File descriptors are exhausted: the oldest caller is disconnected to make room.
                disconnect_oldest(&mut callers);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MAX_ADMIN_CONNECTIONS {
                disconnect_oldest(&mut callers);
            }
            let task = spawn_local(self.clone().serve_caller(socket));
            callers.push_back(task.abort_handle());
        }
    }

    async fn serve_caller(self: Rc<Self>, socket: TcpStream) {
        let mut http = Framed::new(socket.into(), HttpCodec::new(Role::Server));
        let response = match tokio::time::timeout(READ_TIMEOUT, read_call(&mut http)).await {
            Ok(Ok(call)) => self.execute(call).await,
            Ok(Err(CallError::Rejected(error))) => respond(error.status, &error.reason),
            Ok(Err(CallError::Invalid(HttpParseError::UnexpectedEof | HttpParseError::Io(_)))) => {
                return
            }
            Ok(Err(CallError::Invalid(error))) => respond(400, &error.to_string()),
            Err(_) => respond(408, "the call did not come whole in time"),
        };
        // A caller that does not read its response in time is disconnected.
        let _ = tokio::time::timeout(WRITE_TIMEOUT, send_and_close(&mut http, response)).await;
    }

    /// Executes a call and returns the response.
    async fn execute(&self, call: AdminCall) -> Bytes {
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

    /// The response with the dispatcher's metrics and those of reloads, coordination and client connections.
    async fn metrics_response(&self) -> Bytes {
        let Some(dispatcher_metrics) = query(&self.dispatcher, DispatcherQuery::Metrics).await
        else {
            return respond(503, NODE_STOPPING);
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
            None => respond(503, NODE_STOPPING),
        }
    }
}

fn disconnect_oldest(callers: &mut VecDeque<AbortHandle>) {
    if let Some(oldest) = callers.pop_front() {
        oldest.abort();
    }
}

/// Builds a text response, the last on its connection.
fn respond(status: u16, text: &str) -> Bytes {
    request::local_response(status, text, None, true)
}

/// Reads one call including its body, which is ignored.
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
        // If the caller has already closed the connection, there is nothing to shut down.
        let _ = http.get_mut().shutdown().await;
        http.get_mut().discard_input().await;
    }
}
