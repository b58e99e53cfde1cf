//! Injects one fault and heals it: afterwards all nodes and links work again.

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
/// The metric line with which a lease server reports a failed disk.
const DISK_FAILED_METRIC: &str = "app_fleet_keeper_disk_failed 1";

/// The nodes that a fault may affect, and its duration.
#[derive(Clone, Copy)]
struct FaultTargets {
    /// The node that holds the lease.
    holder: usize,
    /// The lease server that was drawn.
    lease_server: usize,
    /// The node that was drawn.
    node: usize,
    duration: Duration,
}

impl TestFleet {
    /// Injects a fault, waits for its end and heals it. `holder` is the node that holds the lease.
    pub(in super::super) async fn inject(
        &self,
        fault: &InjectedFault,
        holder: usize,
    ) -> Result<(), FaultInjectionError> {
        self.history
            .add("fault", &json!({"fault": fault, "holder": holder}));
        let targets = FaultTargets {
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
            | InjectedFaultKind::Rolling => self.inject_process_fault(fault.kind, targets).await?,
            InjectedFaultKind::CutOneWay
            | InjectedFaultKind::CutHolder
            | InjectedFaultKind::Split
            | InjectedFaultKind::DegradedLinks => self.inject_link_fault(fault, targets).await,
            InjectedFaultKind::OldDisk | InjectedFaultKind::EmptyDisk => {
                self.replace_disk(fault.kind, targets).await?;
            }
            InjectedFaultKind::FullDisk | InjectedFaultKind::FailedSync => {
                self.fail_disk(fault.kind, targets).await?;
            }
            InjectedFaultKind::LateAct => self.delay_report_and_kill(holder).await?,
            InjectedFaultKind::StopMidAct => self.stop_during_report(targets).await,
            InjectedFaultKind::NameTwice => {
                let duplicated_node = if fault.size < 0.5 {
                    holder
                } else {
                    targets.node
                };
                let duration = targets.duration.max(self.shape.lease_duration * 2);
                self.run_duplicate(duplicated_node, holder, duration)
                    .await?;
            }
        }
        self.set_link_faults(|_| true, LinkFaults::default());
        self.history.add("healed", &json!({}));
        Ok(())
    }

    /// Injects a fault that ends or stops processes.
    async fn inject_process_fault(
        &self,
        kind: InjectedFaultKind,
        targets: FaultTargets,
    ) -> Result<(), FaultInjectionError> {
        let FaultTargets {
            holder,
            lease_server,
            node,
            duration,
        } = targets;
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
            InjectedFaultKind::Rolling => self.restart_sequentially(duration).await,
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

    /// Injects a fault of the links between nodes.
    async fn inject_link_fault(&self, fault: &InjectedFault, targets: FaultTargets) {
        let lease_servers = self.shape.lease_servers;
        let lease_server = targets.lease_server;
        let holder = targets.holder;
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
        tokio::time::sleep(targets.duration).await;
    }

    /// Kills nodes, and starts those that are still down after `duration`.
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

    /// Suspends a process with SIGSTOP for `duration`.
    async fn stop_for(&self, node: usize, duration: Duration) {
        if let Some(process) = &self.processes.borrow()[node] {
            process.stop();
        }
        tokio::time::sleep(duration).await;
        if let Some(process) = &self.processes.borrow()[node] {
            process.resume();
        }
    }

    /// Shuts down half of the nodes at once and restarts them together; a majority of the lease servers stays up.
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

    /// Shuts down and restarts all nodes, one after the other.
    async fn restart_sequentially(&self, duration: Duration) -> Result<(), FaultInjectionError> {
        for node in 0..self.shape.nodes {
            self.shut_down_node(node).await;
            self.start_node(node)?;
            tokio::time::sleep(duration / self.shape.nodes as u32).await;
        }
        Ok(())
    }

    /// Kills a lease server and restarts it with an old disk or an empty one.
    async fn replace_disk(
        &self,
        kind: InjectedFaultKind,
        targets: FaultTargets,
    ) -> Result<(), FaultInjectionError> {
        let lease_server = targets.lease_server;
        self.kill_node(lease_server).await;
        tokio::time::sleep(targets.duration).await;
        let disk = self.disk(lease_server);
        let replaced = if kind == InjectedFaultKind::OldDisk {
            copy_folder(&backup_of(&disk), &disk)
        } else {
            std::fs::remove_dir_all(&disk)
        };
        replaced.map_err(FaultInjectionError::file(&disk))?;
        self.start_node(lease_server)?;
        // Only one lease server may have lost its state at a time: waits until this one grants leases again.
        tokio::time::sleep(self.shape.lease_duration * 2).await;
        Ok(())
    }

    /// Makes a lease server's disk fail while a new lease has to be granted. Afterwards the disk is repaired and the
    /// lease server restarted, as an operator would do.
    async fn fail_disk(
        &self,
        kind: InjectedFaultKind,
        targets: FaultTargets,
    ) -> Result<(), FaultInjectionError> {
        let FaultTargets {
            holder,
            lease_server,
            duration,
            ..
        } = targets;
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

    /// Delays a report of the holder by three lease durations, and kills the holder in the meantime.
    async fn delay_report_and_kill(&self, holder: usize) -> Result<(), FaultInjectionError> {
        let delay = self.shape.lease_duration * 3;
        self.delay_next_report(holder, delay).await;
        self.kill_for(&[holder], delay).await
    }

    /// Stops the holder while its report is in flight; the report arrives after the holder is resumed.
    async fn stop_during_report(&self, targets: FaultTargets) {
        let lease = self.shape.lease_duration;
        let delay = targets.duration + lease / 2;
        self.delay_next_report(targets.holder, delay).await;
        self.stop_for(targets.holder, targets.duration).await;
        tokio::time::sleep(lease).await;
    }

    /// Delays the reports of a node, and returns once one has been sent and before any response could arrive.
    async fn delay_next_report(&self, node: usize, delay: Duration) {
        let link = &self.report_links[node];
        link.set_faults(LinkFaults::delayed(delay));
        let until_sent = self.shape.report_interval * 3 + self.shape.lease_duration / 10;
        tokio::time::sleep(until_sent).await;
        link.set_faults(LinkFaults::default());
    }
}
