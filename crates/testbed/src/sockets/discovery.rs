//! Discovery on a socket: the list, and watches of it.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

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

/// One server on the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// "up", "draining" or "removed".
    pub state: &'static str,
    /// Unix time of its start in milliseconds, 0 for long ago.
    pub started_ms: i64,
}

impl Entry {
    fn json(&self) -> Value {
        json!({"id": self.name, "addr": self.addr.to_string(), "zone": self.zone, "kind": "k", "cell": 0,
            "state": self.state, "weight": 1.0, "started_ms": self.started_ms})
    }
}

/// Discovery.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    entries: Rc<RefCell<Vec<(u64, Entry)>>>,
    version: Rc<Cell<u64>>,
    silent: Rc<Cell<bool>>,
    changed: Rc<Notify>,
}

impl Discovery {
    /// Starts it with this list.
    pub async fn start(entries: Vec<Entry>) -> Result<Discovery, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| format!("discovery: {e}"))?;
        let addr = listener
            .local_addr()
            .map_err(|e| format!("discovery: {e}"))?;
        let entries = Rc::new(RefCell::new(entries.into_iter().map(|e| (1, e)).collect()));
        let (version, silent, changed) =
            (Rc::new(Cell::new(1)), Rc::default(), Rc::new(Notify::new()));
        let discovery = Discovery {
            addr,
            entries,
            version,
            silent,
            changed,
        };
        let own = discovery.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                spawn_local(async move { own.connection(stream).await });
            }
        });
        Ok(discovery)
    }

    /// The list as a node's configuration holds it.
    pub fn whole(&self) -> Value {
        let entries = self.entries.borrow();
        let servers = entries
            .iter()
            .filter(|e| e.1.state != "removed")
            .map(|e| e.1.json());
        json!({"version": self.version.get(), "full": true, "servers": servers.collect::<Vec<_>>()})
    }

    /// Changes a server's state and start.
    pub fn set(&self, server: usize, state: &'static str, started_ms: Option<i64>) {
        self.version.set(self.version.get() + 1);
        if let Some(entry) = self.entries.borrow_mut().get_mut(server) {
            entry.0 = self.version.get();
            entry.1.state = state;
            entry.1.started_ms = started_ms.unwrap_or(entry.1.started_ms);
        }
        self.changed.notify_waiters();
    }

    /// Whether it tells nothing.
    pub fn silence(&self, silent: bool) {
        self.silent.set(silent);
        self.changed.notify_waiters();
    }

    async fn connection(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut wire = Framed::new(stream, HttpCodec::new(Role::Server));
        loop {
            let target = match wire.next().await?.ok()? {
                MessagePart::Head(head) => match head.start_line {
                    StartLine::Request { target, .. } => target,
                    StartLine::Status(_) => return None,
                },
                _ => continue,
            };
            let query = |key: &str| -> Option<u64> {
                let pairs = target.split_once('?')?.1.split('&');
                pairs
                    .filter_map(|p| p.split_once('='))
                    .find(|p| p.0 == key)?
                    .1
                    .parse()
                    .ok()
            };
            let body = match query("since") {
                None => self.whole(),
                Some(since) => {
                    let wait = Duration::from_millis(query("timeout_ms").unwrap_or(0).min(60_000));
                    let _ = tokio::time::timeout(wait, self.news(since)).await;
                    if self.silent.get() {
                        return None;
                    }
                    let entries = self.entries.borrow();
                    let changed = entries.iter().filter(|e| e.0 > since).map(|e| e.1.json());
                    json!({"version": self.version.get(), "full": false, "servers": changed.collect::<Vec<_>>()})
                }
            };
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            wire.send(EncodedMessage::Raw(head.into())).await.ok()?;
        }
    }

    async fn news(&self, since: u64) {
        loop {
            let changed = self.changed.notified();
            if self.version.get() > since && !self.silent.get() {
                return;
            }
            changed.await;
        }
    }
}
