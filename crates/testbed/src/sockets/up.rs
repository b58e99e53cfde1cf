//! `up`: a node to try, with all that it needs.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use super::fleet::Fleet;
use crate::emulator::description::RunDescription;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// What `up` has started.
pub struct Up {
    fleet: Rc<Fleet>,
    /// A line for a shell that gets an answer.
    pub curl: String,
    /// What there is, for people.
    pub text: String,
}

/// Starts servers, discovery and nodes.
pub async fn up(run: &RunDescription, program: &Path, folder: &Path) -> Result<Up, String> {
    let fleet = Fleet::start(run, program, folder).await?;
    let addr = fleet.addrs().first().copied().ok_or("up: no node")?;
    let class = &run.class[0];
    let curl = format!(
        "curl -N http://{addr}/v1/chat/completions -H \"Req-Id: $(printf '%08x%08x' $RANDOM$RANDOM $(date +%s))\" \
         -H 'Req-Kind: {}' -H 'Req-Deadline: {}' -d '{{\"model\":\"lab\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
        class.name, class.deadline_s
    );
    let nodes: Vec<String> = fleet
        .addrs()
        .iter()
        .map(|a| format!("http://{a}"))
        .collect();
    let text = format!(
        "{} model servers, discovery and {} on loopback:\n  {}\nlogs: {}\n",
        fleet.models.len(),
        if nodes.len() == 1 {
            "a node".to_string()
        } else {
            format!("{} nodes", nodes.len())
        },
        nodes.join("\n  "),
        fleet.log(0).display()
    );
    Ok(Up { fleet, curl, text })
}

impl Up {
    /// Where the first node serves.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.fleet.addrs()[0]
    }

    /// Serves until Ctrl-C, or for so long, and ends all that was started.
    pub async fn wait(self, span: Duration) {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            () = tokio::time::sleep(span) => {}
        }
        self.fleet.stop().await;
    }
}
