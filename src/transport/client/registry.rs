//! State shared by all client connections: settings and channels, the limits on their number and on the memory of request
//! bodies, and the set of idle connections.
//!
//! The listener checks here whether it may admit another connection; each connection registers when it opens, becomes idle
//! and closes. Invariants:
//! - No more than [`MAX_PENDING_EVICTIONS`] connections are open beyond the limit, each in place of one that is being
//!   evicted.
//! - A connection that has been idle for less than [`MIN_IDLE_BEFORE_EVICTION`] is not evicted.

use super::close_reason::CloseCounters;
use super::shutdown::Shutdown;
use crate::transport::messages::{DispatcherMessage, RequestOwner};
use crate::transport::node_phase::NodePhase;
use crate::transport::replica::stream_monitor::StreamMonitor;
use crate::transport::TransportLimits;
use poppykeel_site_settings::SiteSettings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// A connection that has been idle for less than this is not evicted, since a request may be on its way to it.
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(250);

/// Maximum number of evicted connections that have not closed yet.
pub const MAX_PENDING_EVICTIONS: usize = 16;

/// Bytes sent ahead are kept only while all bodies together use less than this part of their memory.
const READ_AHEAD_DIVISOR: usize = 2;

/// State shared by all client connections.
pub struct ConnectionRegistry {
    site: RefCell<Rc<SiteSettings>>,
    limits: Rc<TransportLimits>,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    phase: watch::Receiver<NodePhase>,
    stream_monitor: Rc<StreamMonitor>,
    shutdown: Shutdown,
    close_counters: CloseCounters,
    body_memory_bytes: Cell<usize>,
    open_count: Cell<usize>,
    accepted_count: Cell<u64>,
    /// Idle connections in the order in which they became idle, which is also the order of eviction. Connections that have
    /// had no request are not evicted first: a flood of silent connections would then displace new clients that are about
    /// to send their first request, while old unused connections would remain.
    idle: RefCell<BTreeMap<u64, IdleConnection>>,
    last_idle_number: Cell<u64>,
    last_request_owner: Cell<RequestOwner>,
}

/// A connection without a request in progress.
struct IdleConnection {
    since: Instant,
    /// Notifies the connection's task to close it.
    eviction: Rc<Notify>,
}

/// A connection's registration as idle.
pub(super) struct IdleRegistration {
    /// Identifies the registration.
    pub(super) number: u64,
    /// Notified when the connection must close to make room for another.
    pub(super) eviction: Rc<Notify>,
}

impl ConnectionRegistry {
    /// Creates a registry without connections.
    pub fn new(
        site: Rc<SiteSettings>,
        limits: Rc<TransportLimits>,
        dispatcher: mpsc::Sender<DispatcherMessage>,
        phase: watch::Receiver<NodePhase>,
        stream_monitor: Rc<StreamMonitor>,
    ) -> Self {
        ConnectionRegistry {
            site: RefCell::new(site),
            limits,
            dispatcher,
            phase,
            stream_monitor,
            shutdown: Shutdown::default(),
            close_counters: CloseCounters::default(),
            body_memory_bytes: Cell::default(),
            open_count: Cell::default(),
            accepted_count: Cell::default(),
            idle: RefCell::default(),
            last_idle_number: Cell::default(),
            last_request_owner: Cell::default(),
        }
    }

    /// The current site settings.
    pub fn site(&self) -> Rc<SiteSettings> {
        self.site.borrow().clone()
    }

    /// Replaces the site settings for requests that are read from now on.
    pub fn set_site(&self, site: Rc<SiteSettings>) {
        self.site.replace(site);
    }

    /// Limits such as the timeouts for reading from clients and writing to them.
    pub fn limits(&self) -> &TransportLimits {
        &self.limits
    }

    /// The channel to the dispatcher.
    pub fn dispatcher(&self) -> &mpsc::Sender<DispatcherMessage> {
        &self.dispatcher
    }

    /// The node's shutdown, with the time limits that it sets.
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// Counts of closed connections by reason.
    pub fn close_counters(&self) -> &CloseCounters {
        &self.close_counters
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    pub(super) fn phase(&self) -> watch::Receiver<NodePhase> {
        self.phase.clone()
    }

    /// Whether clients may stay connected. Otherwise each response is the last on its connection.
    pub(super) fn is_serving(&self) -> bool {
        *self.phase.borrow() == NodePhase::Serving
    }

    /// The monitor of all streams.
    pub(super) fn stream_monitor(&self) -> &Rc<StreamMonitor> {
        &self.stream_monitor
    }

    /// Whether the connection limit is reached.
    pub(super) fn is_full(&self) -> bool {
        self.open_count.get() >= self.limits.max_client_connections
    }

    /// Evicts an idle connection for a new one beyond the limit. Returns false if none can be evicted, or if too many
    /// evicted ones are still open.
    pub(super) fn try_make_room(&self) -> bool {
        let max_open = self.limits.max_client_connections + MAX_PENDING_EVICTIONS;
        self.open_count.get() < max_open && self.evict_idle()
    }

    /// Evicts the connection that has been idle longest. Returns false if no connection is idle, or if all became idle so
    /// recently that a request may be on its way.
    pub fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(oldest) = idle.first_entry() else {
            return false;
        };
        if oldest.get().since.elapsed() < MIN_IDLE_BEFORE_EVICTION {
            return false;
        }
        oldest.remove().eviction.notify_one();
        true
    }

    /// Waits until requests are no longer read because the node shuts down. Cancel-safe.
    pub(super) async fn wait_for_read_end(&self) {
        let mut phase = self.phase.clone();
        let is_closing = phase
            .wait_for(|phase| *phase == NodePhase::Closing)
            .await
            .is_ok();
        let deadline = self.shutdown.read_deadline();
        match deadline.filter(|_| is_closing) {
            Some(deadline) => tokio::time::sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    }

    /// Counts an opened connection and returns its number, unique within the process.
    pub(super) fn count_opened(&self) -> u64 {
        self.open_count.set(self.open_count.get() + 1);
        self.accepted_count.set(self.accepted_count.get() + 1);
        self.accepted_count.get()
    }

    pub(super) fn count_closed(&self) {
        self.open_count.set(self.open_count.get() - 1);
    }

    pub(super) fn register_idle(&self) -> IdleRegistration {
        let number = self.last_idle_number.get() + 1;
        self.last_idle_number.set(number);
        let eviction = Rc::new(Notify::new());
        let connection = IdleConnection {
            since: Instant::now(),
            eviction: eviction.clone(),
        };
        self.idle.borrow_mut().insert(number, connection);
        IdleRegistration { number, eviction }
    }

    pub(super) fn unregister_idle(&self, number: u64) {
        self.idle.borrow_mut().remove(&number);
    }

    /// Returns a new identifier for one wait for a response, unique within the process.
    pub(super) fn new_request_owner(&self) -> RequestOwner {
        let owner = RequestOwner(self.last_request_owner.get().0 + 1);
        self.last_request_owner.set(owner);
        owner
    }
}

/// Memory of one request body, counted against the limit of all bodies until the permit is dropped.
pub(super) struct BodyMemoryPermit {
    registry: Rc<ConnectionRegistry>,
    held_bytes: usize,
}

impl BodyMemoryPermit {
    /// Creates a permit for 0 bytes.
    pub(super) fn new(registry: Rc<ConnectionRegistry>) -> BodyMemoryPermit {
        BodyMemoryPermit {
            registry,
            held_bytes: 0,
        }
    }

    /// Adds this many bytes to the permit. Returns false if that would exceed the limit.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        self.try_grow_within(bytes, self.registry.limits.max_body_memory_bytes)
    }

    /// Like [`BodyMemoryPermit::try_grow`], for bytes sent ahead of their turn. They leave a part of the memory to the bodies of
    /// requests whose turn has come.
    pub(super) fn try_grow_read_ahead(&mut self, bytes: usize) -> bool {
        let limit = self.registry.limits.max_body_memory_bytes / READ_AHEAD_DIVISOR;
        self.try_grow_within(bytes, limit)
    }

    fn try_grow_within(&mut self, bytes: usize, limit: usize) -> bool {
        let total = self.registry.body_memory_bytes.get() + bytes;
        if total > limit {
            return false;
        }
        self.registry.body_memory_bytes.set(total);
        self.held_bytes += bytes;
        true
    }
}

impl Drop for BodyMemoryPermit {
    fn drop(&mut self) {
        let total = &self.registry.body_memory_bytes;
        total.set(total.get() - self.held_bytes);
    }
}
