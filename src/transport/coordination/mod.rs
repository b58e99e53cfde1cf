//! The driver of a node's coordination with the other nodes of its fleet: sockets, timers and the log round
//! [`CoordinationNode`], and the tasks that act under its leases.
//!
//! Without `[fleet]` in the settings none of this exists: no listener, no thread, no file.
//!
//! | file | job |
//! | --- | --- |
//! | `event_loop.rs` | drives [`CoordinationNode`]: datagrams, reports of the log, timers |
//! | `messaging.rs` | sends messages and hands those received to whom they concern |
//! | `log_writer/` | the log of the lease server that this process hosts |
//! | `budgets.rs` | the fleet's budgets: what the scheduler wanted goes out, what it may spend comes in |
//! | `report.rs` | the fleet's report to a collector, by the holder of its lease |
//! | `rolling_restart.rs` | taking nodes out one after the other |
//! | `outlier_probing.rs` | probing ejected replicas once for all nodes |
//! | `status.rs` | what operators are shown, and metrics |
//! | `boot_clock.rs` | the clock of leases |
//!
//! All tasks run on the thread of the node and share one [`CoordinationDriver`]. They live as long as the process: nothing
//! stops them before, and nothing they hold needs an orderly end but the leases, which [`CoordinationDriver::leave`] gives
//! back. No `RefCell` stays borrowed across an `await`.
//!
//! Whoever acts under a lease looks at it right before each act, and acts under the epoch that it sees or not at all.

mod boot_clock;
pub mod budgets;
mod event_loop;
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

/// What a node is told of its coordination with others.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationSettings {
    /// What the state machine is told.
    pub node: NodeSettings,
    /// Where this node listens, by UDP and TCP.
    pub listen: SocketAddr,
    /// Where nodes are reached from here, by name, where that differs from what they say.
    pub address_overrides: BTreeMap<String, SocketAddr>,
    /// The folder of a lease server's log.
    pub log_folder: Option<PathBuf>,
    /// Budgets of the whole fleet.
    pub budgets: Option<FleetBudgets>,
    /// Where the fleet's report goes.
    pub report: Option<ReportSettings>,
}

/// Where the fleet's report goes, and how often.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportSettings {
    /// The collector's address.
    pub collector: SocketAddr,
    /// From one report to the next, in microseconds.
    pub interval: Micros,
}

/// Why a node can't coordinate with others as its settings say. The texts name the settings' key at fault.
#[derive(Debug, thiserror::Error)]
pub enum CoordinationError {
    /// The node can't listen where it should.
    #[error("fleet.listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The lease server's log can't be opened.
    #[error(transparent)]
    OpenLog(#[from] OpenLogError),
    /// There is another list of lease servers under the number of the one in force.
    #[error("fleet.keepers_number: expected more than {number} for another list of keepers")]
    SameServerListNumber {
        /// The number in force.
        number: u32,
    },
}

/// What the sockets have sent and dropped since the start.
#[derive(Clone, Copy, Debug, Default)]
struct TransportCounters {
    sent_bytes: u64,
    /// Messages dropped since they were none, or damaged.
    malformed: u64,
    /// Messages dropped since they were of another fleet or for another node.
    misaddressed: u64,
    /// Messages that could not be sent.
    unreachable: u64,
}

/// The driver of a node's coordination.
pub struct CoordinationDriver {
    settings: CoordinationSettings,
    node: RefCell<CoordinationNode>,
    clock: BootClock,
    socket: UdpSocket,
    log_writer: RefCell<Option<LogWriter>>,
    log_events: mpsc::Sender<LogWriterEvent>,
    /// Wakes the event loop, since something may be due earlier than it knows.
    wake: Notify,
    counters: Cell<TransportCounters>,
    /// How many long messages come or go at this moment.
    open_connections: Cell<usize>,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    report: ReportDriver,
    restart: RestartDriver,
    probing: ProbingDriver,
    budgets: BudgetDriver,
    phase: Rc<watch::Sender<NodePhase>>,
    /// The clock that the scheduler goes by.
    scheduler_clock: Clock,
}

impl CoordinationDriver {
    /// Starts a node's coordination: its sockets, its log if it is a lease server, and its tasks.
    ///
    /// # Errors
    /// Where the node can't listen, or its log can't be opened.
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
        let (log_events, log_reports) = mpsc::channel(log_writer::QUEUE_CAPACITY);
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
            "joined the fleet"
        );
        driver.spawn_tasks(listener, log_reports);
        Ok(driver)
    }

    fn spawn_tasks(
        self: &Rc<Self>,
        listener: TcpListener,
        log_reports: mpsc::Receiver<LogWriterEvent>,
    ) {
        spawn_local(self.clone().accept_long_messages(listener));
        spawn_local(self.clone().run_event_loop(log_reports));
        spawn_local(self.clone().run_rolling_restarts());
        spawn_local(self.clone().run_outlier_probing());
        if let Some(budgets) = self.settings.budgets.clone() {
            spawn_local(self.clone().run_budgets(budgets));
        }
        if let Some(report) = self.settings.report.clone() {
            spawn_local(self.clone().run_report(report));
        }
    }

    /// Takes other limits of budgets, and another list of lease servers if its number is higher. All else of `[fleet]`
    /// holds from the start to the end.
    ///
    /// # Errors
    /// Where there is another list of lease servers under the same number, or a log can't be opened. The limits of
    /// budgets are in force even then; nothing else has changed.
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
            "another list of lease servers is in force"
        );
        self.wake.notify_one();
        Ok(())
    }

    /// Gives all leases back and leaves the fleet in order.
    pub fn leave(self: &Rc<Self>) {
        let outputs = self.node.borrow_mut().leave(self.clock.now());
        self.carry_out(outputs);
    }

    /// The time by the clock that the scheduler goes by.
    fn scheduler_now(&self) -> Micros {
        self.scheduler_clock.now()
    }

    /// Asks for a lease from now on, and lets the event loop see that.
    fn request_lease(&self, task: &str) {
        self.node.borrow_mut().request_lease(task, self.clock.now());
        self.wake.notify_one();
    }

    /// The epoch under which this process may act at this moment. To be asked right before every act.
    fn held_epoch(&self, task: &str) -> Option<Epoch> {
        self.node.borrow().held_epoch(task, self.clock.now())
    }
}

/// The log of a lease server, where this process is one and has a folder.
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
