//! A node process: its start, log and shutdown.

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

/// The maximum time from the start of a node until it serves.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(5);
/// A node that has not shut down gracefully within this time is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// The text before the address in the log message of a node that starts serving.
const SERVING_MARKER: &str = "serving on ";

/// The node's program: the given one, or by default this program, which has the sub-command `serve` as well.
///
/// # Errors
///
/// [`SocketsError::NoProgram`] if the given file does not exist, [`SocketsError::CurrentProgram`] if the path of this
/// program is unknown.
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
        // An error is ignored: the node continues without its log if the disk is full.
        let _ = writeln!(self.file, "{line}");
        Some(line)
    }

    async fn copy_to_end(mut self) {
        while self.next_line().await.is_some() {}
    }
}

/// A serving node. Its process is killed when this value is dropped.
pub struct ServingNode {
    child: Child,
    address: SocketAddr,
    /// Copies the log until the process closes it.
    log_task: JoinHandle<()>,
}

impl ServingNode {
    /// Starts a node and waits until it serves. Its log is copied to `log`.
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

    /// The address at which the node serves clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends SIGTERM, and waits for the exit and the end of the log. The process is killed after a timeout.
    pub async fn shut_down(mut self) {
        if let Some(id) = self.child.id() {
            // Fails only if the process has already exited.
            let _ = Command::new("kill")
                .args(["-TERM", &id.to_string()])
                .status()
                .await;
        }
        let ended = async {
            let _ = self.child.wait().await;
            // The last lines of the log may still be in the pipe.
            let _ = (&mut self.log_task).await;
        };
        // After the timeout the process is killed when it is dropped.
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, ended).await;
    }

    /// Sends SIGKILL and waits for the exit.
    pub async fn kill(mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill().await;
    }
}

/// Reads the log until it has the address at which the node serves. Returns `None` if the log ends before that;
/// `last_line` is then its last line.
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
