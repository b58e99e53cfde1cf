//! The driver of a node's coordination with the other nodes of its fleet: the sockets, timers and log that
//! [`CoordinationNode`] needs, and the tasks that act under its leases.
//!
//! Without `[fleet]` in the settings there is no driver: no listener, no thread, no file.
//!
//! | file | job |
//! | --- | --- |
//! | `event_loop.rs` | drives [`CoordinationNode`] with datagrams, log events and timers |
//! | `messaging.rs` | sends messages and dispatches received ones |
//! | `log_writer/` | the log of the lease server that this process hosts |
//! | `budgets.rs` | the fleet's budgets: sends the scheduler's demand, passes grants to the scheduler |
//! | `report.rs` | the fleet's report to a collector, sent by the lease holder |
//! | `rolling_restart.rs` | rolling restarts: nodes leave service and return, a limited number at a time |
//! | `outlier_probing.rs` | probes of ejected replicas, made by one node on behalf of all |
//! | `status.rs` | the status shown to operators, and metrics |
//! | `boot_clock.rs` | the clock of leases |
//!
//! All tasks run on the node's thread and share one [`CoordinationDriver`]. They run until the process ends. Only the leases
//! need an orderly end: [`CoordinationDriver::leave`] releases them. No `RefCell` stays borrowed across an `await`.
//!
//! Code that acts under a lease checks the lease immediately before each act, and acts only under the epoch that it then
//! holds.

mod boot_clock;
pub mod budgets;
mod event_loop;
mod fleet_clock;
mod log_writer;
mod messaging;
mod outlier_probing;
mod report;
mod rolling_restart;
mod status;

use crate::transport::clock::Clock;
use crate::transport::messages::DispatcherMessage;
use crate::transport::node_phase::NodePhase;
use boot_clock::BootClock;
use budgets::{BudgetDriver, FleetBudgets};
use log_writer::{LogWriter, LogWriterEvent, OpenLogError, OpenedLog};
use outlier_probing::ProbingDriver;
use poppykeel_coordination::lease::LeaseLogRecord;
use poppykeel_coordination::node::{CoordinationNode, NodeSettings};
use poppykeel_coordination::Micros;
use poppykeel_coordination::{Epoch, Incarnation};
use report::ReportDriver;
use rolling_restart::RestartDriver;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;

/// The settings of a node's coordination with other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationSettings {
    /// Settings of the state machine, [`CoordinationNode`].
    pub node: NodeSettings,
    /// The address on which this node listens, for UDP and TCP.
    pub listen: SocketAddr,
    /// Addresses of nodes by name, used instead of those that the nodes advertise.
    pub address_overrides: BTreeMap<String, SocketAddr>,
    /// The folder of the lease server's log. If `None`, a lease server on this node can't write its log and answers no
    /// requests.
    pub log_folder: Option<PathBuf>,
    /// The fleet's budgets; `None` if the fleet has none.
    pub budgets: Option<FleetBudgets>,
    /// Settings of the fleet's report; `None` if it is not sent.
    pub report: Option<ReportSettings>,
}

/// Settings of the fleet's report.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportSettings {
    /// The collector's address.
    pub collector: SocketAddr,
    /// Interval between reports, in microseconds.
    pub interval: Micros,
}

/// Why coordination can't run with the node's settings. The messages name the settings key at fault.
#[derive(Debug, thiserror::Error)]
pub enum CoordinationError {
    /// The node can't listen on its address.
    #[error("fleet.listen: {address}: {source}")]
    Listen {
        /// Used for UDP and TCP; either may have failed.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The lease server's log can't be opened.
    #[error(transparent)]
    OpenLog(#[from] OpenLogError),
    /// The settings have a different list of lease servers under the number of the list in force.
    #[error(
        "fleet.keepers_number: expected a list number greater than {number}, because the list fleet.keepers has changed"
    )]
    SameServerListNumber {
        /// The number in force.
        number: u32,
    },
}

/// Counts of sent bytes and dropped messages since the start.
#[derive(Clone, Copy, Debug, Default)]
struct TransportCounters {
    sent_bytes: u64,
    /// Received messages dropped because they were malformed.
    malformed: u64,
    /// Received messages dropped because they were for another fleet or node.
    misaddressed: u64,
    /// Messages that could not be sent.
    unreachable: u64,
}

/// The driver of a node's coordination, shared by its tasks.
pub struct CoordinationDriver {
    settings: CoordinationSettings,
    node: RefCell<CoordinationNode>,
    clock: BootClock,
    socket: UdpSocket,
    log_writer: RefCell<Option<LogWriter>>,
    log_events: mpsc::Sender<LogWriterEvent>,
    /// Wakes the event loop when its next deadline may have changed.
    wake: Notify,
    counters: Cell<TransportCounters>,
    /// Number of open connections that carry long messages.
    open_connections: Cell<usize>,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    report: ReportDriver,
    restart: RestartDriver,
    probing: ProbingDriver,
    budgets: BudgetDriver,
    phase: Rc<watch::Sender<NodePhase>>,
    scheduler_clock: Clock,
}

impl CoordinationDriver {
    /// Starts a node's coordination: its sockets, its log if it is a lease server, and its tasks.
    ///
    /// # Errors
    /// Fails if the node can't listen, or its log can't be opened.
    pub async fn start(
        settings: CoordinationSettings,
        dispatcher: mpsc::Sender<DispatcherMessage>,
        phase: Rc<watch::Sender<NodePhase>>,
        scheduler_clock: Clock,
    ) -> Result<Rc<CoordinationDriver>, CoordinationError> {
        let address = settings.listen;
        let listen_error = |source| CoordinationError::Listen { address, source };
        let socket = UdpSocket::bind(address).await.map_err(listen_error)?;
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let clock = BootClock::start();
        let is_lease_server = settings
            .node
            .lease_servers
            .contains_key(&settings.node.name);
        let (log_events, log_event_receiver) = mpsc::channel(log_writer::QUEUE_CAPACITY);
        let folder = settings.log_folder.as_deref().filter(|_| is_lease_server);
        let (log_writer, log) = open_log(folder, &log_events)?;
        let incarnation = Incarnation(rand::random());
        let node = CoordinationNode::new(
            settings.node.clone(),
            incarnation,
            log.as_deref(),
            clock.now(),
        );
        let driver = Rc::new(CoordinationDriver {
            settings,
            node: RefCell::new(node),
            clock,
            socket,
            log_writer: RefCell::new(log_writer),
            log_events,
            wake: Notify::new(),
            counters: Cell::default(),
            open_connections: Cell::default(),
            dispatcher,
            report: ReportDriver::default(),
            restart: RestartDriver::default(),
            probing: ProbingDriver::default(),
            budgets: BudgetDriver::default(),
            phase,
            scheduler_clock,
        });
        tracing::info!(
            fleet = %driver.settings.node.fleet,
            listen = %driver.settings.listen,
            lease_server = is_lease_server,
            "fleet coordination started"
        );
        driver.spawn_tasks(listener, log_event_receiver);
        Ok(driver)
    }

    fn spawn_tasks(
        self: &Rc<Self>,
        listener: TcpListener,
        log_event_receiver: mpsc::Receiver<LogWriterEvent>,
    ) {
        spawn_local(self.clone().accept_long_messages(listener));
        spawn_local(self.clone().run_event_loop(log_event_receiver));
        spawn_local(self.clone().run_rolling_restarts());
        spawn_local(self.clone().run_outlier_probing());
        if let Some(budgets) = self.settings.budgets.clone() {
            spawn_local(self.clone().run_budgets(budgets));
        }
        if let Some(report) = self.settings.report.clone() {
            spawn_local(self.clone().run_report(report));
        }
    }

    /// Applies changed budget limits, and a changed list of lease servers if its number is higher. All other settings of
    /// `[fleet]` apply only at the start.
    ///
    /// # Errors
    /// Fails if there is a different list of lease servers under the same number, or if a log can't be opened. The budget
    /// limits are in force even then; nothing else has changed.
    pub fn update(&self, settings: &CoordinationSettings) -> Result<(), CoordinationError> {
        if let Some(budgets) = &settings.budgets {
            self.set_budget_limits(budgets);
        }
        let new = &settings.node;
        let number = self.node.borrow().lease_servers_number();
        if new.lease_servers_number <= number {
            let is_same_number = new.lease_servers_number == number;
            let is_other_list = new.lease_servers != *self.node.borrow().lease_servers();
            if is_same_number && is_other_list {
                return Err(CoordinationError::SameServerListNumber { number });
            }
            return Ok(());
        }
        let is_listed = new.lease_servers.contains_key(&new.name);
        let becomes_lease_server = is_listed && !self.node.borrow().is_lease_server();
        let folder = settings.log_folder.as_deref();
        let (log_writer, log) =
            open_log(folder.filter(|_| becomes_lease_server), &self.log_events)?;
        if log_writer.is_some() {
            self.log_writer.replace(log_writer);
        }
        self.node.borrow_mut().set_lease_servers(
            new.lease_servers.clone(),
            new.lease_servers_number,
            log.as_deref(),
            self.clock.now(),
        );
        tracing::info!(
            number = new.lease_servers_number,
            lease_servers = ?new.lease_servers.keys(),
            "new list of lease servers is in force"
        );
        self.wake.notify_one();
        Ok(())
    }

    /// Releases all leases and notifies the other nodes that this one leaves the fleet.
    pub fn leave(self: &Rc<Self>) {
        let outputs = self.node.borrow_mut().leave(self.clock.now());
        self.execute_outputs(outputs);
    }

    fn scheduler_now(&self) -> Micros {
        self.scheduler_clock.now()
    }

    /// Requests a lease from now on, and wakes the event loop.
    fn request_lease(&self, task: &str) {
        self.node.borrow_mut().request_lease(task, self.clock.now());
        self.wake.notify_one();
    }

    /// The epoch of the lease if this process holds it now. Must be checked immediately before each act under the lease.
    fn held_epoch(&self, task: &str) -> Option<Epoch> {
        self.node.borrow().held_epoch(task, self.clock.now())
    }
}

/// Opens the lease server's log, if a folder is given.
fn open_log(
    folder: Option<&Path>,
    events: &mpsc::Sender<LogWriterEvent>,
) -> Result<(Option<LogWriter>, Option<Vec<LeaseLogRecord>>), OpenLogError> {
    let Some(folder) = folder else {
        return Ok((None, None));
    };
    let OpenedLog { writer, records } = LogWriter::open(folder, events.clone())?;
    Ok((Some(writer), Some(records)))
}
