//! The pool of connections to replicas: bounded in number, and used again with the newest first.
//!
//! [`attempts`](super::attempts) and [`probes`](super::probes) acquire connections here and release them once the response
//! is complete. A connection that is in use belongs to whoever has acquired it; dropping it closes the socket and frees its
//! place. `program::serve` closes expired idle connections from time to time.

use crate::protocol::http::{HttpCodec, Role};
use crate::transport::HttpConnection;
use poppykeel_scheduler::ReplicaId;
use rustix::io::Errno;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// A replica and where it listens. Both identify a connection: a new replica may listen at the address of a removed one, and
/// a replica may move; neither may inherit connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaAddress {
    /// The replica.
    pub replica: ReplicaId,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// A connection to a replica, with its place among the bounded number of them.
pub struct ReplicaConnection {
    http: HttpConnection,
    _permit: ConnectionPermit,
}

impl ReplicaConnection {
    /// The socket with its codec.
    pub fn http(&self) -> &HttpConnection {
        &self.http
    }

    /// The socket with its codec, to read and write.
    pub fn http_mut(&mut self) -> &mut HttpConnection {
        &mut self.http
    }

    /// Whether nothing has come since the last response. A connection that has anything to say between two responses has
    /// ended or is out of step. The kernel is asked: the runtime may not have seen yet that there are bytes, and a second
    /// response must not be taken for that of the next request.
    fn is_quiet(&self) -> bool {
        let unread = self.http.get_ref().unread();
        self.http.read_buffer().is_empty()
            && unread.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

/// One of the bounded number of connections; frees its place when it is dropped.
struct ConnectionPermit(Rc<RefCell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        *self.0.borrow_mut() -= 1;
    }
}

/// Why no connection to a replica could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The replica could not be reached in time.
    #[error("the replica could not be reached in time")]
    Unreachable,
    /// This node holds as many connections as it may, or its machine lacks something. Nothing of it is the replica's fault.
    #[error("this node cannot open another connection")]
    Exhausted,
}

/// A connection that nobody uses.
struct PooledConnection {
    idle_since: Instant,
    /// The connection is not used again before this time.
    reusable_at: Instant,
    connection: ReplicaConnection,
}

/// A wait for the time at which a connection may be used again. Dropping it gives the connection back to the pool: on some
/// days many clients disconnect during the wait, and each connection that is closed costs a new one.
struct ReuseWait<'a> {
    pool: &'a ConnectionPool,
    address: ReplicaAddress,
    idle: Option<PooledConnection>,
}

impl Drop for ReuseWait<'_> {
    fn drop(&mut self) {
        let Some(idle) = self.idle.take() else {
            return;
        };
        let mut connections = self.pool.idle.borrow_mut();
        let of_replica = connections.entry(self.address).or_default();
        let position = of_replica.partition_point(|other| other.idle_since <= idle.idle_since);
        of_replica.insert(position, idle);
    }
}

/// The idle connections to one replica, the newest last.
type PooledConnections = Vec<PooledConnection>;

/// The pool of connections to replicas; clones are the same pool.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Rc<RefCell<BTreeMap<ReplicaAddress, PooledConnections>>>,
    open_count: Rc<RefCell<usize>>,
    max_open: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(max_open: usize, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        ConnectionPool {
            idle: Rc::default(),
            open_count: Rc::default(),
            max_open,
            connect_timeout,
            idle_timeout,
        }
    }

    /// Gives the newest idle connection to a replica that may be used, or a new one. Where the only idle ones may not be
    /// used yet, one of them is waited for: the wait is short, and a new connection costs the replica work.
    ///
    /// Dropping the future closes a connection that is being established and keeps one that was waited for.
    ///
    /// # Errors
    ///
    /// Fails where the replica can't be reached in time, or where this node can't open another connection.
    pub async fn acquire(
        &self,
        address: ReplicaAddress,
    ) -> Result<ReplicaConnection, ConnectError> {
        while let Some(idle) = self.take_idle(address) {
            let reusable_at = idle.reusable_at;
            if reusable_at <= Instant::now() {
                return Ok(idle.connection);
            }
            let mut wait = ReuseWait {
                pool: self,
                address,
                idle: Some(idle),
            };
            tokio::time::sleep_until(reusable_at).await;
            if let Some(idle) = wait.idle.take() {
                if idle.connection.is_quiet() {
                    return Ok(idle.connection);
                }
            }
        }
        self.connect(address.addr).await
    }

    /// Opens a connection, at the cost of the oldest idle one where there are as many as there may be.
    async fn connect(&self, addr: SocketAddr) -> Result<ReplicaConnection, ConnectError> {
        if *self.open_count.borrow() >= self.max_open && !self.close_oldest_idle() {
            return Err(ConnectError::Exhausted);
        }
        *self.open_count.borrow_mut() += 1;
        let permit = ConnectionPermit(self.open_count.clone());
        match tokio::time::timeout(self.connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(socket)) => Ok(ReplicaConnection {
                http: Framed::new(socket.into(), HttpCodec::new(Role::Client)),
                _permit: permit,
            }),
            Ok(Err(e)) if is_local_failure(&e) => {
                tracing::debug!(why = %e, to = %addr, "no connection for a reason of this machine");
                Err(ConnectError::Exhausted)
            }
            Ok(Err(_)) | Err(_) => Err(ConnectError::Unreachable),
        }
    }

    /// Takes the newest idle connection that may be used now or, failing that, the one that may be used first. Connections
    /// that have expired or are not quiet are closed on the way.
    fn take_idle(&self, address: ReplicaAddress) -> Option<PooledConnection> {
        let now = Instant::now();
        loop {
            let mut connections = self.idle.borrow_mut();
            let of_replica = connections.get_mut(&address)?;
            let newest_reusable = of_replica.iter().rposition(|idle| idle.reusable_at <= now);
            let position = newest_reusable.or_else(|| {
                (0..of_replica.len()).min_by_key(|position| of_replica[*position].reusable_at)
            })?;
            let idle = of_replica.remove(position);
            if now - idle.idle_since < self.idle_timeout && idle.connection.is_quiet() {
                return Some(idle);
            }
        }
    }

    /// Takes back a connection whose response is complete. It is used again after `reuse_delay`. A connection that is in the
    /// middle of a response or has unread bytes is closed instead.
    pub fn release(
        &self,
        address: ReplicaAddress,
        connection: ReplicaConnection,
        reuse_delay: Duration,
    ) {
        if !connection.http.codec().is_between_messages() || !connection.is_quiet() {
            return;
        }
        let idle_since = Instant::now();
        let idle = PooledConnection {
            idle_since,
            reusable_at: idle_since + reuse_delay,
            connection,
        };
        let mut connections = self.idle.borrow_mut();
        connections.entry(address).or_default().push(idle);
    }

    /// Closes the connection that has been idle longest; false where none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut connections = self.idle.borrow_mut();
        let oldest = connections
            .iter()
            .filter_map(|(address, idle)| idle.first().map(|first| (first.idle_since, *address)))
            .min();
        let Some((_, address)) = oldest else {
            return false;
        };
        let Some(of_replica) = connections.get_mut(&address) else {
            return false;
        };
        of_replica.remove(0);
        true
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, of_replica| {
            of_replica.retain(|idle| idle.idle_since.elapsed() < self.idle_timeout);
            !of_replica.is_empty()
        });
    }

    /// How many connections are open now, in use or idle.
    pub fn open_count(&self) -> usize {
        *self.open_count.borrow()
    }
}

/// Whether connecting failed since this machine lacks something, or by a signal: it may not be held against the replica.
fn is_local_failure(error: &std::io::Error) -> bool {
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
