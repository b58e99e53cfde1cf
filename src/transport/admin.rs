//! The operators' own address: one call a connection, answered whatever the load, whoever else stays silent there.

use super::client::registry::ConnectionRegistry;
use super::coordination::CoordinationDriver;
use super::evacuation::{evacuate, rejoin};
use super::messages::{query, DispatcherMessage, DispatcherQuery};
use super::node_phase::NodePhase;
use super::HttpConnection;
use crate::protocol::admin::{self, Call, Figures};
use crate::protocol::http::{Fault, Http, Out, Part, Side};
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
    /// Files taken and turned down at SIGHUP.
    pub reloads: Cell<(u64, u64)>,
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
        let mut wire = Framed::new(socket.into(), Http::new(Side::Server));
        let answer = match tokio::time::timeout(CALL, read(&mut wire)).await {
            Ok(Ok(Ok(call))) => self.answer(call).await,
            Ok(Ok(Err(reject))) => request::own_answer(reject.status, &reject.reason, None, true),
            Ok(Err(Fault::Cut | Fault::Io(_))) => return,
            Ok(Err(fault)) => request::own_answer(400, &fault.to_string(), None, true),
            Err(_) => request::own_answer(408, "the call did not come whole in time", None, true),
        };
        let sent = async {
            if wire.send(Out::Raw(answer)).await.is_ok() {
                let _ = wire.get_mut().shutdown().await;
                wire.get_mut().discard_input().await;
            }
        };
        let _ = tokio::time::timeout(TAKE, sent).await;
    }

    async fn answer(&self, call: Call) -> Bytes {
        let yes = |text: &str| request::own_answer(200, text, None, true);
        match call {
            Call::Ready if *self.phase.borrow() == NodePhase::Serving => yes("ready"),
            Call::Ready => request::own_answer(503, "this node takes no clients now", None, true),
            Call::Telemetry => match query(&self.tell, DispatcherQuery::Telemetry).await {
                Some(told) => {
                    let fleet = self
                        .fleet
                        .as_ref()
                        .map(|fleet| fleet.metrics())
                        .unwrap_or_default();
                    let closes = self.clients.close_counters().by_label();
                    admin::figures(&Figures {
                        reloads: self.reloads.get(),
                        fleet,
                        closes,
                        ..told
                    })
                }
                None => request::own_answer(503, "the node is ending", None, true),
            },
            Call::Fleet => match &self.fleet {
                Some(fleet) => admin::json(&fleet.status().to_string()),
                None => request::own_answer(404, "this node is in no fleet", None, true),
            },
            Call::Crossings => {
                let rows = query(&self.tell, DispatcherQuery::CrossZoneTraffic).await;
                match rows.and_then(|rows| serde_json::to_string(&rows).ok()) {
                    Some(rows) => admin::json(&rows),
                    None => request::own_answer(503, "the node is ending", None, true),
                }
            }
            Call::Roll { out, hold } => match &self.fleet {
                Some(fleet) => yes(&fleet.order_rolling_restart(out, hold)),
                None => request::own_answer(404, "this node is in no fleet", None, true),
            },
            Call::Evacuate => {
                evacuate(&self.phase);
                yes("evacuating")
            }
            Call::Rejoin => {
                rejoin(&self.phase);
                yes("serving")
            }
        }
    }
}

/// Reads one call, its body too.
async fn read(wire: &mut HttpConnection) -> Result<Result<Call, request::Reject>, Fault> {
    let mut call = None;
    loop {
        match wire.next().await {
            Some(Ok(Part::Head(head))) => match admin::call(&head) {
                Ok(read) => call = Some(read),
                Err(reject) => return Ok(Err(reject)),
            },
            Some(Ok(Part::Body(_))) => {}
            Some(Ok(Part::End)) => return call.ok_or(Fault::Cut).map(Ok),
            Some(Err(fault)) => return Err(fault),
            None => return Err(Fault::Cut),
        }
    }
}
