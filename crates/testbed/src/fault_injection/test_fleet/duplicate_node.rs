//! Duplicate node: a second process under a node's name, with its own disk and addresses.

use super::super::error::FaultInjectionError;
use super::super::node_process::{NodeCommand, NodeProcess};
use super::super::ports::bind_restart_port;
use super::{NodeAddresses, TestFleet};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A text replacement in a configuration file.
struct Replacement {
    old: String,
    new: String,
}

impl TestFleet {
    /// Runs a second process under the name of `node` for `duration`. Halfway, the lease holder is killed, so that all
    /// nodes request the lease.
    pub(super) async fn run_duplicate(
        &self,
        node: usize,
        holder: usize,
        duration: Duration,
    ) -> Result<(), FaultInjectionError> {
        let addresses = reserve_duplicate_addresses().await?;
        if self.shape.nodes < 2 {
            return Err(FaultInjectionError::FleetTooSmall);
        }
        let command = self.duplicate_command(node, addresses)?;
        self.history.add("twin", &json!({"node": node}));
        self.set_duplicate(node, Some(addresses.coordination));
        let duplicate = NodeProcess::start(&command)?;
        tokio::time::sleep(duration / 2).await;
        self.kill_for(&[holder], duration / 2).await?;
        duplicate.kill().await;
        self.set_duplicate(node, None);
        self.history.add("twin gone", &json!({"node": node}));
        Ok(())
    }

    /// Routes half of the messages for a node to the duplicate; with `None`, all go to the node again.
    fn set_duplicate(&self, node: usize, duplicate: Option<SocketAddr>) {
        for (link, relay) in &self.links {
            if link.to == node {
                relay.set_duplicate(duplicate);
            }
        }
    }

    /// Writes the configuration files of the duplicate: those of the node with other addresses and an empty disk.
    fn duplicate_command(
        &self,
        node: usize,
        duplicate: NodeAddresses,
    ) -> Result<NodeCommand, FaultInjectionError> {
        let own = self.addresses[node];
        let duplicate_disk = self.duplicate_path(node, "disk");
        // Removes the disk of an earlier duplicate, if there is one.
        let _ = std::fs::remove_dir_all(&duplicate_disk);
        let operator_changes = [
            Replacement {
                old: format_listen_line(own.coordination),
                new: format_listen_line(duplicate.coordination),
            },
            Replacement {
                old: format_folder_line(&self.disk(node)),
                new: format_folder_line(&duplicate_disk),
            },
        ];
        let config_changes = [Replacement {
            old: own.serving.to_string(),
            new: duplicate.serving.to_string(),
        }];
        let command = &self.commands[node];
        let operator_file = self.duplicate_path(node, "toml");
        rewrite(&command.operator_file, &operator_file, &operator_changes)?;
        let config = self.duplicate_path(node, "json");
        rewrite(&command.config, &config, &config_changes)?;
        Ok(NodeCommand {
            config,
            operator_file,
            log: self.duplicate_path(node, "log"),
            admin_address: duplicate.admin.to_string(),
            ..command.clone()
        })
    }

    fn duplicate_path(&self, node: usize, extension: &str) -> PathBuf {
        self.folder.join(format!("twin-{node}.{extension}"))
    }
}

/// Allocates addresses. Their ports are released when this returns, so that the duplicate can bind them.
async fn reserve_duplicate_addresses() -> Result<NodeAddresses, FaultInjectionError> {
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

fn format_listen_line(address: SocketAddr) -> String {
    format!("listen = \"{address}\"")
}

fn format_folder_line(disk: &Path) -> String {
    format!("folder = {:?}", disk.display().to_string())
}

/// Copies a file with these replacements.
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
