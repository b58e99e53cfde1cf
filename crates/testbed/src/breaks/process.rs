//! A node as a process that is stopped, woken, killed and started again. It never outlives the lab.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

/// A process.
pub struct Process {
    child: Child,
}

/// How a process is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The node's program.
    pub program: PathBuf,
    /// Its configuration.
    pub config: PathBuf,
    /// Its operators' file.
    pub operator: PathBuf,
    /// Where its log goes.
    pub log: PathBuf,
    /// Where operators call.
    pub admin: String,
    /// By how much its clock of leases runs wrong, in parts in a million.
    pub clock_ppm: i64,
    /// By how much its wall clock is wrong, in seconds.
    pub wall_s: i64,
    /// The file with orders to its disk.
    pub disk_orders: PathBuf,
}

impl Process {
    /// Starts one.
    pub fn start(start: &Start) -> Result<Process, String> {
        let named = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&start.log);
        let log = log.map_err(|e| named(&start.log, e))?;
        let child = Command::new(&start.program)
            .args(["serve", "--log-format", "json", "--config"])
            .arg(&start.config)
            .arg("--operator")
            .arg(&start.operator)
            .env("GW_ADMIN", &start.admin)
            .env("POPPYKEEL_TEST_CLOCK_PPM", start.clock_ppm.to_string())
            .env("POPPYKEEL_TEST_WALL_S", start.wall_s.to_string())
            .env("POPPYKEEL_TEST_DISK", &start.disk_orders)
            // Also where the lab is killed, and where this one is stopped at that moment.
            .env("POPPYKEEL_TEST_WITH_PARENT", "1")
            .env_remove("GW_LISTEN")
            .env_remove("GW_NAME")
            .env_remove("GW_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| named(&start.program, e))?;
        Ok(Process { child })
    }

    fn signal(&self, signal: Signal) {
        let id = self
            .child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }
    /// SIGSTOP.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }
    /// SIGCONT.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }
    /// SIGKILL, and waits.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
    /// SIGTERM, and waits; SIGKILL where that takes too long.
    pub async fn end(mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        if tokio::time::timeout(std::time::Duration::from_secs(8), self.child.wait())
            .await
            .is_err()
        {
            let _ = self.child.kill().await;
        }
    }
    /// Whether it has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }
}
