//! The node under test: its configuration, its processes, and signals to them.

use super::plan::Plan;
use super::records::{ProcessRecord, RecordsRef};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A process that takes longer than this to become ready fails the run.
const MAX_READY_TIME: Duration = Duration::from_secs(10);
const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
const READY: &[u8] = b"HTTP/1.1 200";

/// The node of a run: consecutive processes that listen at the same address.
pub struct SoakNode {
    pub addr: SocketAddr,
    config: PathBuf,
    plan: Arc<Plan>,
    records: RecordsRef,
    child: Option<Child>,
    /// The log lines of all processes, each with the seconds since the start of the run.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl SoakNode {
    pub fn new(plan: Arc<Plan>, records: RecordsRef) -> SoakNode {
        // Dropping the listener frees the port, and the kernel does not soon assign it to another socket.
        let addr = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let file_name = format!("soak-{}-{}.json", std::process::id(), plan.seed);
        SoakNode {
            addr,
            config: std::env::temp_dir().join(file_name),
            plan,
            records,
            child: None,
            log: Arc::default(),
        }
    }

    fn operator_file(&self) -> PathBuf {
        self.config.with_extension("toml")
    }

    /// Writes the configuration with this endpoint list and discovery address, and the operator file.
    pub fn write_config(&self, known: &Value, discovery: SocketAddr) {
        let operator = format!("[streams]\ncontinue = {}\n", self.plan.continues_streams);
        std::fs::write(self.operator_file(), operator).unwrap();
        let config = json!({
            "name": "n0", "listen": self.addr.to_string(), "discovery": discovery.to_string(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": known,
            "settings": {
                "balancers": 4, "me": 0, "zone": 0, "zones": ["a"], "hostTypes": ["k"], "tenants": [],
                "classes": [{"name": "chat", "goalTime": 2.0, "giveUp": 10.0, "gain": 1.0, "lateValue": 0.0,
                    "semantics": self.plan.semantics, "streaming": true}],
                "limits": {"probes": self.plan.allows_probes, "cancel": true, "secondCopies": false, "mostTries": 4,
                    "retryAfter": true, "maxRetryAfter": 2.0, "dialTimeout": 0.25, "keepalive": 10.0},
                "report": {"source": "inline", "fields": ["x0", "x1"]},
                "rules": {"drainGrace": 0.75, "cold": 10.0, "coldFrom": 0.2, "overloadFactor": 4.0, "fall": 1.0,
                    "askEvery": 10.0},
                "costs": {}, "membershipMode": "on_request"
            }
        });
        std::fs::write(&self.config, config.to_string()).unwrap();
    }

    /// Starts a process and waits until it is ready. `known_version` is the version of the list in its configuration.
    pub fn start(&mut self, known_version: u64) {
        let started_at = self.records.clock.now();
        let mut child = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
            .args(["serve", "--config"])
            .arg(&self.config)
            .arg("--operator")
            .arg(self.operator_file())
            .env_remove("GW_DISCOVERY")
            .env_remove("GW_LISTEN")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (log, clock) = (self.log.clone(), self.records.clock);
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                let at = clock.now().as_secs_f64();
                log.lock().unwrap().push(format!("{at:.3} {line}"));
            }
        });
        self.child = Some(child);
        let ready_after = self.wait_until_ready(started_at);
        self.records
            .all
            .processes
            .lock()
            .unwrap()
            .push(ProcessRecord {
                started_at,
                known_version,
                terminated_at: None,
                ended_at: None,
                has_crashed: false,
                ready_after,
            });
    }

    fn wait_until_ready(&self, started_at: Duration) -> Duration {
        loop {
            let waited = self.records.clock.now().saturating_sub(started_at);
            if self.is_ready() || waited > MAX_READY_TIME {
                return waited;
            }
            std::thread::sleep(READY_CHECK_INTERVAL);
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.addr) else {
            return false;
        };
        let mut answer = Vec::new();
        // On an error the answer is incomplete, and the caller checks again.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(HEALTH);
        let _ = stream.read_to_end(&mut answer);
        answer.starts_with(READY)
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            // Fails if the process has already ended.
            let _ = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .stderr(Stdio::null())
                .status();
        }
    }

    /// Sends SIGTERM and records the time of the first one.
    pub fn terminate(&self) {
        let now = self.records.clock.now();
        if let Some(process) = self.records.all.processes.lock().unwrap().last_mut() {
            process.terminated_at.get_or_insert(now);
        }
        self.signal("-TERM");
    }

    /// Kills the process and records whether it had ended without SIGTERM or with an error.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let has_ended = child.try_wait().unwrap();
        let now = self.records.clock.now();
        // The process may have ended by now.
        let _ = child.kill();
        let _ = child.wait();
        if let Some(process) = self.records.all.processes.lock().unwrap().last_mut() {
            process.ended_at = Some(now);
            let was_terminated = process.terminated_at.is_some();
            process.has_crashed =
                has_ended.is_some_and(|status| !(was_terminated && status.success()));
        }
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        self.kill();
        // A leftover file is harmless.
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.operator_file());
    }
}
