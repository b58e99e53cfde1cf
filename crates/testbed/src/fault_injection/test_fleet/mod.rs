//! The fleet under test: node processes, the links between them, discovery and stub model servers.
//!
//! A [`TestFleet`] owns its processes, relays and stubs; dropping it kills the processes. [`setup`] starts it,
//! [`inject`] plays a fault from its beginning to its end, [`twin`] runs a second process under a node's name.

mod inject;
mod setup;
mod twin;

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

/// Nodes are named by this and their index.
const NODE_NAME_PREFIX: &str = "lab-";

/// What the fleet looks like.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// How many nodes there are.
    pub nodes: usize,
    /// How many zones there are; nodes and servers are spread over them in turn.
    pub zones: usize,
    /// How many nodes are lease servers, from the first on.
    pub lease_servers: usize,
    /// The duration of leases.
    pub lease_duration: Duration,
    /// The drift of clocks that the nodes allow for, in parts in a million.
    pub allowed_drift_ppm: u32,
    /// How wrong their clocks do run at most, in parts in a million.
    pub clock_skew_ppm: u32,
    /// Clocks of lease servers are as fast as that and those of all others as slow, in place of drawn ones.
    pub has_opposed_clocks: bool,
    /// The interval of the report task.
    pub report_interval: Duration,
    /// Whether wall clocks are wrong, some by a year.
    pub has_wrong_wall_clocks: bool,
    /// More of the operators' file, as TOML.
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

/// A link between two nodes, by their indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// The addresses of a node.
#[derive(Clone, Copy, Debug)]
struct NodeAddresses {
    /// For the other nodes.
    coordination: SocketAddr,
    /// For operators.
    admin: SocketAddr,
    /// For clients.
    serving: SocketAddr,
}

/// The fleet.
pub(super) struct TestFleet {
    shape: FleetShape,
    folder: PathBuf,
    history: RunHistory,
    addresses: Vec<NodeAddresses>,
    commands: Vec<NodeCommand>,
    /// By node; `None` while it is down.
    processes: RefCell<Vec<Option<NodeProcess>>>,
    links: BTreeMap<Link, LinkRelay>,
    /// By node, the link to what the report task acts upon.
    report_links: Vec<LinkRelay>,
    /// Kept alive for the nodes.
    _discovery: StubDiscovery,
    servers: Vec<StubModelServer>,
    arrivals: ArrivalRecord,
    failed_disk_count: Cell<usize>,
}

impl TestFleet {
    /// Where clients call each node.
    pub(super) fn serving_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|node| node.serving).collect()
    }

    /// Where operators call each node.
    pub(super) fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|node| node.admin).collect()
    }

    /// What the servers write down.
    pub(super) fn arrivals(&self) -> ArrivalRecord {
        self.arrivals.clone()
    }

    /// How many model servers there are.
    pub(super) fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// The first so many servers answer every request with an error from now on, the others none.
    pub(super) fn set_failing(&self, failing_count: usize) {
        for (index, server) in self.servers.iter().enumerate() {
            server.set_failing(index < failing_count);
        }
    }

    /// How many lease servers have said that their disks had failed.
    pub(super) fn failed_disk_count(&self) -> usize {
        self.failed_disk_count.get()
    }

    /// Copies the disk of each lease server as it is now, for
    /// [`InjectedFaultKind::OldDisk`](super::InjectedFaultKind::OldDisk).
    pub(super) fn back_up_disks(&self) -> Result<(), FaultInjectionError> {
        for node in 0..self.shape.lease_servers {
            let disk = self.disk(node);
            copy_folder(&disk, &backup_of(&disk)).map_err(FaultInjectionError::Disk)?;
        }
        Ok(())
    }

    /// Processes that have ended although no fault has ended them.
    pub(super) fn take_unexpected_exits(&self) -> Vec<UnexpectedExit> {
        let mut exits = Vec::new();
        for (node, process) in self.processes.borrow_mut().iter_mut().enumerate() {
            let status = process.as_mut().and_then(NodeProcess::exit_status);
            if let Some(status) = status {
                exits.push(UnexpectedExit { node, status });
            }
        }
        exits
    }

    /// Kills all processes, and waits for their ends.
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

    /// Takes a process out of the fleet. The borrow ends here, before anything is awaited.
    fn take_process(&self, node: usize) -> Option<NodeProcess> {
        self.processes.borrow_mut()[node].take()
    }

    fn is_down(&self, node: usize) -> bool {
        self.processes.borrow()[node].is_none()
    }

    fn disk(&self, node: usize) -> PathBuf {
        self.folder.join(format!("node-{node}.disk"))
    }

    /// Sets the faults of the links of which this holds.
    fn set_link_faults(&self, affects: impl Fn(Link) -> bool, faults: LinkFaults) {
        for (link, relay) in &self.links {
            if affects(*link) {
                relay.set_faults(faults);
            }
        }
    }
}

/// The index of the node with this name.
pub(super) fn node_of_name(name: &str) -> Option<usize> {
    name.strip_prefix(NODE_NAME_PREFIX)?.parse().ok()
}

/// The folder of a disk's copy.
fn backup_of(disk: &Path) -> PathBuf {
    disk.with_extension("old")
}

/// Copies the files of a folder into another one, in place of what is there.
fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    // There may be none.
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
