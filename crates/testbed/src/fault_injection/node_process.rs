//! A node as a process that is stopped, continued, killed and started again.
//!
//! It never outlives the testbed: it is killed when its [`NodeProcess`] is dropped, and the program itself ends with its
//! parent, which it is asked for in its environment.

use super::error::FaultInjectionError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};

/// How long a process may take for its graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);

/// A process that runs, or has ended by itself.
pub(super) struct NodeProcess {
    child: Child,
}

/// How a process is started.
#[derive(Clone, Debug)]
pub(super) struct NodeCommand {
    /// The node's program.
    pub(super) program: PathBuf,
    /// Its configuration.
    pub(super) config: PathBuf,
    /// Its operators' file.
    pub(super) operator_file: PathBuf,
    /// The file that its log is appended to.
    pub(super) log: PathBuf,
    /// The address of its admin interface.
    pub(super) admin_address: String,
    /// How wrong its clock of leases runs, in parts in a million.
    pub(super) clock_ppm: i64,
    /// How wrong its wall clock is, in seconds.
    pub(super) wall_clock_offset_s: i64,
    /// The file with the faults of its disk.
    pub(super) disk_faults: PathBuf,
}

impl NodeProcess {
    /// Starts a process.
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
            // Also where the testbed is killed, and where the process is stopped at that moment.
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

    /// Sends SIGKILL and waits for the end.
    pub(super) async fn kill(mut self) {
        // It fails only where the process has ended already.
        let _ = self.child.kill().await;
    }

    /// Sends SIGTERM and waits for the end; SIGKILL where that takes too long.
    pub(super) async fn shut_down(mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let ended = tokio::time::timeout(SHUTDOWN_TIMEOUT, self.child.wait()).await;
        if ended.is_err() {
            self.kill().await;
        }
    }

    /// The exit status, if it has ended by itself.
    pub(super) fn exit_status(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // It fails only where the process has ended already.
            let _ = kill_process(pid, signal);
        }
    }
}
