//! The watch of discovery's list: one long poll after the other on one connection, each with a time limit of its
//! own. Where the list is asked for, a call that is refused or reset ends the watch and when it starts again is the
//! module's to say; one that falls silent is made anew at once, since the service may well be there and the
//! connection alone is broken. After either the next call waits at the service for a short time or not at all, since
//! silence shows only when the wait is over. Where the list is pushed, the address is an agent on the node's own machine that
//! answers at no cost: the watch runs from the start and calls again by itself after a short pause.

#![expect(
    clippy::single_match_else,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::clock::Clock;
use super::messages::{DispatcherMessage, ENDPOINT_LIST_SOURCE};
use super::{Bounds, Wire};
use crate::protocol::discovery::{read, Update};
use crate::protocol::http::{Http, Out, Part, Side, Start};
use crate::protocol::request;
use crate::routing::seconds;
use futures_util::{SinkExt, StreamExt};
use poppykeel_endpoints::Told;
use poppykeel_scheduler::interface::{BudgetDemand, BudgetGrants, BudgetKind};
use poppykeel_scheduler::BudgetLedger;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio_util::codec::Framed;

/// The longest answer that is read.
const MOST_LIST: usize = 4 * 1024 * 1024;
/// Where lists are pushed, a failed call is made again after this pause: long enough not to spin on a refused
/// connection, short against the time in which a drain must be heeded.
const PUSHED_PAUSE: Duration = Duration::from_millis(100);

/// Where the fleet's budget has no call left, it is looked again after this.
const LOOK: Duration = Duration::from_millis(20);

/// How the last call to the service ended.
#[derive(Clone, Copy, Default, PartialEq)]
enum LastCall {
    #[default]
    Answered,
    /// It was refused, reset or answered with an error.
    Refused,
    /// No whole answer came within its time.
    Silent,
}

/// The watch of one node.
#[derive(Clone)]
pub struct Watch {
    addr: Rc<Cell<SocketAddr>>,
    moved: Rc<Notify>,
    bounds: Rc<Bounds>,
    tell: mpsc::Sender<DispatcherMessage>,
    running: Rc<Cell<bool>>,
    /// The list is a source of this node.
    enabled: Rc<Cell<bool>>,
    version: Rc<Cell<u64>>,
    /// Why the last call failed, where it did.
    lately: Rc<RefCell<Option<String>>>,
    /// The list is pushed: the watch never waits for the module.
    pushed: bool,
    last_call: Rc<Cell<LastCall>>,
    /// What the fleet allows of calls.
    calls: Rc<RefCell<BudgetLedger>>,
    clock: Clock,
}

impl Watch {
    /// A watch that has not begun.
    pub fn new(
        addr: SocketAddr,
        bounds: Rc<Bounds>,
        tell: mpsc::Sender<DispatcherMessage>,
        clock: Clock,
    ) -> Self {
        let (moved, running, version, lately, calls) = Default::default();
        let (addr, enabled, pushed) = (Rc::new(Cell::new(addr)), Rc::new(Cell::new(true)), false);
        let last_call = Rc::default();
        Watch {
            addr,
            moved,
            bounds,
            tell,
            running,
            enabled,
            version,
            lately,
            pushed,
            last_call,
            calls,
            clock,
        }
    }

    /// The same watch where the list is pushed: it runs from now on, whether or not the module asks.
    pub fn pushed(self) -> Self {
        let watch = Watch {
            pushed: true,
            ..self
        };
        watch.start();
        watch
    }

    /// The list that the node has now.
    pub fn version(&self, version: u64) {
        self.version.set(version);
    }

    /// Whether the list is a source at all; it is watched from the next order on, or not asked again.
    pub fn enable(&self, enabled: bool) {
        if !self.enabled.replace(enabled) && enabled {
            // What was told before is forgotten with the source: all of it is wanted again.
            self.version.set(0);
            self.start();
        }
    }

    /// What the fleet allows of calls from now on.
    pub fn allow(&self, allowed: &BudgetGrants) {
        let calls = allowed
            .iter()
            .filter(|(what, _)| **what == BudgetKind::Discovery);
        let calls = calls.map(|(what, budget)| (*what, *budget)).collect();
        self.calls
            .borrow_mut()
            .set_grants(seconds(self.clock.now()), &calls);
    }

    /// What has been wanted of that.
    pub fn wanted(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.calls.borrow().demand()
    }

    /// Waits until the fleet's budget has a call for this node.
    async fn permitted(&self) {
        self.calls
            .borrow_mut()
            .record_demand(BudgetKind::Discovery, 1.0, 1.0);
        while !self
            .calls
            .borrow_mut()
            .spend_unit(seconds(self.clock.now()), BudgetKind::Discovery)
        {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Begins, unless it is running.
    pub fn start(&self) {
        if self.enabled.get() && !self.running.replace(true) {
            tokio::task::spawn_local(self.clone().run());
        }
    }

    /// Watches at another address from now on. A call that waits at the old one is dropped, and so is the pause
    /// after a failed one: the old service may never answer either.
    pub fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            if self.running.get() {
                self.moved.notify_one();
            } else {
                self.start();
            }
        }
    }

    async fn run(self) {
        while self.watch().await {
            tokio::select! {
                () = self.moved.notified() => {}
                () = tokio::time::sleep(PUSHED_PAUSE) => {}
            }
        }
    }

    /// How long the next call waits at the service, and how long the node waits for its answer beyond that. Silence
    /// shows only after both: so after a silent call the next one waits for nothing, and whether anybody answers is
    /// known at once. After a refused one it waits for a little: a service that has just come back has every node to
    /// answer, and a call each must do.
    fn wait(&self) -> (Duration, Duration) {
        match self.last_call.get() {
            LastCall::Answered => (self.bounds.watch, self.bounds.watch_slack),
            LastCall::Refused => (self.bounds.retry_watch, self.bounds.retry_slack),
            LastCall::Silent => (Duration::ZERO, self.bounds.retry_slack),
        }
    }

    /// Calls until a call fails, and tells the core that it did; whether to call again by itself.
    async fn watch(&self) -> bool {
        let mut wire = None;
        let why = loop {
            if !self.enabled.get() {
                self.running.set(false);
                return false;
            }
            let (wait, slack) = self.wait();
            let limit = wait + slack;
            let call = tokio::select! {
                biased;
                () = self.moved.notified() => {
                    wire = None;
                    continue;
                }
                call = async {
                    self.permitted().await;
                    tokio::time::timeout(limit, self.call(&mut wire, wait)).await
                } => call,
            };
            match call {
                Ok(Ok(update)) => {
                    self.last_call.set(LastCall::Answered);
                    if self.lately.replace(None).is_some() {
                        tracing::info!(source = ENDPOINT_LIST_SOURCE, "told again");
                    }
                    tracing::debug!(
                        source = ENDPOINT_LIST_SOURCE,
                        version = update.version(),
                        "told"
                    );
                    // The version is set before the next call goes out, whenever the core gets to it.
                    self.version.set(update.version());
                    let told = DispatcherMessage::EndpointUpdate {
                        source: ENDPOINT_LIST_SOURCE,
                        update: update.told(),
                    };
                    if self.tell.send(told).await.is_err() {
                        return false;
                    }
                }
                Ok(Err(why)) => {
                    self.last_call.set(LastCall::Refused);
                    break why;
                }
                // Silence is not a refusal: the list goes on without this node until it has called anew, and what
                // it misses counts as told. One new call, and no more: a service that is cut off stays silent.
                Err(_) if self.last_call.replace(LastCall::Silent) != LastCall::Silent => {
                    tracing::info!(
                        source = ENDPOINT_LIST_SOURCE,
                        "the watch fell silent and is opened anew"
                    );
                    wire = None;
                }
                Err(_) => break "no answer in time".to_string(),
            }
        };
        // A service that stays away is asked again and again, and complained of once.
        if self.lately.replace(Some(why.clone())).as_ref() != Some(&why) {
            tracing::warn!(source = ENDPOINT_LIST_SOURCE, why, "no list");
        }
        if !self.pushed {
            self.running.set(false);
        }
        let told = self
            .tell
            .send(DispatcherMessage::EndpointUpdate {
                source: ENDPOINT_LIST_SOURCE,
                update: Told::Failed,
            })
            .await;
        self.pushed && told.is_ok()
    }

    async fn call(&self, wire: &mut Option<Wire>, wait: Duration) -> Result<Update, String> {
        let mut conn = match wire.take() {
            Some(conn) => conn,
            None => {
                let socket = tokio::time::timeout(
                    self.bounds.watch_slack,
                    TcpStream::connect(self.addr.get()),
                )
                .await;
                let socket = socket
                    .map_err(|_| "no connection in time")?
                    .map_err(|e| e.to_string())?;
                Framed::new(socket.into(), Http::new(Side::Client))
            }
        };
        let (since, wait) = (self.version.get(), wait.as_millis());
        let target = format!("/v1/servers?since={since}&timeout_ms={wait}");
        let get = request::get(&target, &self.addr.get().to_string());
        conn.send(Out::Raw(get)).await.map_err(|e| e.to_string())?;
        let (mut status, mut keep, mut body) = (0, false, Vec::new());
        loop {
            match conn.next().await {
                Some(Ok(Part::Head(head))) => {
                    keep = head.keep;
                    status = if let Start::Status(status) = head.start {
                        status
                    } else {
                        0
                    };
                }
                Some(Ok(Part::Body(bytes))) if body.len() + bytes.len() <= MOST_LIST => {
                    body.extend_from_slice(&bytes);
                }
                Some(Ok(Part::Body(_))) => return Err("answer too long".into()),
                Some(Ok(Part::End)) => break,
                Some(Err(e)) => return Err(e.to_string()),
                None => return Err("connection closed".into()),
            }
        }
        if status != 200 {
            return Err(format!("status {status}"));
        }
        if keep {
            *wire = Some(conn);
        }
        let value =
            serde_json::from_slice(&body).map_err(|e| format!("answer not in JSON ({e})"))?;
        read(&value)
    }
}
