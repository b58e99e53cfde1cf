//! Connections to replicas: bounded in number, used again newest first.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use super::Wire;
use crate::protocol::http::{HttpCodec, Role};
use poppykeel_scheduler::ReplicaId;
use rustix::io::Errno;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// A connection and its place among the bounded number.
pub struct Conn {
    /// The connection.
    pub wire: Wire,
    _place: Place,
}

/// Frees its place when the connection is dropped, however that comes about.
struct Place(Rc<RefCell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        *self.0.borrow_mut() -= 1;
    }
}

/// Why no connection could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConn {
    /// The replica could not be reached in time.
    Failed,
    /// This node holds as many connections as it may.
    Exhausted,
}

/// A connection that nobody uses.
struct Resting {
    since: Instant,
    /// Not used again before this.
    until: Instant,
    conn: Conn,
}

/// A wait for the end of a connection's rest. Clients that leave within it are many on some days: the connection goes
/// back then, since each one that is closed costs a new one.
struct Wait<'a> {
    pool: &'a Pool,
    peer: Peer,
    resting: Option<Resting>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let Some(resting) = self.resting.take() else {
            return;
        };
        let mut idle = self.pool.idle.borrow_mut();
        let list = idle.entry(self.peer).or_default();
        list.insert(list.partition_point(|c| c.since <= resting.since), resting);
    }
}

/// The idle connections to one replica, newest last.
type Idle = Vec<Resting>;

/// A replica and where it listens. A new replica may stand where one has gone, and a replica may move: neither
/// must inherit connections.
pub type Peer = (ReplicaId, SocketAddr);

/// The pool; clones are the same pool.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<BTreeMap<Peer, Idle>>>,
    open: Rc<RefCell<usize>>,
    most: usize,
    dial: Duration,
    keep: Duration,
}

impl Pool {
    /// An empty pool.
    pub fn new(most: usize, dial: Duration, keep: Duration) -> Self {
        let (idle, open) = Default::default();
        Pool {
            idle,
            open,
            most,
            dial,
            keep,
        }
    }

    /// The newest idle connection to a replica, or a new one. One that still rests is waited for: that is short, and a
    /// new connection costs the replica work.
    pub async fn get(&self, peer: Peer) -> Result<Conn, NoConn> {
        while let Some(resting) = self.reuse(peer) {
            let until = resting.until;
            if until <= Instant::now() {
                return Ok(resting.conn);
            }
            let mut wait = Wait {
                pool: self,
                peer,
                resting: Some(resting),
            };
            tokio::time::sleep_until(until).await;
            if let Some(Resting { conn, .. }) = wait.resting.take().filter(|r| quiet(&r.conn.wire))
            {
                return Ok(conn);
            }
        }
        if *self.open.borrow() >= self.most && !self.drop_oldest() {
            return Err(NoConn::Exhausted);
        }
        *self.open.borrow_mut() += 1;
        let place = Place(self.open.clone());
        match tokio::time::timeout(self.dial, TcpStream::connect(peer.1)).await {
            Ok(Ok(socket)) => Ok(Conn {
                wire: Framed::new(socket.into(), HttpCodec::new(Role::Client)),
                _place: place,
            }),
            Ok(Err(e)) if is_local(&e) => {
                tracing::debug!(why = %e, to = %peer.1, "no connection for a reason of this machine");
                Err(NoConn::Exhausted)
            }
            _ => Err(NoConn::Failed),
        }
    }

    fn reuse(&self, peer: Peer) -> Option<Resting> {
        let now = Instant::now();
        loop {
            let mut idle = self.idle.borrow_mut();
            let list = idle.get_mut(&peer)?;
            let rested = list.iter().rposition(|c| c.until <= now);
            let at = rested.or_else(|| (0..list.len()).min_by_key(|n| list[*n].until))?;
            let resting = list.remove(at);
            if now - resting.since < self.keep && quiet(&resting.conn.wire) {
                return Some(resting);
            }
        }
    }

    /// Takes back a connection whose answer is complete, to be used again after `rest`; one with unread bytes is
    /// closed instead.
    pub fn put(&self, peer: Peer, conn: Conn, rest: Duration) {
        if conn.wire.codec().is_between_messages() && quiet(&conn.wire) {
            let since = Instant::now();
            let resting = Resting {
                since,
                until: since + rest,
                conn,
            };
            self.idle
                .borrow_mut()
                .entry(peer)
                .or_default()
                .push(resting);
        }
    }

    fn drop_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(a, l)| l.first().map(|c| (c.since, *a)))
            .min();
        oldest
            .and_then(|(_, addr)| idle.get_mut(&addr))
            .is_some_and(|list| {
                list.remove(0);
                true
            })
    }

    /// Closes what has been idle too long.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|c| c.since.elapsed() < self.keep);
            !list.is_empty()
        });
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        *self.open.borrow()
    }
}

/// Whether a connection failed for want of something on this machine, or by a signal: nothing may be held against the replica.
fn is_local(error: &std::io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(
        code,
        Some(
            Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
                | Errno::AGAIN
                | Errno::INTR
        )
    )
}

/// A connection that has anything to say between two answers has ended or is out of step. The kernel is asked:
/// the runtime may not have seen yet that there are bytes, and a second answer must not meet the next request.
fn quiet(wire: &Wire) -> bool {
    let peeked = wire.get_ref().unread();
    wire.read_buffer().is_empty()
        && peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}
