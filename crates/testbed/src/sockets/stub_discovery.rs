//! Stub discovery server: serves the endpoint list, and changes to it by long polls.

use super::error::SocketsError;
use futures_util::{SinkExt, StreamExt};
use poppykeel::protocol::http::{EncodedMessage, HttpCodec, MessagePart, Role, StartLine};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

/// The maximum duration of a long poll, in milliseconds.
const MAX_POLL_MS: u64 = 60_000;
/// The version of the first list.
const FIRST_VERSION: u64 = 1;

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct DiscoveryEntry {
    /// The name of the server.
    pub name: String,
    /// The address at which the server listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// "up", "draining" or "removed".
    pub state: &'static str,
    /// The Unix time of the server's start in milliseconds; 0 means long ago.
    pub started_ms: i64,
}

impl DiscoveryEntry {
    /// An available server that started long ago.
    pub fn new(index: usize, zone: usize, address: SocketAddr) -> Self {
        DiscoveryEntry {
            name: format!("m-{index}"),
            address,
            zone: format!("z{zone}"),
            state: "up",
            started_ms: 0,
        }
    }

    fn to_json(&self) -> Value {
        json!({"id": self.name, "addr": self.address.to_string(), "zone": self.zone, "kind": "k", "cell": 0,
            "state": self.state, "weight": 1.0, "started_ms": self.started_ms})
    }
}

/// An entry with the list version that last changed it.
struct VersionedEntry {
    version: u64,
    entry: DiscoveryEntry,
}

/// The stub server. Clones share the list.
#[derive(Clone)]
pub struct StubDiscovery {
    address: SocketAddr,
    entries: Rc<RefCell<Vec<VersionedEntry>>>,
    version: Rc<Cell<u64>>,
    is_silent: Rc<Cell<bool>>,
    /// Wakes all long polls.
    changed: Rc<Notify>,
}

impl StubDiscovery {
    /// Starts the stub with this list. Its tasks run until the enclosing `LocalSet` is dropped.
    pub async fn start(entries: Vec<DiscoveryEntry>) -> Result<StubDiscovery, SocketsError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(SocketsError::Discovery)?;
        let address = listener.local_addr().map_err(SocketsError::Discovery)?;
        let versioned = entries.into_iter().map(|entry| VersionedEntry {
            version: FIRST_VERSION,
            entry,
        });
        let discovery = StubDiscovery {
            address,
            entries: Rc::new(RefCell::new(versioned.collect())),
            version: Rc::new(Cell::new(FIRST_VERSION)),
            is_silent: Rc::default(),
            changed: Rc::new(Notify::new()),
        };
        spawn_local(discovery.clone().accept_connections(listener));
        Ok(discovery)
    }

    /// The address at which the stub listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The full list without removed servers, in the format of discovery responses and of the node configuration.
    pub fn full_list(&self) -> Value {
        let entries = self.entries.borrow();
        let servers: Vec<Value> = entries
            .iter()
            .filter(|versioned| versioned.entry.state != "removed")
            .map(|versioned| versioned.entry.to_json())
            .collect();
        json!({"version": self.version.get(), "full": true, "servers": servers})
    }

    /// Changes a server's state, and its start time if one is given.
    pub fn set_state(&self, server: usize, state: &'static str, started_ms: Option<i64>) {
        self.version.set(self.version.get() + 1);
        if let Some(versioned) = self.entries.borrow_mut().get_mut(server) {
            versioned.version = self.version.get();
            versioned.entry.state = state;
            if let Some(started_ms) = started_ms {
                versioned.entry.started_ms = started_ms;
            }
        }
        self.changed.notify_waiters();
    }

    /// Sets whether the stub stops responding to long polls.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.set(is_silent);
        self.changed.notify_waiters();
    }

    async fn accept_connections(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let discovery = self.clone();
            spawn_local(async move { discovery.serve(stream).await });
        }
    }

    /// Serves the requests of a connection until it ends or the stub becomes silent.
    async fn serve(&self, stream: TcpStream) -> Option<()> {
        // An error is ignored: it only adds latency.
        let _ = stream.set_nodelay(true);
        let mut connection = Framed::new(stream, HttpCodec::new(Role::Server));
        loop {
            let MessagePart::Head(head) = connection.next().await?.ok()? else {
                continue;
            };
            let StartLine::Request { target, .. } = head.start_line else {
                return None;
            };
            let body = self.answer(&target).await?.to_string();
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            connection
                .send(EncodedMessage::Raw(response.into()))
                .await
                .ok()?;
        }
    }

    /// Returns the full list, or, for a target with `since`, waits for changes after that version. Returns `None` if
    /// the stub is silent.
    async fn answer(&self, target: &str) -> Option<Value> {
        let Some(since) = query_number(target, "since") else {
            return Some(self.full_list());
        };
        let wait_ms = query_number(target, "timeout_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait_ms.min(MAX_POLL_MS));
        // After a timeout the response has only the version.
        let _ = tokio::time::timeout(wait, self.wait_for_change(since)).await;
        if self.is_silent.get() {
            return None;
        }
        let entries = self.entries.borrow();
        let servers: Vec<Value> = entries
            .iter()
            .filter(|versioned| versioned.version > since)
            .map(|versioned| versioned.entry.to_json())
            .collect();
        Some(json!({"version": self.version.get(), "full": false, "servers": servers}))
    }

    async fn wait_for_change(&self, since: u64) {
        loop {
            let changed = self.changed.notified();
            if self.version.get() > since && !self.is_silent.get() {
                return;
            }
            changed.await;
        }
    }
}

/// A number in the query of a request's target.
fn query_number(target: &str, key: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == key)?;
    value.parse().ok()
}
