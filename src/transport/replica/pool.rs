//! The pool of connections to replicas. Their number is bounded, and the most recently used idle connection is reused first.
//!
//! [`attempts`](super::attempts) and [`probes`](super::probes) acquire connections here and release them after a complete
//! response. A connection in use belongs to the task that acquired it; dropping it resets the connection and frees its permit
//! ([`connection`](super::connection)).
//! `program::serve` periodically closes expired idle connections.

use super::connection::{ConnectionPermit, IdleConnection, ReplicaConnection};
use poppykeel_scheduler::ReplicaId;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A process of a replica and the address where it listens. Together they identify the pool entry: a new replica may listen at
/// the address of a removed one, a replica may be restarted, and it may move to another address; none may reuse the earlier
/// connections. Those become idle and expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaAddress {
    /// Stays the same if the replica moves to another address.
    pub replica: ReplicaId,
    /// The start of its process as the endpoint list gives it, in milliseconds of Unix time; 0 if it started long ago.
    pub started_ms: i64,
    /// The address where it listens.
    pub addr: SocketAddr,
}

/// Why no connection to a replica could be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The replica refused the connection or did not accept it in time.
    #[error("the replica could not be reached in time")]
    Unreachable,
    /// The node has reached its connection limit, or its machine lacks a resource. The replica is not at fault.
    #[error("this node cannot open another connection")]
    Exhausted,
}

/// An idle connection.
struct PooledConnection {
    idle_since: Instant,
    /// The connection is not reused before this time.
    reusable_at: Instant,
    connection: IdleConnection,
}

/// A wait until a connection may be reused. Dropping it returns the connection to the pool: many clients may disconnect
/// during the wait, and each closed connection would have to be replaced by a new one.
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
        let replica_connections = connections.entry(self.address).or_default();
        let position =
            replica_connections.partition_point(|other| other.idle_since <= idle.idle_since);
        replica_connections.insert(position, idle);
    }
}

/// Idle connections to one replica, the most recently used last.
type PooledConnections = Vec<PooledConnection>;

/// The pool of connections to replicas. Clones share one pool.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Rc<RefCell<BTreeMap<ReplicaAddress, PooledConnections>>>,
    open_count: Rc<Cell<usize>>,
    max_open: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// Creates an empty pool. `max_open` limits the open connections, in use or idle.
    pub fn new(max_open: usize, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        ConnectionPool {
            idle: Rc::default(),
            open_count: Rc::default(),
            max_open,
            connect_timeout,
            idle_timeout,
        }
    }

    /// Returns the most recently used idle connection to a replica that may be reused, or a new one. If all idle connections
    /// are still in their reuse delay, waits for one of them: the wait is short, and a new connection costs the replica
    /// work.
    ///
    /// Dropping the future closes a connection that is being established, and returns to the pool one that was waited for.
    ///
    /// # Errors
    ///
    /// Fails if the replica can't be reached in time, or if this node can't open another connection.
    pub async fn acquire(
        &self,
        address: ReplicaAddress,
    ) -> Result<ReplicaConnection, ConnectError> {
        while let Some(idle) = self.take_idle(address) {
            let reusable_at = idle.reusable_at;
            if reusable_at <= Instant::now() {
                return Ok(idle.connection.into_active());
            }
            let mut wait = ReuseWait {
                pool: self,
                address,
                idle: Some(idle),
            };
            tokio::time::sleep_until(reusable_at).await;
            if let Some(idle) = wait.idle.take() {
                if idle.connection.is_quiet() {
                    return Ok(idle.connection.into_active());
                }
            }
        }
        self.connect(address.addr).await
    }

    /// Opens a connection. At the limit, closes the connection that has been idle longest to make room.
    async fn connect(&self, addr: SocketAddr) -> Result<ReplicaConnection, ConnectError> {
        if self.open_count() >= self.max_open && !self.close_oldest_idle() {
            return Err(ConnectError::Exhausted);
        }
        let permit = ConnectionPermit::new(&self.open_count);
        match tokio::time::timeout(self.connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => Ok(ReplicaConnection::new(stream, permit)),
            Ok(Err(e)) if is_local_failure(&e) => {
                tracing::debug!(why = %e, to = %addr, "connecting to a replica failed for a local reason");
                Err(ConnectError::Exhausted)
            }
            Ok(Err(_)) | Err(_) => Err(ConnectError::Unreachable),
        }
    }

    /// Removes from the pool the most recently used idle connection that may be reused now or, failing that, the one that
    /// may be reused first. Connections that have expired or have unread bytes are closed on the way.
    fn take_idle(&self, address: ReplicaAddress) -> Option<PooledConnection> {
        let now = Instant::now();
        loop {
            let mut connections = self.idle.borrow_mut();
            let replica_connections = connections.get_mut(&address)?;
            let newest_reusable = replica_connections
                .iter()
                .rposition(|idle| idle.reusable_at <= now);
            let position = newest_reusable.or_else(|| {
                (0..replica_connections.len())
                    .min_by_key(|position| replica_connections[*position].reusable_at)
            })?;
            let idle = replica_connections.remove(position);
            if now - idle.idle_since < self.idle_timeout && idle.connection.is_quiet() {
                return Some(idle);
            }
        }
    }

    /// Returns a connection to the pool after its response. It is not reused within `reuse_delay`. A connection that can't be
    /// used again is reset instead.
    pub fn release(
        &self,
        address: ReplicaAddress,
        connection: ReplicaConnection,
        reuse_delay: Duration,
    ) {
        let Some(connection) = connection.into_idle() else {
            return;
        };
        let idle_since = Instant::now();
        let idle = PooledConnection {
            idle_since,
            reusable_at: idle_since + reuse_delay,
            connection,
        };
        let mut connections = self.idle.borrow_mut();
        connections.entry(address).or_default().push(idle);
    }

    /// Closes the connection that has been idle longest. Returns false if no connection is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut connections = self.idle.borrow_mut();
        let oldest = connections
            .iter()
            .filter_map(|(address, idle)| idle.first().map(|first| (first.idle_since, *address)))
            .min();
        let Some((_, address)) = oldest else {
            return false;
        };
        let Some(replica_connections) = connections.get_mut(&address) else {
            return false;
        };
        replica_connections.remove(0);
        true
    }

    /// Closes connections that have been idle for longer than the idle timeout.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, replica_connections| {
            replica_connections.retain(|idle| idle.idle_since.elapsed() < self.idle_timeout);
            !replica_connections.is_empty()
        });
    }

    /// Number of open connections, in use or idle.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }
}

/// Whether connecting failed because of a signal or a resource that this machine lacks. Such a failure must not count
/// against the replica.
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
