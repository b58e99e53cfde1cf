//! Outlier probing at this node: it reports the replicas ejected here, follows the coordinator's verdicts on them, and is
//! the coordinator while it holds the lease. [`poppykeel_coordination::outlier_probing`] makes the decisions; the scheduler
//! decides how to react to a verdict.

use super::CoordinationDriver;
use crate::routing::ReplicaStatus;
use crate::transport::messages::{query, DispatcherMessage, DispatcherQuery, ReplicaAdvice};
use poppykeel_coordination::envelope::MessageBody;
use poppykeel_coordination::outlier_probing::{
    ProbingCoordinator, ProbingMessage, ProbingParticipant, ReplicaHealth, Verdict,
    MAX_REPLICAS_PER_MESSAGE,
};
use poppykeel_coordination::Epoch;
use poppykeel_coordination::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Task name of the lease under which ejected replicas are probed on behalf of all nodes.
pub const LEASE_TASK: &str = "trials";
/// Interval between reports of ejected replicas, and between messages with verdicts.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// A replica that no node has reported as ejected for this time is no longer tracked, in microseconds.
const REPORT_TTL: Micros = 1_500_000;
/// After a replica that was reported healthy has failed here again, verdicts on it are ignored for this time, in
/// microseconds.
const DISTRUST_DURATION: Micros = 10_000_000;

/// Number of verdicts followed, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdviceCounters {
    /// The coordinator probes the replica, so this node's own probes were held back.
    pub(super) held_back: u64,
    /// The replica was found healthy, so this node readmitted it at once.
    pub(super) readmitted: u64,
}

/// This node's state of outlier probing.
#[derive(Default)]
pub(super) struct ProbingDriver {
    participant: RefCell<ProbingParticipant>,
    /// Present while this node holds the lease.
    coordinator: RefCell<Option<ProbingCoordinator>>,
    advice: Cell<AdviceCounters>,
}

impl ProbingDriver {
    pub(super) fn advice(&self) -> AdviceCounters {
        self.advice.get()
    }

    fn count_advice(&self, followed: &[Verdict]) {
        let mut advice = self.advice.get();
        for verdict in followed {
            if verdict.is_healthy {
                advice.readmitted += 1;
            } else {
                advice.held_back += 1;
            }
        }
        self.advice.set(advice);
    }
}

fn to_health(replica: &ReplicaStatus) -> ReplicaHealth {
    ReplicaHealth {
        is_ejected: replica.is_ejected,
        last_success_at: replica.last_success_at,
    }
}

impl CoordinationDriver {
    /// The status of each replica by name; empty if the dispatcher has ended.
    async fn replicas(&self) -> BTreeMap<String, ReplicaStatus> {
        let statuses = query(&self.dispatcher, DispatcherQuery::ReplicaStatuses).await;
        statuses.unwrap_or_default()
    }

    fn send_probing_message(self: &Rc<Self>, recipient: String, message: ProbingMessage) {
        self.send_to(recipient, MessageBody::OutlierProbing(message));
    }

    pub(super) fn handle_probing_message(self: &Rc<Self>, message: ProbingMessage) {
        match message {
            ProbingMessage::Ejected { replicas } => {
                if let Some(coordinator) = &mut *self.probing.coordinator.borrow_mut() {
                    coordinator.handle_report(replicas, self.scheduler_now());
                }
            }
            ProbingMessage::Verdicts { epoch, verdicts } => {
                // The task ends once the dispatcher has received the verdicts.
                spawn_local(self.clone().follow_verdicts(epoch, verdicts));
            }
        }
    }

    async fn follow_verdicts(self: Rc<Self>, epoch: Epoch, verdicts: Vec<Verdict>) {
        let replicas = self.replicas().await;
        let is_ejected = |name: &str| replicas.get(name).is_some_and(|replica| replica.is_ejected);
        let now = self.scheduler_now();
        let followed = self.probing.participant.borrow_mut().handle_verdicts(
            epoch,
            verdicts,
            is_ejected,
            now,
            DISTRUST_DURATION,
        );
        self.probing.count_advice(&followed);
        if followed.is_empty() {
            return;
        }
        let advice = followed
            .into_iter()
            .map(|verdict| ReplicaAdvice {
                replica: verdict.replica,
                is_healthy: verdict.is_healthy,
            })
            .collect();
        // Sending fails only if the dispatcher has ended, and the process with it.
        let _ = self
            .dispatcher
            .send(DispatcherMessage::OutlierAdvice(advice))
            .await;
    }

    /// Reports the replicas ejected here to the coordinator, or acts as the coordinator. Runs until the process ends.
    pub(super) async fn run_outlier_probing(self: Rc<Self>) {
        self.request_lease(LEASE_TASK);
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let replicas = self.replicas().await;
            match self.held_epoch(LEASE_TASK) {
                Some(epoch) => self.send_verdicts(epoch, &replicas),
                None => self.report_ejected(&replicas),
            }
        }
    }

    /// Reports the replicas ejected here to the coordinator, if there are any.
    fn report_ejected(self: &Rc<Self>, replicas: &BTreeMap<String, ReplicaStatus>) {
        self.probing.coordinator.replace(None);
        let ejected: Vec<String> = replicas
            .iter()
            .filter(|(_, replica)| replica.is_ejected)
            .map(|(name, _)| name.clone())
            .take(MAX_REPLICAS_PER_MESSAGE)
            .collect();
        if ejected.is_empty() {
            return;
        }
        let coordinator = self.node.borrow().other_holder(LEASE_TASK);
        if let Some(coordinator) = coordinator {
            let report = ProbingMessage::Ejected { replicas: ejected };
            self.send_probing_message(coordinator, report);
        }
    }

    /// Sends this node's verdicts to the other nodes.
    fn send_verdicts(self: &Rc<Self>, epoch: Epoch, replicas: &BTreeMap<String, ReplicaStatus>) {
        let now = self.scheduler_now();
        let verdicts = {
            let mut current = self.probing.coordinator.borrow_mut();
            let coordinator = match &mut *current {
                Some(coordinator) if coordinator.epoch() == epoch => coordinator,
                other => other.insert(ProbingCoordinator::new(epoch)),
            };
            coordinator.verdicts(|name| replicas.get(name).map(to_health), now, REPORT_TTL)
        };
        let has_verdicts = matches!(
            &verdicts,
            ProbingMessage::Verdicts { verdicts, .. } if !verdicts.is_empty()
        );
        // The lease must be checked immediately before acting: verdicts are sent only under this epoch.
        if has_verdicts && self.held_epoch(LEASE_TASK) == Some(epoch) {
            let peers = self.node.borrow().peers();
            for peer in peers {
                self.send_probing_message(peer.name, verdicts.clone());
            }
        }
    }
}
