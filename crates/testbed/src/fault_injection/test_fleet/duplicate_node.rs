//! A second process under a node's name, with a disk and addresses of its own.

use super::super::error::FaultInjectionError;
use super::super::node_process::{NodeCommand, NodeProcess};
use super::super::ports::bind_restart_port;
use super::{NodeAddresses, TestFleet};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A text of a configuration and what replaces it.
struct Replacement {
    old: String,
    new: String,
}

impl TestFleet {
    /// Runs a second process under the name of `node` for a time. The lease holder is killed meanwhile, so that all
    /// nodes ask for the lease.
    pub(super) async fn run_twin(
        &self,
        node: usize,
        holder: usize,
        duration: Duration,
    ) -> Result<(), FaultInjectionError> {
        let addresses = reserve_twin_addresses().await?;
        if self.shape.nodes < 2 {
            return Err(FaultInjectionError::NoTwin);
        }
        let command = self.twin_command(node, addresses)?;
        self.history.add("twin", &json!({"node": node}));
        self.set_twin(node, Some(addresses.coordination));
        let twin = NodeProcess::start(&command)?;
        tokio::time::sleep(duration / 2).await;
        self.kill_for(&[holder], duration / 2).await?;
        twin.kill().await;
        self.set_twin(node, None);
        self.history.add("twin gone", &json!({"node": node}));
        Ok(())
    }

    /// Lets messages for a node reach one of two processes, or only its own again.
    fn set_twin(&self, node: usize, twin: Option<SocketAddr>) {
        for (link, relay) in &self.links {
            if link.to == node {
                relay.set_twin(twin);
            }
        }
    }

    /// Writes the files of the twin: those of the node with other addresses and another, empty disk.
    fn twin_command(
        &self,
        node: usize,
        twin: NodeAddresses,
    ) -> Result<NodeCommand, FaultInjectionError> {
        let own = self.addresses[node];
        let twin_disk = self.twin_path(node, "disk");
        // There may be one of an earlier twin, or none.
        let _ = std::fs::remove_dir_all(&twin_disk);
        let operator_changes = [
            Replacement {
                old: listen_line(own.coordination),
                new: listen_line(twin.coordination),
            },
            Replacement {
                old: folder_line(&self.disk(node)),
                new: folder_line(&twin_disk),
            },
        ];
        let config_changes = [Replacement {
            old: own.serving.to_string(),
            new: twin.serving.to_string(),
        }];
        let command = &self.commands[node];
        let operator_file = self.twin_path(node, "toml");
        rewrite(&command.operator_file, &operator_file, &operator_changes)?;
        let config = self.twin_path(node, "json");
        rewrite(&command.config, &config, &config_changes)?;
        Ok(NodeCommand {
            config,
            operator_file,
            log: self.twin_path(node, "log"),
            admin_address: twin.admin.to_string(),
            ..command.clone()
        })
    }

    fn twin_path(&self, node: usize, extension: &str) -> PathBuf {
        self.folder.join(format!("twin-{node}.{extension}"))
    }
}

/// Finds free addresses. Their ports are free again for the twin when this returns.
async fn reserve_twin_addresses() -> Result<NodeAddresses, FaultInjectionError> {
    let coordination = bind_restart_port()
        .await
        .map_err(FaultInjectionError::Port)?;
    let admin = bind_restart_port()
        .await
        .map_err(FaultInjectionError::Port)?;
    let serving = bind_restart_port()
        .await
        .map_err(FaultInjectionError::Port)?;
    Ok(NodeAddresses {
        coordination: coordination.address,
        admin: admin.address,
        serving: serving.address,
    })
}

fn listen_line(address: SocketAddr) -> String {
    format!("listen = \"{address}\"")
}

fn folder_line(disk: &Path) -> String {
    format!("folder = {:?}", disk.display().to_string())
}

/// Writes a file with some of its text replaced.
fn rewrite(
    from: &Path,
    to: &Path,
    replacements: &[Replacement],
) -> Result<(), FaultInjectionError> {
    let mut text = std::fs::read_to_string(from).map_err(FaultInjectionError::file(from))?;
    for replacement in replacements {
        text = text.replace(&replacement.old, &replacement.new);
    }
    std::fs::write(to, text).map_err(FaultInjectionError::file(to))
}
