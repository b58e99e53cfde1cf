//! One fault from its beginning to its end, after which the fleet is whole again.

use super::super::admin_client::call;
use super::super::error::FaultInjectionError;
use super::super::injected_fault::{InjectedFault, InjectedFaultKind};
use super::super::link_relay::LinkFaults;
use super::super::node_process::NodeProcess;
use super::{backup_of, copy_folder, Link, TestFleet};
use serde_json::json;
use std::time::Duration;

/// The fraction of datagrams that degraded links duplicate.
const DEGRADED_DUPLICATION: f64 = 0.3;
/// The figure by which a lease server says that its disk has failed.
const DISK_FAILED_METRIC: &str = "app_fleet_keeper_disk_failed 1";

/// A fault with the nodes that it affects.
#[derive(Clone, Copy)]
struct Affected {
    /// The node that holds the lease.
    holder: usize,
    /// The lease server that was drawn.
    lease_server: usize,
    /// The node that was drawn.
    node: usize,
    /// How long the fault lasts.
    duration: Duration,
}

impl TestFleet {
    /// Plays a fault from its beginning to its end; `holder` is the node that holds the lease.
    pub(in super::super) async fn inject(
        &self,
        fault: &InjectedFault,
        holder: usize,
    ) -> Result<(), FaultInjectionError> {
        self.history
            .add("fault", &json!({"fault": fault, "holder": holder}));
        let affected = Affected {
            holder,
            lease_server: fault.whom as usize % self.shape.lease_servers,
            node: fault.whom as usize % self.shape.nodes,
            duration: Duration::from_millis(fault.for_ms),
        };
        match fault.kind {
            InjectedFaultKind::KillHolder
            | InjectedFaultKind::KillNode
            | InjectedFaultKind::KillKeeper
            | InjectedFaultKind::KillBoth
            | InjectedFaultKind::KillKeepers
            | InjectedFaultKind::EndHolder
            | InjectedFaultKind::StopHolder
            | InjectedFaultKind::StopKeeper
            | InjectedFaultKind::HalfLeave
            | InjectedFaultKind::Rolling => self.inject_process_fault(fault.kind, affected).await?,
            InjectedFaultKind::CutOneWay
            | InjectedFaultKind::CutHolder
            | InjectedFaultKind::Split
            | InjectedFaultKind::DegradedLinks => self.inject_link_fault(fault, affected).await,
            InjectedFaultKind::OldDisk | InjectedFaultKind::EmptyDisk => {
                self.lose_disk(fault.kind, affected).await?;
            }
            InjectedFaultKind::FullDisk | InjectedFaultKind::FailedSync => {
                self.fail_disk(fault.kind, affected).await?;
            }
            InjectedFaultKind::LateAct => self.delay_report_and_kill(holder).await?,
            InjectedFaultKind::StopMidAct => self.stop_during_report(affected).await,
            InjectedFaultKind::NameTwice => {
                let twin_of = if fault.size < 0.5 {
                    holder
                } else {
                    affected.node
                };
                let duration = affected.duration.max(self.shape.lease_duration * 2);
                self.run_twin(twin_of, holder, duration).await?;
            }
        }
        self.set_link_faults(|_| true, LinkFaults::default());
        self.history.add("healed", &json!({}));
        Ok(())
    }

    /// Faults that end or stop processes.
    async fn inject_process_fault(
        &self,
        kind: InjectedFaultKind,
        affected: Affected,
    ) -> Result<(), FaultInjectionError> {
        let Affected {
            holder,
            lease_server,
            node,
            duration,
        } = affected;
        match kind {
            InjectedFaultKind::KillHolder => self.kill_for(&[holder], duration).await,
            InjectedFaultKind::KillNode => self.kill_for(&[node], duration).await,
            InjectedFaultKind::KillKeeper => self.kill_for(&[lease_server], duration).await,
            InjectedFaultKind::KillBoth => self.kill_for(&[holder, lease_server], duration).await,
            InjectedFaultKind::KillKeepers => {
                let lease_servers: Vec<usize> = (0..self.shape.lease_servers).collect();
                self.kill_for(&lease_servers, duration).await
            }
            InjectedFaultKind::EndHolder => {
                self.shut_down_node(holder).await;
                tokio::time::sleep(duration).await;
                self.start_node(holder)
            }
            InjectedFaultKind::HalfLeave => self.shut_down_half(duration).await,
            InjectedFaultKind::Rolling => self.restart_in_turn(duration).await,
            InjectedFaultKind::StopKeeper => {
                self.stop_for(lease_server, duration).await;
                Ok(())
            }
            _ => {
                self.stop_for(holder, duration).await;
                Ok(())
            }
        }
    }

    /// Faults of the links between nodes.
    async fn inject_link_fault(&self, fault: &InjectedFault, affected: Affected) {
        let lease_servers = self.shape.lease_servers;
        let lease_server = affected.lease_server;
        let holder = affected.holder;
        match fault.kind {
            InjectedFaultKind::CutOneWay => self.set_link_faults(
                |link| link.from == lease_server && link.to != lease_server,
                LinkFaults::cut(),
            ),
            InjectedFaultKind::CutHolder => self.set_link_faults(
                |link| link.from == holder && link.to < lease_servers,
                LinkFaults::cut(),
            ),
            InjectedFaultKind::Split => {
                let is_first_half = |node: usize| (node as u64 ^ fault.whom) & 1 == 0;
                let is_across = |link: Link| is_first_half(link.from) != is_first_half(link.to);
                self.set_link_faults(is_across, LinkFaults::cut());
            }
            _ => {
                let degraded = LinkFaults {
                    is_cut: false,
                    loss: fault.size / 2.0,
                    duplication: DEGRADED_DUPLICATION,
                    max_delay: self.shape.lease_duration.mul_f64(fault.size),
                };
                self.set_link_faults(|_| true, degraded);
            }
        }
        tokio::time::sleep(affected.duration).await;
    }

    /// Kills nodes, and starts those that are still down after a time.
    pub(super) async fn kill_for(
        &self,
        nodes: &[usize],
        duration: Duration,
    ) -> Result<(), FaultInjectionError> {
        for node in nodes {
            self.kill_node(*node).await;
        }
        tokio::time::sleep(duration).await;
        for node in nodes {
            if self.is_down(*node) {
                self.start_node(*node)?;
            }
        }
        Ok(())
    }

    /// Stops a process without ending it.
    async fn stop_for(&self, node: usize, duration: Duration) {
        if let Some(process) = &self.processes.borrow()[node] {
            process.stop();
        }
        tokio::time::sleep(duration).await;
        if let Some(process) = &self.processes.borrow()[node] {
            process.resume();
        }
    }

    /// Half of the nodes shut down in the same second and start together; a majority of the lease servers stays.
    async fn shut_down_half(&self, duration: Duration) -> Result<(), FaultInjectionError> {
        let first = self.shape.lease_servers / 2;
        let half: Vec<usize> = (first..self.shape.nodes).step_by(2).collect();
        let leaving: Vec<NodeProcess> = half
            .iter()
            .filter_map(|node| self.take_process(*node))
            .collect();
        self.history.add("leave", &json!({"nodes": half}));
        futures_util::future::join_all(leaving.into_iter().map(NodeProcess::shut_down)).await;
        tokio::time::sleep(duration).await;
        for node in half {
            self.start_node(node)?;
        }
        Ok(())
    }

    /// All nodes shut down and start one after the other.
    async fn restart_in_turn(&self, duration: Duration) -> Result<(), FaultInjectionError> {
        for node in 0..self.shape.nodes {
            self.shut_down_node(node).await;
            self.start_node(node)?;
            tokio::time::sleep(duration / self.shape.nodes as u32).await;
        }
        Ok(())
    }

    /// A lease server is killed and comes back with an old disk, or with none.
    async fn lose_disk(
        &self,
        kind: InjectedFaultKind,
        affected: Affected,
    ) -> Result<(), FaultInjectionError> {
        let lease_server = affected.lease_server;
        self.kill_node(lease_server).await;
        tokio::time::sleep(affected.duration).await;
        let disk = self.disk(lease_server);
        let replaced = if kind == InjectedFaultKind::OldDisk {
            copy_folder(&backup_of(&disk), &disk)
        } else {
            std::fs::remove_dir_all(&disk)
        };
        replaced.map_err(FaultInjectionError::file(&disk))?;
        self.start_node(lease_server)?;
        // One memory lost at a time: until it grants again the others keep theirs.
        tokio::time::sleep(self.shape.lease_duration * 2).await;
        Ok(())
    }

    /// A lease server's disk fails while another node has to be granted something; then its disk is mended and it is
    /// started again, as operators do.
    async fn fail_disk(
        &self,
        kind: InjectedFaultKind,
        affected: Affected,
    ) -> Result<(), FaultInjectionError> {
        let Affected {
            holder,
            lease_server,
            duration,
            ..
        } = affected;
        let lease_server = if lease_server == holder {
            (lease_server + 1) % self.shape.lease_servers
        } else {
            lease_server
        };
        let disk_fault = if kind == InjectedFaultKind::FullDisk {
            "full"
        } else {
            "sync"
        };
        let disk_faults = &self.commands[lease_server].disk_faults;
        std::fs::write(disk_faults, disk_fault).map_err(FaultInjectionError::file(disk_faults))?;
        let outage = duration.max(self.shape.lease_duration * 3);
        self.kill_for(&[holder], outage).await?;
        let metrics = call(self.addresses[lease_server].admin, "GET /api/telemetry").await;
        let has_failed = metrics.is_some_and(|metrics| metrics.body.contains(DISK_FAILED_METRIC));
        self.history.add(
            "disk",
            &json!({"keeper": lease_server, "failed": has_failed}),
        );
        if has_failed {
            self.failed_disk_count.set(self.failed_disk_count.get() + 1);
        }
        std::fs::remove_file(disk_faults).map_err(FaultInjectionError::file(disk_faults))?;
        self.kill_for(&[lease_server], Duration::ZERO).await?;
        tokio::time::sleep(self.shape.lease_duration * 2).await;
        Ok(())
    }

    /// A report of the holder arrives three leases late, and the holder is killed meanwhile.
    async fn delay_report_and_kill(&self, holder: usize) -> Result<(), FaultInjectionError> {
        let delay = self.shape.lease_duration * 3;
        self.delay_next_report(holder, delay).await;
        self.kill_for(&[holder], delay).await
    }

    /// The holder is stopped while its report is on the way, which arrives after it goes on.
    async fn stop_during_report(&self, affected: Affected) {
        let lease = self.shape.lease_duration;
        let delay = affected.duration + lease / 2;
        self.delay_next_report(affected.holder, delay).await;
        self.stop_for(affected.holder, affected.duration).await;
        tokio::time::sleep(lease).await;
    }

    /// Delays the reports of a node for long enough that one is on its way, and too short for an answer to any.
    async fn delay_next_report(&self, node: usize, delay: Duration) {
        let link = &self.report_links[node];
        link.set_faults(LinkFaults::delayed(delay));
        let until_sent = self.shape.report_interval * 3 + self.shape.lease_duration / 10;
        tokio::time::sleep(until_sent).await;
        link.set_faults(LinkFaults::default());
    }
}
