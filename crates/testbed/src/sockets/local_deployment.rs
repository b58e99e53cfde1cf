//! A node to try, with all that it needs, for the sub-command `up`.

use super::error::SocketsError;
use super::local_fleet::LocalFleet;
use crate::emulator::description::RunDescription;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A fleet that serves until it is told to end.
pub struct LocalDeployment {
    fleet: Rc<LocalFleet>,
    first_node: SocketAddr,
    curl_command: String,
    summary: String,
}

impl LocalDeployment {
    /// Starts servers, discovery and nodes; `folder` takes configurations and logs.
    ///
    /// # Errors
    ///
    /// [`SocketsError`] where one of them does not start.
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
            curl_command: curl_command(run, first_node),
            summary: summary(&fleet),
            fleet,
        })
    }

    /// Where the first node serves.
    pub fn first_node(&self) -> SocketAddr {
        self.first_node
    }

    /// A line for a shell that gets an answer of the first node.
    pub fn curl_command(&self) -> &str {
        &self.curl_command
    }

    /// What has been started, for people.
    pub fn summary(&self) -> &str {
        &self.summary
    }

    /// Serves until Ctrl-C, or for so long, and ends all that was started.
    pub async fn serve_for(self, duration: Duration) {
        // Both branches are cancel-safe: neither owns anything. The fleet is ended after either of them.
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            () = tokio::time::sleep(duration) => {}
        }
        self.fleet.shut_down().await;
    }
}

fn curl_command(run: &RunDescription, node: SocketAddr) -> String {
    let class = &run.class[0];
    format!(
        "curl -N http://{node}/v1/chat/completions -H \"Req-Id: $(printf '%08x%08x' $RANDOM$RANDOM $(date +%s))\" \
         -H 'Req-Kind: {}' -H 'Req-Deadline: {}' -d '{{\"model\":\"lab\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
        class.name, class.deadline_s
    )
}

fn summary(fleet: &LocalFleet) -> String {
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
