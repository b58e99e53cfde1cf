//! The watcher of discovery's endpoint list. It polls the service continuously on one connection, each poll with a time
//! limit.
//!
//! [`EndpointWatcher`] is a handle shared by the dispatcher, `program::serve` and `program::resolve`. While the watcher is
//! started, one task polls the service and sends the dispatcher every list and every failure that ends the polling. The
//! module `watcher_state` has the states and their transitions.
//!
//! A poll first waits for a unit of the fleet's discovery budget. Its time limit then is the time for which the service may
//! delay the answer plus a slack, so an unavailable service is detected only after both. The poll after a time-out therefore
//! allows no delay, and the poll after a refusal only a short one.
//!
//! There are two kinds of lists. After a failed poll, a list polled on request is polled again once the scheduler requests
//! it. A pushed list, which an agent on the node's own machine serves, is polled again after a short pause.

mod reports;

use super::poll::{self, PollError, PollRequest};
use super::poll_log::PollLog;
use super::watcher_state::{PollMode, WatcherEvent, WatcherState};
use crate::protocol::discovery::EndpointListResponse;
use crate::routing::seconds;
use crate::transport::clock::Clock;
use crate::transport::messages::{DispatcherMessage, ENDPOINT_LIST_SOURCE};
use crate::transport::{HttpConnection, TransportLimits};
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::BudgetLedger;
use poppykeel_scheduler::{
    BudgetDemand, BudgetGrants, BudgetKind, EndpointListMode, EndpointListStatus,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// Pause after a failed poll of a pushed list: long enough not to spin on a refused connection, and short compared with the
/// drain grace, within which the node must learn of a draining replica.
const PUSHED_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A response that is not complete this long after its first byte is delayed; the node's list counts as unconfirmed.
const RESPONSE_TRANSFER_TIME: Duration = Duration::from_millis(150);

/// How often the discovery budget is checked while it is exhausted.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// If no poll begins within this time after an answer, discovery no longer considers the node to watch the list, and the
/// node's list counts as unconfirmed.
const MAX_WATCH_GAP: Duration = Duration::from_millis(200);

/// Time limit for reading a response that has arrived before its poll is dropped.
const BACKLOG_READ_TIME: Duration = Duration::from_millis(10);

/// Units of the budget that one poll costs.
const UNITS_PER_POLL: f64 = 1.0;

/// The priority weight of a poll's demand for the budget.
const POLL_WEIGHT: f64 = 1.0;

/// A handle to a node's watcher. Clones share the watcher.
#[derive(Clone)]
pub struct EndpointWatcher {
    shared: Rc<SharedState>,
    list_mode: EndpointListMode,
}

/// The state shared by all handles of a watcher and its task. Everything runs on one thread.
struct SharedState {
    service_addr: Cell<SocketAddr>,
    /// Notifies the task to drop its poll and begin another.
    poll_dropped: Notify,
    limits: Rc<TransportLimits>,
    /// The dispatcher's channel. The task waits while it is full.
    dispatcher: mpsc::Sender<DispatcherMessage>,
    state: Cell<WatcherState>,
    /// Whether the list is a source of this node.
    is_enabled: Cell<bool>,
    /// The version of the list that the node has; 0 if it needs the full list.
    known_version: Cell<u64>,
    log: PollLog,
    poll_budget: RefCell<BudgetLedger>,
    clock: Clock,
}

/// How a poll ended.
enum PollOutcome {
    /// The poll was dropped and must be repeated. Holds the list of a response that had arrived by then.
    Dropped(Option<EndpointListResponse>),
    /// The service has responded with a list.
    ListReceived(EndpointListResponse),
    /// The connection was refused or reset, or the response has no list.
    Refused(PollError),
    /// A response began but is incomplete or not a valid list. Discovery considers the node notified of its changes.
    Incomplete(PollError),
    /// No complete response arrived in time.
    TimedOut,
}

impl EndpointWatcher {
    /// Creates a watcher of a list that is polled on request. It is not started.
    pub fn new(
        service_addr: SocketAddr,
        limits: Rc<TransportLimits>,
        dispatcher: mpsc::Sender<DispatcherMessage>,
        clock: Clock,
    ) -> Self {
        let shared = SharedState {
            service_addr: Cell::new(service_addr),
            poll_dropped: Notify::new(),
            limits,
            dispatcher,
            state: Cell::default(),
            is_enabled: Cell::new(true),
            known_version: Cell::default(),
            log: PollLog::new(clock.now()),
            poll_budget: RefCell::default(),
            clock,
        };
        EndpointWatcher {
            shared: Rc::new(shared),
            list_mode: EndpointListMode::Polled,
        }
    }

    /// Converts the watcher to one of a pushed list and starts it. After a failed poll it continues without a request of the
    /// scheduler.
    pub fn into_pushed(self) -> Self {
        let watcher = EndpointWatcher {
            list_mode: EndpointListMode::Pushed,
            ..self
        };
        watcher.start();
        watcher
    }

    /// Sets the version of the list that the node has; 0 requests the full list.
    pub fn set_known_version(&self, version: u64) {
        self.shared.known_version.set(version);
    }

    /// Sets the version of a list that was restored from an earlier process. The first poll allows the service no delay: a
    /// long poll of an unchanged list would confirm the list only after the full delay.
    pub fn set_restored_version(&self, version: u64) {
        self.set_known_version(version);
        self.apply(WatcherEvent::Restored);
    }

    /// Sets whether the list is a source of this node. A list that becomes a source is polled at once. A list that is no
    /// longer a source is not polled again, but a poll in progress is completed.
    pub fn set_enabled(&self, is_enabled: bool) {
        let was_enabled = self.shared.is_enabled.replace(is_enabled);
        if is_enabled && !was_enabled {
            // The endpoint registry has dropped the source's earlier answers, so the full list is needed.
            self.shared.known_version.set(0);
            self.start();
        }
    }

    /// Whether the list is a source of this node.
    pub fn is_enabled(&self) -> bool {
        self.shared.is_enabled.get()
    }

    /// Sets the grant of the discovery budget from now on.
    pub fn set_budget_grants(&self, grants: &BudgetGrants) {
        let poll_grants = grants
            .iter()
            .filter(|(kind, _)| **kind == BudgetKind::Discovery)
            .map(|(kind, grant)| (*kind, *grant))
            .collect();
        self.shared
            .poll_budget
            .borrow_mut()
            .set_grants(seconds(self.shared.clock.now()), &poll_grants);
    }

    /// The demand for the discovery budget since the start.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.shared.poll_budget.borrow().demand()
    }

    /// Starts the watcher, unless it has been started or the list is not a source of this node.
    pub fn start(&self) {
        let can_start = self.shared.is_enabled.get() && !self.shared.state.get().is_started();
        if can_start {
            self.apply(WatcherEvent::Started);
            tokio::task::spawn_local(self.clone().run());
        }
    }

    /// Polls at another address from now on. A poll at the previous address is dropped, and so is the pause after a failed
    /// poll: the previous service may never respond.
    pub fn set_service_addr(&self, service_addr: SocketAddr) {
        if self.shared.service_addr.replace(service_addr) == service_addr {
            return;
        }
        if self.shared.state.get().is_started() {
            self.shared.poll_dropped.notify_one();
        } else {
            self.start();
        }
    }

    /// Drops a poll in progress and polls again. Used after a suspension of the process: the response of the poll may be as
    /// old as the suspension was long, and its connection may have ended.
    pub fn restart_poll(&self) {
        if self.shared.state.get().is_started() {
            self.shared.poll_dropped.notify_one();
        }
    }

    fn apply(&self, event: WatcherEvent) -> WatcherState {
        let state = self.shared.state.get().after(event, self.list_mode);
        self.shared.state.set(state);
        state
    }

    /// The watcher's task: polls until the watcher is idle or stopped. It must not read the state after it has become idle,
    /// since another task may have been started by then.
    async fn run(self) {
        while let Some(error) = self.poll_until_failure().await {
            self.log_failure(&error);
            if error.is_unreachable() {
                self.report_unconfirmed(EndpointListStatus::Unreachable)
                    .await;
            }
            let is_paused = matches!(self.shared.state.get(), WatcherState::Paused(_));
            let report = self.send_update(SourceUpdate::Failed, true).await;
            if !is_paused {
                return;
            }
            if report.is_err() {
                self.apply(WatcherEvent::DispatcherEnded);
                return;
            }
            self.pause().await;
        }
    }

    /// Waits after a failed poll of a pushed list.
    async fn pause(&self) {
        // Both branches are cancel-safe: `notified` keeps a later notification for the next call, and a timer holds nothing.
        let event = tokio::select! {
            () = self.shared.poll_dropped.notified() => WatcherEvent::PollDropped,
            () = tokio::time::sleep(PUSHED_RETRY_PAUSE) => WatcherEvent::PauseEnded,
        };
        self.apply(event);
    }

    /// Polls until a poll fails without an immediate retry, and returns the reason. `None` if the list is no longer a source
    /// of this node, or the dispatcher has ended.
    async fn poll_until_failure(&self) -> Option<PollError> {
        let mut connection = None;
        // Only this task leaves the state `Polling`.
        while let WatcherState::Polling(mode) = self.shared.state.get() {
            if !self.shared.is_enabled.get() {
                self.apply(WatcherEvent::Disabled);
                return None;
            }
            match self.poll(&mut connection, mode).await {
                PollOutcome::Dropped(last_list) => {
                    self.apply(WatcherEvent::PollDropped);
                    connection = None;
                    self.report_dropped_poll(last_list).await;
                }
                PollOutcome::ListReceived(response) => {
                    self.apply(WatcherEvent::ListReceived);
                    if self.report_list(response).await.is_err() {
                        self.apply(WatcherEvent::DispatcherEnded);
                    }
                }
                PollOutcome::Refused(error) => {
                    self.apply(WatcherEvent::Refused);
                    return Some(error);
                }
                PollOutcome::Incomplete(error) => {
                    let state = self.apply(WatcherEvent::ResponseIncomplete);
                    self.report_unconfirmed(EndpointListStatus::Incomplete)
                        .await;
                    if !matches!(state, WatcherState::Polling(_)) {
                        return Some(error);
                    }
                    self.log_failure(&error);
                    connection = None;
                }
                PollOutcome::TimedOut => {
                    let state = self.apply(WatcherEvent::TimedOut);
                    if !matches!(state, WatcherState::Polling(_)) {
                        return Some(PollError::Timeout);
                    }
                    self.report_unconfirmed(EndpointListStatus::Unconfirmed)
                        .await;
                    tracing::info!(
                        source = ENDPOINT_LIST_SOURCE,
                        "no response from discovery in time; polling on a new connection"
                    );
                    connection = None;
                }
            }
        }
        None
    }

    /// One poll, on the connection of the previous one or on a new one.
    async fn poll(&self, connection: &mut Option<HttpConnection>, mode: PollMode) -> PollOutcome {
        let mut poll = std::pin::pin!(self.poll_in_time(connection, mode));
        // `notified` is cancel-safe: a later notification is kept for the next call.
        tokio::select! {
            biased;
            () = self.shared.poll_dropped.notified() => {}
            outcome = &mut poll => return outcome,
        }
        // Discovery considers the node notified by a response that has already arrived, so it is read. Closing the
        // connection then loses nothing: the next poll requests all changes since the known version.
        match tokio::time::timeout(BACKLOG_READ_TIME, poll).await {
            Ok(PollOutcome::ListReceived(list)) => PollOutcome::Dropped(Some(list)),
            _ => PollOutcome::Dropped(None),
        }
    }

    /// Waits for the budget, then polls within the time that the mode allows.
    async fn poll_in_time(
        &self,
        connection: &mut Option<HttpConnection>,
        mode: PollMode,
    ) -> PollOutcome {
        let limits = &self.shared.limits;
        let (wait, slack) = match mode {
            PollMode::Long => (limits.long_poll_wait, limits.long_poll_slack),
            PollMode::Short => (limits.short_poll_wait, limits.short_poll_slack),
            PollMode::Immediate => (Duration::ZERO, limits.short_poll_slack),
        };
        self.wait_for_budget().await;
        let exchange = self.exchange(connection, wait);
        match tokio::time::timeout(wait + slack, exchange).await {
            Ok(Ok(response)) => PollOutcome::ListReceived(response),
            Ok(Err(error)) if error.is_incomplete_response() => PollOutcome::Incomplete(error),
            Ok(Err(error)) => PollOutcome::Refused(error),
            Err(_) => PollOutcome::TimedOut,
        }
    }

    /// Waits until the discovery budget allows a poll, and spends its unit. No poll is open in the meantime, so the node
    /// does not learn of changes.
    async fn wait_for_budget(&self) {
        let budget = &self.shared.poll_budget;
        budget
            .borrow_mut()
            .record_demand(BudgetKind::Discovery, UNITS_PER_POLL, POLL_WEIGHT);
        let wait_started_at = self.shared.clock.now();
        let mut is_reported = false;
        loop {
            let now = seconds(self.shared.clock.now());
            if budget.borrow_mut().spend_unit(now, BudgetKind::Discovery) {
                return;
            }
            let unwatched = Duration::from_micros(self.shared.clock.now() - wait_started_at);
            if unwatched >= MAX_WATCH_GAP && !is_reported {
                is_reported = true;
                self.report_unconfirmed(EndpointListStatus::Unconfirmed)
                    .await;
            }
            tokio::time::sleep(BUDGET_CHECK_INTERVAL).await;
        }
    }

    /// Requests the changes since the known version. A connection that may be reused is put back into `connection`.
    async fn exchange(
        &self,
        connection: &mut Option<HttpConnection>,
        wait: Duration,
    ) -> Result<EndpointListResponse, PollError> {
        let shared = &self.shared;
        let mut http = if let Some(http) = connection.take() {
            http
        } else {
            poll::connect(shared.service_addr.get(), shared.limits.long_poll_slack).await?
        };
        let request = PollRequest {
            service_addr: shared.service_addr.get(),
            known_version: shared.known_version.get(),
            wait,
        };
        poll::send(&mut http, request).await?;
        poll::wait_for_response(&http).await?;
        let response = self.read_response(&mut http).await?;
        response.check_status()?;
        if response.keeps_connection {
            *connection = Some(http);
        }
        let list = response.parse()?;
        let known_version = shared.known_version.get();
        if list.is_older_change(known_version) {
            // The service has restarted its version count, so changes can't be applied to the node's list.
            shared.known_version.set(0);
            return Err(PollError::OlderChanges {
                version: list.version(),
                known_version,
            });
        }
        Ok(list)
    }

    /// Reads a response that has begun. Discovery considers the node notified of its changes from the first byte on, so the
    /// node's own list is reported as unconfirmed if the remainder is delayed.
    async fn read_response(
        &self,
        connection: &mut HttpConnection,
    ) -> Result<poll::PollResponse, PollError> {
        let mut read = std::pin::pin!(poll::read_response(connection));
        // The future keeps the bytes it has read: after the time-out it is awaited again, not dropped.
        if let Ok(response) = tokio::time::timeout(RESPONSE_TRANSFER_TIME, &mut read).await {
            return response;
        }
        self.report_unconfirmed(EndpointListStatus::Incomplete)
            .await;
        read.await
    }
}
