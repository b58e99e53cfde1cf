//! A node process that can be started, stopped, resumed, shut down and killed.
//!
//! A process never outlives the testbed: it is killed when its [`NodeProcess`] is dropped, and an environment variable
//! makes the node exit when its parent does.

use super::error::FaultInjectionError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};

/// A process that has not shut down gracefully within this time is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);

/// A process that is running or has exited by itself.
pub(super) struct NodeProcess {
    child: Child,
}

/// The program, files and settings with which a process is started.
#[derive(Clone, Debug)]
pub(super) struct NodeCommand {
    /// The node's program.
    pub(super) program: PathBuf,
    pub(super) config: PathBuf,
    pub(super) operator_file: PathBuf,
    /// The file to which the log is appended.
    pub(super) log: PathBuf,
    pub(super) admin_address: String,
    /// The rate error of the lease clock, in parts per million.
    pub(super) clock_ppm: i64,
    /// The offset of the wall clock from the real time, in seconds.
    pub(super) wall_clock_offset_s: i64,
    /// The file from which the node reads the faults of its disk.
    pub(super) disk_faults: PathBuf,
}

impl NodeProcess {
    pub(super) fn start(command: &NodeCommand) -> Result<NodeProcess, FaultInjectionError> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&command.log)
            .map_err(FaultInjectionError::file(&command.log))?;
        let child = Command::new(&command.program)
            .args(["serve", "--log-format", "json", "--config"])
            .arg(&command.config)
            .arg("--operator")
            .arg(&command.operator_file)
            .env("GW_ADMIN", &command.admin_address)
            .env("POPPYKEEL_TEST_CLOCK_PPM", command.clock_ppm.to_string())
            .env(
                "POPPYKEEL_TEST_WALL_S",
                command.wall_clock_offset_s.to_string(),
            )
            .env("POPPYKEEL_TEST_DISK", &command.disk_faults)
            // The node exits with its parent, even if the testbed is killed while the node is stopped.
            .env("POPPYKEEL_TEST_WITH_PARENT", std::process::id().to_string())
            .env_remove("GW_LISTEN")
            .env_remove("GW_NAME")
            .env_remove("GW_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(FaultInjectionError::file(&command.program))?;
        Ok(NodeProcess { child })
    }

    /// Sends SIGSTOP.
    pub(super) fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub(super) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGKILL and waits for the exit.
    pub(super) async fn kill(mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill().await;
    }

    /// Sends SIGTERM and waits for the exit; sends SIGKILL after a timeout.
    pub(super) async fn shut_down(mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let ended = tokio::time::timeout(SHUTDOWN_TIMEOUT, self.child.wait()).await;
        if ended.is_err() {
            self.kill().await;
        }
    }

    /// The exit status, or `None` while the process runs.
    pub(super) fn exit_status(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // Fails only if the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }
}
