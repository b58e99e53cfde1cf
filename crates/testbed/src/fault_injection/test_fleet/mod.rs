//! The fleet under test: node processes, the links between them, and the discovery and model server stubs.
//!
//! A [`TestFleet`] owns its processes, relays and stubs; dropping it kills the processes. [`setup`] starts the fleet,
//! [`inject`] injects and heals one fault, [`duplicate_node`] runs a second process under a node's name.

mod duplicate_node;
mod inject;
mod setup;

use super::error::{FaultInjectionError, UnexpectedExit};
use super::link_relay::{LinkFaults, LinkRelay};
use super::node_process::{NodeCommand, NodeProcess};
use super::run_history::RunHistory;
use crate::sockets::{ArrivalRecord, StubDiscovery, StubModelServer};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

pub(super) use setup::FleetSetup;

/// A node's name is this prefix followed by its index.
const NODE_NAME_PREFIX: &str = "lab-";

/// The size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of zones. Nodes and model servers are assigned to them round robin.
    pub zones: usize,
    /// The number of lease servers; these are the first nodes.
    pub lease_servers: usize,
    /// How long a lease lasts; scenarios scale their waits and network delays by it.
    pub lease_duration: Duration,
    /// The clock drift that the nodes are configured to tolerate, in parts per million.
    pub allowed_drift_ppm: u32,
    /// The maximum rate error of the nodes' clocks, in parts per million.
    pub clock_skew_ppm: u32,
    /// Whether the clocks of lease servers are fast by the maximum and those of all other nodes slow by it, instead of
    /// drawn rates.
    pub has_opposed_clocks: bool,
    /// The interval of the report task.
    pub report_interval: Duration,
    /// Whether wall clocks are offset, some by a year.
    pub has_wrong_wall_clocks: bool,
    /// Further settings for the operator file, as TOML.
    pub more_operator_settings: String,
}

impl Default for FleetShape {
    fn default() -> Self {
        FleetShape {
            nodes: 9,
            zones: 1,
            lease_servers: 3,
            lease_duration: Duration::from_secs(1),
            allowed_drift_ppm: 50_000,
            clock_skew_ppm: 50_000,
            has_opposed_clocks: false,
            report_interval: Duration::from_millis(20),
            has_wrong_wall_clocks: true,
            more_operator_settings: String::new(),
        }
    }
}

/// A link from one node to another, by their indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// The addresses at which a node listens.
#[derive(Clone, Copy, Debug)]
struct NodeAddresses {
    /// For the other nodes.
    coordination: SocketAddr,
    /// For operators.
    admin: SocketAddr,
    /// For clients.
    serving: SocketAddr,
}

pub(super) struct TestFleet {
    shape: FleetShape,
    folder: PathBuf,
    history: RunHistory,
    addresses: Vec<NodeAddresses>,
    commands: Vec<NodeCommand>,
    /// By node; `None` while the node is down.
    processes: RefCell<Vec<Option<NodeProcess>>>,
    links: BTreeMap<Link, LinkRelay>,
    /// By node, the link to the collector of reports.
    report_links: Vec<LinkRelay>,
    /// Serves until it is dropped.
    _discovery: StubDiscovery,
    servers: Vec<StubModelServer>,
    arrivals: ArrivalRecord,
    failed_disk_count: Cell<usize>,
}

impl TestFleet {
    pub(super) fn serving_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|node| node.serving).collect()
    }

    pub(super) fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|node| node.admin).collect()
    }

    /// The shared record of what arrives at the model servers.
    pub(super) fn arrivals(&self) -> ArrivalRecord {
        self.arrivals.clone()
    }

    pub(super) fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Makes the first `failing_count` model servers respond to every request with an error, and the others work.
    pub(super) fn set_failing(&self, failing_count: usize) {
        for (index, server) in self.servers.iter().enumerate() {
            server.set_failing(index < failing_count);
        }
    }

    /// The number of times that a lease server reported a failed disk.
    pub(super) fn failed_disk_count(&self) -> usize {
        self.failed_disk_count.get()
    }

    /// Copies the current disk of each lease server, for
    /// [`InjectedFaultKind::OldDisk`](super::InjectedFaultKind::OldDisk).
    pub(super) fn back_up_disks(&self) -> Result<(), FaultInjectionError> {
        for node in 0..self.shape.lease_servers {
            let disk = self.disk(node);
            copy_folder(&disk, &backup_of(&disk)).map_err(FaultInjectionError::Disk)?;
        }
        Ok(())
    }

    /// Returns the processes that have exited although no injected fault ended them.
    pub(super) fn unexpected_exits(&self) -> Vec<UnexpectedExit> {
        let mut exits = Vec::new();
        for (node, process) in self.processes.borrow_mut().iter_mut().enumerate() {
            let status = process.as_mut().and_then(NodeProcess::exit_status);
            if let Some(status) = status {
                exits.push(UnexpectedExit { node, status });
            }
        }
        exits
    }

    /// Kills all processes and waits for their exits.
    pub(super) async fn kill_all(&self) {
        for node in 0..self.shape.nodes {
            if let Some(process) = self.take_process(node) {
                process.kill().await;
            }
        }
    }

    fn start_node(&self, node: usize) -> Result<(), FaultInjectionError> {
        let command = &self.commands[node];
        self.history.add(
            "start",
            &json!({"node": node, "clock_ppm": command.clock_ppm}),
        );
        self.processes.borrow_mut()[node] = Some(NodeProcess::start(command)?);
        Ok(())
    }

    async fn kill_node(&self, node: usize) {
        self.history.add("kill", &json!({"node": node}));
        if let Some(process) = self.take_process(node) {
            process.kill().await;
        }
    }

    async fn shut_down_node(&self, node: usize) {
        if let Some(process) = self.take_process(node) {
            process.shut_down().await;
        }
    }

    /// Removes a process from the fleet. Its own function, so that the `RefCell` borrow ends before the caller awaits.
    fn take_process(&self, node: usize) -> Option<NodeProcess> {
        self.processes.borrow_mut()[node].take()
    }

    fn is_down(&self, node: usize) -> bool {
        self.processes.borrow()[node].is_none()
    }

    fn disk(&self, node: usize) -> PathBuf {
        self.folder.join(format!("node-{node}.disk"))
    }

    /// Sets the faults of all links that `affects` selects.
    fn set_link_faults(&self, affects: impl Fn(Link) -> bool, faults: LinkFaults) {
        for (link, relay) in &self.links {
            if affects(*link) {
                relay.set_faults(faults);
            }
        }
    }
}

pub(super) fn node_index(name: &str) -> Option<usize> {
    name.strip_prefix(NODE_NAME_PREFIX)?.parse().ok()
}

/// The folder of a disk's backup.
fn backup_of(disk: &Path) -> PathBuf {
    disk.with_extension("old")
}

/// Copies the files of a folder to another folder, whose content is replaced.
fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    // Fails if the folder does not exist yet.
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
