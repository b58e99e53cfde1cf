//! What all clients' connections share: bounds on their number and on what they hold, and who rests.

use super::close_reason::CloseCounts;
use super::shutdown::Shutdown;
use crate::transport::messages::{DispatcherMessage, RequestOwner};
use crate::transport::node_phase::NodePhase;
use crate::transport::replica::stream_monitor::Streams;
use crate::transport::Bounds;
use poppykeel_site_settings::SiteSettings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// What all clients' connections share.
pub struct Shared {
    /// The settings, as they are now.
    pub boot: RefCell<Rc<SiteSettings>>,
    /// The figures.
    pub bounds: Rc<Bounds>,
    /// To the core.
    pub tell: mpsc::Sender<DispatcherMessage>,
    /// How far the node's life has come.
    pub phase: watch::Receiver<NodePhase>,
    /// What all streams share.
    pub streams: Rc<Streams>,
    /// The order to stop.
    pub shutdown: Shutdown,
    /// Why connections have ended.
    pub closes: CloseCounts,
    held: Cell<usize>,
    open: Cell<usize>,
    accepted: Cell<u64>,
    /// By age alone. With those first that had sent nothing yet, a flood of silent connections pushed usual
    /// clients out whose first request was about to come; and there is no end of old ones that stay unused.
    idle: RefCell<BTreeMap<u64, Resting>>,
    marks: Cell<u64>,
    last_request_owner: Cell<RequestOwner>,
}

impl Shared {
    /// Nobody is connected yet.
    pub fn new(
        boot: Rc<SiteSettings>,
        bounds: Rc<Bounds>,
        tell: mpsc::Sender<DispatcherMessage>,
        phase: watch::Receiver<NodePhase>,
        streams: Rc<Streams>,
    ) -> Self {
        let (held, open, accepted, idle, marks, last_request_owner) = Default::default();
        let (shutdown, closes) = Default::default();
        let boot = RefCell::new(boot);
        Shared {
            boot,
            bounds,
            tell,
            phase,
            streams,
            shutdown,
            closes,
            held,
            open,
            accepted,
            idle,
            marks,
            last_request_owner,
        }
    }
    /// As many connections are open as may be.
    pub fn full(&self) -> bool {
        self.open.get() >= self.bounds.clients
    }
    /// One above the bound may come in while one below it is on its way out.
    pub fn can_evict(&self) -> bool {
        self.open.get() < self.bounds.clients + MOST_LEAVING && self.evict()
    }
    /// Tells the connection that has been idle longest to go; false where all are busy, or may have a request on its way.
    pub fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .first_entry()
            .filter(|oldest| oldest.get().since.elapsed() >= ON_ITS_WAY);
        oldest
            .map(|oldest| oldest.remove().leave.notify_one())
            .is_some()
    }
    /// Comes once no request is read any more, since the node shuts down.
    pub(super) async fn reading_over(&self) {
        let mut phase = self.phase.clone();
        let closing = phase
            .wait_for(|phase| *phase == NodePhase::Closing)
            .await
            .is_ok();
        match self.shutdown.reading_ends().filter(|_| closing) {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }
    /// A connection has come; its number among all of them.
    pub(super) fn enter(&self) -> u64 {
        self.open.set(self.open.get() + 1);
        self.accepted.set(self.accepted.get() + 1);
        self.accepted.get()
    }
    /// A connection has ended.
    pub(super) fn leave(&self) {
        self.open.set(self.open.get() - 1);
    }
    /// A connection rests: its place among those that do, and what tells it to go.
    pub(super) fn rests(&self) -> (u64, Rc<Notify>) {
        let mark = self.marks.get() + 1;
        self.marks.set(mark);
        let leave = Rc::new(Notify::new());
        let since = Instant::now();
        self.idle.borrow_mut().insert(
            mark,
            Resting {
                since,
                leave: leave.clone(),
            },
        );
        (mark, leave)
    }
    /// It rests no more.
    pub(super) fn busy(&self, mark: u64) {
        self.idle.borrow_mut().remove(&mark);
    }
    /// A number for one wait for a response, which no other wait has.
    pub(super) fn new_request_owner(&self) -> RequestOwner {
        let owner = RequestOwner(self.last_request_owner.get().0 + 1);
        self.last_request_owner.set(owner);
        owner
    }
    /// Client connections open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// A connection at rest.
struct Resting {
    since: Instant,
    /// Tells it to go.
    leave: Rc<Notify>,
}

/// A request may be on its way to a connection that has rested for less than this: it is not closed to make room.
pub const ON_ITS_WAY: Duration = Duration::from_millis(250);

/// Connections that have been told to go and have not gone yet.
pub const MOST_LEAVING: usize = 16;

/// Bytes of one body, counted against the bound while they are held.
pub struct Hold(Rc<Shared>, usize);

impl Hold {
    /// Nothing is held yet.
    pub fn new(shared: Rc<Shared>) -> Hold {
        Hold(shared, 0)
    }
    /// Holds so many more, if there is room.
    pub fn more(&mut self, bytes: usize) -> bool {
        let held = self.0.held.get() + bytes;
        if held > self.0.bounds.held_bytes {
            return false;
        }
        self.0.held.set(held);
        self.1 += bytes;
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - self.1);
    }
}
