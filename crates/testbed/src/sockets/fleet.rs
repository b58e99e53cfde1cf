//! Servers, discovery and nodes of one run, and what goes wrong with them.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::discovery::{Discovery, Entry};
use super::model::Model;
use super::nodes::{config, Node};
use crate::emulator::description::{FaultDescription, FaultKind, RunDescription};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;

const RESTART: Duration = Duration::from_secs(1);
const STALLS: Duration = Duration::from_secs(2);

/// The fleet.
pub struct Fleet {
    run: RunDescription,
    program: PathBuf,
    folder: PathBuf,
    /// Its model servers.
    pub models: Vec<Model>,
    discovery: Discovery,
    nodes: RefCell<Vec<Option<Node>>>,
    addrs: Vec<SocketAddr>,
}

fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as i64)
}

impl Fleet {
    /// Starts all of it; `folder` takes configurations and logs.
    pub async fn start(
        run: &RunDescription,
        program: &Path,
        folder: &Path,
    ) -> Result<Rc<Fleet>, String> {
        if let Some(fault) = run
            .fault
            .iter()
            .find(|f| matches!(f.what, FaultKind::ZoneCut | FaultKind::LateReports))
        {
            return Err(format!(
                "fault: {:?} is not to be had on loopback sockets",
                fault.what
            ));
        }
        let mut models = Vec::new();
        let mut entries = Vec::new();
        for n in 0..run.fleet.servers {
            let model = Model::start(run.fleet.server.clone()).await?;
            let (name, zone) = (format!("m-{n}"), format!("z{}", n % run.fleet.zones));
            entries.push(Entry {
                name,
                addr: model.addr,
                zone,
                state: "up",
                started_ms: 0,
            });
            models.push(model);
        }
        let discovery = Discovery::start(entries).await?;
        let (nodes, addrs) = (RefCell::new(Vec::new()), Vec::new());
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        let mut fleet = Fleet {
            run: run.clone(),
            program,
            folder,
            models,
            discovery,
            nodes,
            addrs,
        };
        for me in 0..run.fleet.nodes {
            let node = fleet
                .node(me, SocketAddr::from(([127, 0, 0, 1], 0)))
                .await?;
            fleet.addrs.push(node.addr);
            fleet.nodes.borrow_mut().push(Some(node));
        }
        Ok(Rc::new(fleet))
    }

    /// Where nodes serve.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// The nodes that are there now.
    pub fn up(&self) -> Vec<usize> {
        self.nodes
            .borrow()
            .iter()
            .enumerate()
            .filter(|n| n.1.is_some())
            .map(|n| n.0)
            .collect()
    }

    /// The log of a node.
    pub fn log(&self, me: usize) -> PathBuf {
        self.folder.join(format!("node-{me}.log"))
    }

    async fn node(&self, me: usize, listen: SocketAddr) -> Result<Node, String> {
        let path = self.folder.join(format!("node-{me}.json"));
        let text = config(&self.run, me, listen, &self.discovery);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log(me));
        Node::start(
            &self.program,
            &path,
            Some(log.map_err(|e| format!("{}: {e}", self.log(me).display()))?),
        )
        .await
    }

    /// Ends all nodes in order.
    pub async fn stop(&self) {
        let nodes: Vec<Node> = self
            .nodes
            .borrow_mut()
            .iter_mut()
            .filter_map(Option::take)
            .collect();
        for node in nodes {
            node.stop().await;
        }
    }

    fn befallen(&self, fault: &FaultDescription, of: usize) -> std::ops::Range<usize> {
        0..((of as f64 * fault.part).ceil() as usize).min(of)
    }

    /// Plays one fault from its beginning to its end; the caller has waited until it begins.
    pub async fn fault(self: Rc<Self>, fault: FaultDescription) {
        let span = Duration::from_secs_f64(fault.for_s);
        let all = self.befallen(&fault, self.models.len());
        match fault.what {
            FaultKind::Die => {
                all.clone().for_each(|s| self.end(s));
                tokio::time::sleep(span).await;
                for server in all {
                    self.begin(server).await;
                }
            }
            FaultKind::ColdRestart => {
                all.clone().for_each(|s| self.end(s));
                tokio::time::sleep(RESTART).await;
                for server in all {
                    self.begin(server).await;
                }
            }
            FaultKind::Silent => all.for_each(|s| self.models[s].stall(span)),
            FaultKind::Stall => {
                let mut left = span;
                while !left.is_zero() {
                    let still = Duration::from_secs_f64(fault.size).min(left);
                    all.clone().for_each(|s| self.models[s].stall(still));
                    tokio::time::sleep(STALLS.min(left)).await;
                    left = left.saturating_sub(STALLS);
                }
            }
            FaultKind::FailFast => {
                all.clone().for_each(|s| self.models[s].fail(true));
                tokio::time::sleep(span).await;
                all.for_each(|s| self.models[s].fail(false));
            }
            FaultKind::Slow => {
                all.clone().for_each(|s| self.models[s].slow(fault.size));
                tokio::time::sleep(span).await;
                all.for_each(|s| self.models[s].slow(1.0));
            }
            FaultKind::NoList => {
                self.discovery.silence(true);
                tokio::time::sleep(span).await;
                self.discovery.silence(false);
            }
            FaultKind::NodeKill => {
                let nodes = self.befallen(&fault, self.addrs.len());
                for me in nodes.clone() {
                    let node = self.nodes.borrow_mut()[me].take();
                    if let Some(node) = node {
                        node.kill().await;
                    }
                }
                tokio::time::sleep(span).await;
                for me in nodes {
                    // Another process at the same address.
                    if let Ok(node) = self.node(me, self.addrs[me]).await {
                        self.nodes.borrow_mut()[me] = Some(node);
                    }
                }
            }
            FaultKind::Deploys => {
                let (size, mut from) = (all.len().max(1), 0);
                loop {
                    for server in from.max(size) - size..from.min(self.models.len()) {
                        self.end(server);
                        let own = self.clone();
                        spawn_local(async move {
                            tokio::time::sleep(RESTART).await;
                            own.begin(server).await;
                        });
                    }
                    if from >= self.models.len() {
                        return;
                    }
                    for server in from..(from + size).min(self.models.len()) {
                        self.discovery.set(server, "draining", None);
                    }
                    from += size;
                    tokio::time::sleep(Duration::from_secs_f64(fault.size)).await;
                }
            }
            // The load's own, and what is refused at the start.
            FaultKind::Burst | FaultKind::ZoneCut | FaultKind::LateReports => {}
        }
    }

    fn end(self: &Rc<Self>, server: usize) {
        self.models[server].end();
        let (own, notice) = (
            self.clone(),
            Duration::from_millis(self.run.fleet.notice_ms),
        );
        spawn_local(async move {
            tokio::time::sleep(notice).await;
            own.discovery.set(server, "removed", None);
        });
    }

    async fn begin(&self, server: usize) {
        // One that was noticed as ended in the meantime is listed again by this.
        if self.models[server].restart().await.is_ok() {
            let notice = Duration::from_millis(self.run.fleet.notice_ms);
            tokio::time::sleep(notice.min(Duration::from_millis(50))).await;
            self.discovery.set(server, "up", Some(unix_ms()));
        }
    }
}
