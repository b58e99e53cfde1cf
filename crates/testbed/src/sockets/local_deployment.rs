//! A complete fleet for manual tests, for the sub-command `up`.

use super::error::SocketsError;
use super::local_fleet::LocalFleet;
use crate::emulator::description::RunDescription;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A running fleet for manual tests.
pub struct LocalDeployment {
    fleet: Rc<LocalFleet>,
    first_node: SocketAddr,
    curl_command: String,
    summary: String,
}

impl LocalDeployment {
    /// Starts model servers, discovery and nodes. Configurations and logs are written to `folder`.
    ///
    /// # Errors
    ///
    /// [`SocketsError`] if one of them cannot be started.
    pub async fn start(
        run: &RunDescription,
        program: &Path,
        folder: &Path,
    ) -> Result<LocalDeployment, SocketsError> {
        let fleet = LocalFleet::start(run, program, folder).await?;
        let first_node = fleet
            .node_addresses()
            .first()
            .copied()
            .ok_or(SocketsError::NoNode)?;
        Ok(LocalDeployment {
            first_node,
            curl_command: format_curl_command(run, first_node),
            summary: format_summary(&fleet),
            fleet,
        })
    }

    /// The address at which the first node serves clients.
    pub fn first_node(&self) -> SocketAddr {
        self.first_node
    }

    /// A shell command that sends a request to the first node.
    pub fn curl_command(&self) -> &str {
        &self.curl_command
    }

    /// A description for the user: the number of servers, the nodes' URLs and the log file.
    pub fn summary(&self) -> &str {
        &self.summary
    }

    /// Serves until Ctrl-C, at most for `duration`, and shuts everything down.
    pub async fn serve_for(self, duration: Duration) {
        // Both branches are cancel-safe: neither holds any state. The fleet is shut down after either of them.
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            () = tokio::time::sleep(duration) => {}
        }
        self.fleet.shut_down().await;
    }
}

fn format_curl_command(run: &RunDescription, node: SocketAddr) -> String {
    let class = &run.class[0];
    format!(
        "curl -N http://{node}/v1/chat/completions -H \"Req-Id: $(printf '%08x%08x' $RANDOM$RANDOM $(date +%s))\" \
         -H 'Req-Kind: {}' -H 'Req-Deadline: {}' -d '{{\"model\":\"lab\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
        class.name, class.deadline_s
    )
}

fn format_summary(fleet: &LocalFleet) -> String {
    let addresses = fleet.node_addresses();
    let urls: Vec<String> = addresses
        .iter()
        .map(|address| format!("http://{address}"))
        .collect();
    let nodes = if urls.len() == 1 {
        "a node".to_string()
    } else {
        format!("{} nodes", urls.len())
    };
    format!(
        "{} model servers, discovery and {nodes} on loopback:\n  {}\nlogs: {}\n",
        fleet.servers().len(),
        urls.join("\n  "),
        fleet.log_path(0).display()
    )
}
