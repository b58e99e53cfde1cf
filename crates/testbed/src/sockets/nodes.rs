//! The node as a process: its configuration, its start and its end.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use super::discovery::Discovery;
use crate::emulator::description::{RepeatSafety, RunDescription};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, JoinHandle};

/// A node must serve within this time of its start.
const START: Duration = Duration::from_secs(5);

/// The node's program: as told, or this very one, which can serve, too.
pub fn program(told: Option<&Path>) -> Result<PathBuf, String> {
    match told {
        None => std::env::current_exe().map_err(|e| format!("node: {e}")),
        Some(path) if path.is_file() => Ok(path.to_path_buf()),
        Some(path) => Err(format!("node: there is no {}", path.display())),
    }
}

/// The configuration of one of a run's nodes.
pub fn config(
    run: &RunDescription,
    me: usize,
    listen: SocketAddr,
    discovery: &Discovery,
) -> String {
    let f = &run.fleet;
    let settings = crate::emulator::scheduler_settings(run, me);
    let zones: Vec<String> = (0..f.zones).map(|z| format!("z{z}")).collect();
    let class = |c: &crate::emulator::description::ClassDescription| {
        let semantics = if c.repeats == RepeatSafety::Safe {
            "safe"
        } else {
            "unsafe"
        };
        json!({"name": c.name, "goalTime": c.aim_s, "giveUp": c.deadline_s, "gain": c.worth,
            "lateValue": c.late_worth, "semantics": semantics, "streaming": true})
    };
    let tenants = run.tenant.iter().zip(&settings.tenants);
    let tenants = tenants
        .map(|(t, s)| json!({"name": t.name, "share": s.quota, "allowancePerS": s.rate_limit}));
    let (l, r) = (&settings.limits, &settings.lifecycle);
    json!({
        "name": format!("lab-{me}"), "listen": listen.to_string(), "discovery": discovery.addr.to_string(),
        "seed": (me + 1).to_string(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": discovery.whole(),
        "settings": {
            "balancers": f.nodes, "me": me, "zone": settings.zone, "zones": zones, "hostTypes": ["k"],
            "tenants": tenants.collect::<Vec<_>>(), "classes": run.class.iter().map(class).collect::<Vec<_>>(),
            "limits": {"probes": l.allows_probes, "cancel": l.allows_cancellation, "secondCopies": l.allows_hedging,
                "mostTries": l.max_attempts, "retryAfter": true, "maxRetryAfter": l.max_retry_after,
                "dialTimeout": f.dial_s, "keepalive": 60.0},
            "report": {"source": "inline", "fields": ["x0", "x1"]},
            "rules": {"drainGrace": r.drain_grace, "cold": r.slow_start_duration, "coldFrom": r.slow_start_initial_fraction,
                "overloadFactor": r.overload_factor, "fall": r.overload_window, "askEvery": r.poll_interval},
            "specifics": {"tokenAim": run.class.iter().map(|c| c.token_aim_s).collect::<Vec<_>>()},
            "costs": {}, "membershipMode": "pushed",
        },
    })
    .to_string()
}

/// A node that serves.
pub struct Node {
    child: Child,
    /// Where.
    pub addr: SocketAddr,
    /// Reads the log to its end.
    log: JoinHandle<()>,
}

impl Node {
    /// Starts one and waits until it serves. Its log goes to `log`, where that is given.
    pub async fn start(
        program: &Path,
        config: &Path,
        log: Option<std::fs::File>,
    ) -> Result<Node, String> {
        let named = |e: std::io::Error| format!("node {}: {e}", program.display());
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
            .map_err(named)?;
        let Some(stderr) = child.stderr.take() else {
            return Err("node: no log".into());
        };
        let mut lines = BufReader::new(stderr).lines();
        let mut log = log;
        let mut keep = move |line: &str| {
            use std::io::Write;
            if let Some(file) = &mut log {
                let _ = writeln!(file, "{line}");
            }
        };
        let mut last = String::new();
        let serving = async {
            while let Ok(Some(line)) = lines.next_line().await {
                keep(&line);
                let addr = line
                    .split("serving on ")
                    .nth(1)
                    .and_then(|l| l.split('"').next());
                if let Some(addr) = addr.and_then(|a| a.parse().ok()) {
                    return Some(addr);
                }
                last = line;
            }
            None
        };
        let addr: Option<SocketAddr> = tokio::time::timeout(START, serving).await.ok().flatten();
        let Some(addr) = addr else {
            return Err(format!("node: does not serve; last said: {last}"));
        };
        let log = spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                keep(&line);
            }
        });
        Ok(Node { child, addr, log })
    }

    /// Ends it as an orderly stop does, and waits.
    pub async fn stop(mut self) {
        if let Some(id) = self.child.id() {
            let _ = Command::new("kill")
                .args(["-TERM", &id.to_string()])
                .status()
                .await;
        }
        let ended = async {
            let _ = self.child.wait().await;
            // Its last lines may still be on their way here.
            let _ = (&mut self.log).await;
        };
        let _ = tokio::time::timeout(Duration::from_secs(10), ended).await;
    }

    /// Ends it at once.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}
