//! The model servers, discovery and nodes of one run on loopback. [`faults`] injects the faults of the run.

mod faults;

use super::error::SocketsError;
use super::node_config::node_config;
use super::serving_node::ServingNode;
use super::stub_discovery::{DiscoveryEntry, StubDiscovery};
use super::stub_model_server::StubModelServer;
use crate::emulator::description::{FaultKind, RunDescription};
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A fleet on loopback. Dropping it kills the nodes.
pub struct LocalFleet {
    run: RunDescription,
    program: PathBuf,
    folder: PathBuf,
    servers: Vec<StubModelServer>,
    discovery: StubDiscovery,
    /// By index; `None` while the node is down.
    nodes: RefCell<Vec<Option<ServingNode>>>,
    node_addresses: Vec<SocketAddr>,
}

impl LocalFleet {
    /// Starts the whole fleet. Configurations and logs are written to `folder`.
    pub async fn start(
        run: &RunDescription,
        program: &Path,
        folder: &Path,
    ) -> Result<Rc<LocalFleet>, SocketsError> {
        check_faults(run)?;
        let mut servers = Vec::new();
        let mut entries = Vec::new();
        for index in 0..run.fleet.servers {
            let server = StubModelServer::start(run.fleet.server.clone()).await?;
            let zone = index % run.fleet.zones;
            entries.push(DiscoveryEntry::new(index, zone, server.address()));
            servers.push(server);
        }
        let mut fleet = LocalFleet {
            run: run.clone(),
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            servers,
            discovery: StubDiscovery::start(entries).await?,
            nodes: RefCell::new(Vec::new()),
            node_addresses: Vec::new(),
        };
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for index in 0..run.fleet.nodes {
            let node = fleet.start_node(index, any_port).await?;
            fleet.node_addresses.push(node.address());
            fleet.nodes.borrow_mut().push(Some(node));
        }
        Ok(Rc::new(fleet))
    }

    pub fn servers(&self) -> &[StubModelServer] {
        &self.servers
    }

    /// The addresses at which nodes serve clients, including nodes that are down.
    pub fn node_addresses(&self) -> &[SocketAddr] {
        &self.node_addresses
    }

    /// The indexes of the nodes that are up.
    pub fn nodes_up(&self) -> Vec<usize> {
        let mut nodes_up = Vec::new();
        for (index, node) in self.nodes.borrow().iter().enumerate() {
            if node.is_some() {
                nodes_up.push(index);
            }
        }
        nodes_up
    }

    pub fn log_path(&self, node: usize) -> PathBuf {
        self.folder.join(format!("node-{node}.log"))
    }

    /// Shuts all nodes down gracefully, one after the other.
    pub async fn shut_down(&self) {
        let mut nodes_up = Vec::new();
        for index in 0..self.node_addresses.len() {
            nodes_up.extend(self.take_node(index));
        }
        for node in nodes_up {
            node.shut_down().await;
        }
    }

    /// Removes a node from the fleet. Its own function, so that the `RefCell` borrow ends before the caller awaits.
    fn take_node(&self, index: usize) -> Option<ServingNode> {
        self.nodes.borrow_mut()[index].take()
    }

    async fn start_node(
        &self,
        index: usize,
        listen: SocketAddr,
    ) -> Result<ServingNode, SocketsError> {
        let path = self.folder.join(format!("node-{index}.json"));
        let config = node_config(&self.run, index, listen, &self.discovery);
        std::fs::write(&path, config).map_err(SocketsError::file(&path))?;
        let log = self.open_log(index)?;
        ServingNode::start(&self.program, &path, log).await
    }

    fn open_log(&self, node: usize) -> Result<File, SocketsError> {
        let path = self.log_path(node);
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .map_err(SocketsError::file(&path))
    }
}

/// Rejects runs with faults that need an emulated network.
fn check_faults(run: &RunDescription) -> Result<(), SocketsError> {
    for fault in &run.fault {
        if matches!(fault.what, FaultKind::ZoneCut | FaultKind::LateReports) {
            return Err(SocketsError::UnsupportedFault { kind: fault.what });
        }
    }
    Ok(())
}
