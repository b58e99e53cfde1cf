//! Injects the faults of a run into a fleet on loopback.

use super::LocalFleet;
use crate::emulator::description::{FaultDescription, FaultKind};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;

/// The time after which a stopped server restarts, for faults without a duration.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// A `Stall` fault stalls servers once in each interval of this length.
const STALL_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum time until a started server is on the endpoint list.
const MAX_START_NOTICE: Duration = Duration::from_millis(50);

/// The indexes of the first `fraction` of `count` items, rounded up.
fn affected_indexes(count: usize, fraction: f64) -> Range<usize> {
    0..((count as f64 * fraction).ceil() as usize).min(count)
}

impl LocalFleet {
    /// Injects a fault immediately, whatever its `at_s`, waits for its end and reverts it.
    pub async fn inject_fault(self: Rc<Self>, fault: FaultDescription) {
        let duration = Duration::from_secs_f64(fault.for_s);
        let servers = affected_indexes(self.servers.len(), fault.part);
        match fault.what {
            FaultKind::Die => self.stop_servers_for(servers, duration).await,
            FaultKind::ColdRestart => self.stop_servers_for(servers, RESTART_DELAY).await,
            FaultKind::Silent => self.stall(servers, duration),
            FaultKind::Stall => {
                let stall = Duration::from_secs_f64(fault.size);
                self.stall_repeatedly(servers, stall, duration).await;
            }
            FaultKind::FailFast => {
                self.set_failing(servers.clone(), true);
                tokio::time::sleep(duration).await;
                self.set_failing(servers, false);
            }
            FaultKind::Slow => {
                self.set_slowdown(servers.clone(), fault.size);
                tokio::time::sleep(duration).await;
                self.set_slowdown(servers, 1.0);
            }
            FaultKind::NoList => {
                self.discovery.set_silent(true);
                tokio::time::sleep(duration).await;
                self.discovery.set_silent(false);
            }
            FaultKind::NodeKill => {
                let nodes = affected_indexes(self.node_addresses.len(), fault.part);
                self.stop_nodes_for(nodes, duration).await;
            }
            FaultKind::Deploys => {
                let interval = Duration::from_secs_f64(fault.size);
                self.deploy_in_waves(servers.len().max(1), interval).await;
            }
            // Bursts are injected by the load generator; the other kinds are rejected at the start.
            FaultKind::Burst | FaultKind::ZoneCut | FaultKind::LateReports => {}
        }
    }

    fn stall(&self, servers: Range<usize>, duration: Duration) {
        for server in &self.servers[servers] {
            server.stall(duration);
        }
    }

    async fn stall_repeatedly(&self, servers: Range<usize>, stall: Duration, duration: Duration) {
        let mut remaining = duration;
        while !remaining.is_zero() {
            self.stall(servers.clone(), stall.min(remaining));
            tokio::time::sleep(STALL_INTERVAL.min(remaining)).await;
            remaining = remaining.saturating_sub(STALL_INTERVAL);
        }
    }

    fn set_failing(&self, servers: Range<usize>, is_failing: bool) {
        for server in &self.servers[servers] {
            server.set_failing(is_failing);
        }
    }

    fn set_slowdown(&self, servers: Range<usize>, factor: f64) {
        for server in &self.servers[servers] {
            server.set_slowdown(factor);
        }
    }

    async fn stop_servers_for(self: &Rc<Self>, servers: Range<usize>, duration: Duration) {
        for server in servers.clone() {
            self.stop_server(server);
        }
        tokio::time::sleep(duration).await;
        for server in servers {
            self.start_server(server).await;
        }
    }

    /// Kills nodes, and starts new processes at their addresses after `duration`.
    async fn stop_nodes_for(&self, nodes: Range<usize>, duration: Duration) {
        for index in nodes.clone() {
            if let Some(node) = self.take_node(index) {
                node.kill().await;
            }
        }
        tokio::time::sleep(duration).await;
        for index in nodes {
            let address = self.node_addresses[index];
            // A node that does not start stays down; clients use the others.
            if let Ok(node) = self.start_node(index, address).await {
                self.nodes.borrow_mut()[index] = Some(node);
            }
        }
    }

    /// Drains the servers in waves; each wave is restarted when the next one starts draining.
    async fn deploy_in_waves(self: &Rc<Self>, wave_size: usize, interval: Duration) {
        let server_count = self.servers.len();
        let mut first_server = 0_usize;
        loop {
            let previous_wave =
                first_server.saturating_sub(wave_size)..first_server.min(server_count);
            for server in previous_wave {
                self.restart_server(server);
            }
            if first_server >= server_count {
                return;
            }
            for server in first_server..(first_server + wave_size).min(server_count) {
                self.discovery.set_state(server, "draining", None);
            }
            first_server += wave_size;
            tokio::time::sleep(interval).await;
        }
    }

    fn restart_server(self: &Rc<Self>, server: usize) {
        self.stop_server(server);
        let fleet = self.clone();
        spawn_local(async move {
            tokio::time::sleep(RESTART_DELAY).await;
            fleet.start_server(server).await;
        });
    }

    /// Stops a server. The endpoint list shows the removal after the run's `notice_ms`.
    fn stop_server(self: &Rc<Self>, server: usize) {
        self.servers[server].stop();
        let fleet = self.clone();
        let notice = Duration::from_millis(self.run.fleet.notice_ms);
        spawn_local(async move {
            tokio::time::sleep(notice).await;
            fleet.discovery.set_state(server, "removed", None);
        });
    }

    async fn start_server(&self, server: usize) {
        // Also lists a server again that was removed from the list in the meantime.
        if self.servers[server].restart().await.is_ok() {
            let notice = Duration::from_millis(self.run.fleet.notice_ms);
            tokio::time::sleep(notice.min(MAX_START_NOTICE)).await;
            self.discovery.set_state(server, "up", Some(unix_time_ms()));
        }
    }
}

fn unix_time_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as i64)
}
