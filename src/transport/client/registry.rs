//! What all connections of clients share: settings and channels, the limits on their number and on the memory of request
//! bodies, and which of them are idle.
//!
//! The listener asks whether one more connection may come in; each connection registers when it opens, becomes idle and
//! closes. Invariants:
//! - No more than [`MAX_PENDING_EVICTIONS`] connections are open beyond the limit, each for one that is on its way out.
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

/// A request may be on its way to a connection that has been idle for less than this: it is not closed to make room.
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(250);

/// Connections that have been told to close and have not closed yet.
pub const MAX_PENDING_EVICTIONS: usize = 16;

/// What all connections of clients share.
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
    /// Idle connections in the order in which they became idle. That order alone decides who is evicted. With those first
    /// that had sent nothing yet, a flood of silent connections pushed out ordinary clients whose first request was about to
    /// come; and there is no end of old connections that stay unused.
    idle: RefCell<BTreeMap<u64, IdleConnection>>,
    last_idle_number: Cell<u64>,
    last_request_owner: Cell<RequestOwner>,
}

/// A connection without a request.
struct IdleConnection {
    since: Instant,
    /// Tells the connection's task to close it.
    eviction: Rc<Notify>,
}

/// A connection's registration as idle.
pub(super) struct IdleRegistration {
    /// Identifies the registration.
    pub(super) number: u64,
    /// Notified when the connection has to close, since another one needs its place.
    pub(super) eviction: Rc<Notify>,
}

impl ConnectionRegistry {
    /// A registry without connections.
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

    /// The settings of the site as they are now.
    pub fn site(&self) -> Rc<SiteSettings> {
        self.site.borrow().clone()
    }

    /// Takes other settings of the site, for requests that are read from now on.
    pub fn set_site(&self, site: Rc<SiteSettings>) {
        self.site.replace(site);
    }

    /// The limits of the transport.
    pub fn limits(&self) -> &TransportLimits {
        &self.limits
    }

    /// Where the dispatcher takes messages.
    pub fn dispatcher(&self) -> &mpsc::Sender<DispatcherMessage> {
        &self.dispatcher
    }

    /// The order to stop.
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// Why connections have ended.
    pub fn close_counters(&self) -> &CloseCounters {
        &self.close_counters
    }

    /// How many connections are open now.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// A receiver of the node's phase.
    pub(super) fn phase(&self) -> watch::Receiver<NodePhase> {
        self.phase.clone()
    }

    /// Whether the node takes clients and lets them stay. Otherwise each response is the last on its connection.
    pub(super) fn is_serving(&self) -> bool {
        *self.phase.borrow() == NodePhase::Serving
    }

    /// What follows all streams.
    pub(super) fn stream_monitor(&self) -> &Rc<StreamMonitor> {
        &self.stream_monitor
    }

    /// Whether as many connections are open as may be.
    pub(super) fn is_full(&self) -> bool {
        self.open_count.get() >= self.limits.max_client_connections
    }

    /// Evicts an idle connection for a new one beyond the limit. False where none can be evicted, or where too many that
    /// have been evicted are still open.
    pub(super) fn try_make_room(&self) -> bool {
        let max_open = self.limits.max_client_connections + MAX_PENDING_EVICTIONS;
        self.open_count.get() < max_open && self.evict_idle()
    }

    /// Tells the connection that has been idle longest to close. False where no connection is idle, or where each may have a
    /// request on its way.
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

    /// Waits until requests are no longer read, since the node shuts down. Cancel-safe.
    pub(super) async fn reading_ended(&self) {
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

    /// Counts a connection that has opened and returns its number among all connections of this process.
    pub(super) fn connection_opened(&self) -> u64 {
        self.open_count.set(self.open_count.get() + 1);
        self.accepted_count.set(self.accepted_count.get() + 1);
        self.accepted_count.get()
    }

    /// Counts a connection that has closed.
    pub(super) fn connection_closed(&self) {
        self.open_count.set(self.open_count.get() - 1);
    }

    /// Registers a connection as idle.
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

    /// Ends the registration of a connection as idle.
    pub(super) fn unregister_idle(&self, number: u64) {
        self.idle.borrow_mut().remove(&number);
    }

    /// A number for one wait for a response, which no other wait of this process has.
    pub(super) fn new_request_owner(&self) -> RequestOwner {
        let owner = RequestOwner(self.last_request_owner.get().0 + 1);
        self.last_request_owner.set(owner);
        owner
    }
}

/// The memory of one request body, counted against the limit of all bodies until it is dropped.
pub(super) struct BodyMemoryPermit {
    registry: Rc<ConnectionRegistry>,
    held_bytes: usize,
}

impl BodyMemoryPermit {
    /// A permit for no bytes yet.
    pub(super) fn new(registry: Rc<ConnectionRegistry>) -> BodyMemoryPermit {
        BodyMemoryPermit {
            registry,
            held_bytes: 0,
        }
    }

    /// Takes this many more bytes, if there is room for them.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        let total = self.registry.body_memory_bytes.get() + bytes;
        if total > self.registry.limits.max_body_memory_bytes {
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
