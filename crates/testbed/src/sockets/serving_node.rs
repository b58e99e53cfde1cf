//! The node as a process that serves: its start and its end.

use super::error::SocketsError;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};
use tokio::task::{spawn_local, JoinHandle};

/// A node must serve within this time of its start.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a node may take for its graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// What stands before its address in the line by which a node says that it serves.
const SERVING_MARKER: &str = "serving on ";

/// The node's program: the given one, or this very one, which can serve, too.
///
/// # Errors
///
/// [`SocketsError::NoProgram`] where there is no such file, [`SocketsError::CurrentProgram`] where the path of this
/// program is not known.
pub fn node_program(given: Option<&Path>) -> Result<PathBuf, SocketsError> {
    match given {
        None => std::env::current_exe().map_err(SocketsError::CurrentProgram),
        Some(path) if path.is_file() => Ok(path.to_path_buf()),
        Some(path) => Err(SocketsError::NoProgram {
            path: path.to_path_buf(),
        }),
    }
}

/// The log of a node: its standard error, copied to a file.
struct NodeLog {
    lines: Lines<BufReader<ChildStderr>>,
    file: File,
}

impl NodeLog {
    async fn next_line(&mut self) -> Option<String> {
        let line = self.lines.next_line().await.ok()??;
        // The node goes on without its log where the disk is full.
        let _ = writeln!(self.file, "{line}");
        Some(line)
    }

    async fn copy_to_end(mut self) {
        while self.next_line().await.is_some() {}
    }
}

/// A node that serves. Its process is killed when this is dropped.
pub struct ServingNode {
    child: Child,
    address: SocketAddr,
    /// Copies the log until the process closes it.
    log_task: JoinHandle<()>,
}

impl ServingNode {
    /// Starts a node and waits until it serves. Its log goes to `log`.
    pub async fn start(
        program: &Path,
        config: &Path,
        log: File,
    ) -> Result<ServingNode, SocketsError> {
        let mut child = Command::new(program)
            .args(["serve", "--log-format", "json", "--config"])
            .arg(config)
            .env_remove("GW_LISTEN")
            .env_remove("GW_NAME")
            .env_remove("GW_DISCOVERY")
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| SocketsError::StartNode {
                program: program.to_path_buf(),
                source,
            })?;
        let stderr = child.stderr.take().ok_or(SocketsError::NoNodeLog)?;
        let mut log = NodeLog {
            lines: BufReader::new(stderr).lines(),
            file: log,
        };
        let mut last_line = String::new();
        let serving = wait_until_serving(&mut log, &mut last_line);
        let Ok(Some(address)) = tokio::time::timeout(START_TIMEOUT, serving).await else {
            return Err(SocketsError::NodeDoesNotServe { last_line });
        };
        Ok(ServingNode {
            child,
            address,
            log_task: spawn_local(log.copy_to_end()),
        })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends it by SIGTERM, and waits for its end and that of its log. It is killed where that takes too long.
    pub async fn shut_down(mut self) {
        if let Some(id) = self.child.id() {
            // It fails only where the process has ended already.
            let _ = Command::new("kill")
                .args(["-TERM", &id.to_string()])
                .status()
                .await;
        }
        let ended = async {
            let _ = self.child.wait().await;
            // Its last lines may still be on their way here.
            let _ = (&mut self.log_task).await;
        };
        // Past the timeout the process is killed by its drop.
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, ended).await;
    }

    /// Ends it by SIGKILL, and waits.
    pub async fn kill(mut self) {
        // It fails only where the process has ended already.
        let _ = self.child.kill().await;
    }
}

/// Reads the log until the node says where it serves. `None` where the log ends before; `last_line` has its last line.
async fn wait_until_serving(log: &mut NodeLog, last_line: &mut String) -> Option<SocketAddr> {
    loop {
        let line = log.next_line().await?;
        if let Some(address) = serving_address(&line) {
            return Some(address);
        }
        *last_line = line;
    }
}

fn serving_address(line: &str) -> Option<SocketAddr> {
    let after_marker = line.split(SERVING_MARKER).nth(1)?;
    let address = after_marker.split('"').next()?;
    address.parse().ok()
}
