//! Rolling restarts at this node: it receives orders, leaves service and returns on command, and coordinates the restart
//! while it holds the lease. [`poppykeel_coordination::rolling_restart`] makes the decisions.

use super::CoordinationDriver;
use crate::transport::evacuation::{evacuate, rejoin};
use poppykeel_coordination::envelope::MessageBody;
use poppykeel_coordination::rolling_restart::{
    NodeCommand, NodeQuery, NodeReport, OrderId, QueryId, RestartCommand, RestartCoordinator,
    RestartMessage, RestartOrder, RestartParticipant,
};
use poppykeel_coordination::Epoch;
use poppykeel_coordination::Micros;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Task name of the lease under which a rolling restart is coordinated.
pub const LEASE_TASK: &str = "roll";
/// Interval between a round of queries and the commands that follow from the answers, and between those and the next round.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// A node that is out of service returns on its own after this many lease durations without contact with a coordinator, but
/// no earlier than [`MIN_RETURN_AFTER`].
const RETURN_AFTER_LEASES: u64 = 4;
/// A node that is out of service waits at least this long for a coordinator before it returns on its own, in microseconds.
const MIN_RETURN_AFTER: Micros = 2_000_000;

/// This node's state of rolling restarts.
#[derive(Default)]
pub(super) struct RestartDriver {
    participant: RefCell<RestartParticipant>,
    /// Present while this node holds the lease and its newest order has not been completed.
    coordinator: RefCell<Option<RestartCoordinator>>,
}

impl CoordinationDriver {
    /// Orders a rolling restart for an admin call and returns the response text. Each node stays out of service for
    /// `stay_out` microseconds after its clients have left.
    pub fn order_rolling_restart(self: &Rc<Self>, max_out: u32, stay_out: Micros) -> String {
        let order = self.new_order(max_out, stay_out);
        let number = order.id.number;
        let node_count = order.nodes.len();
        let text = format!(
            "roll {number} ordered: {node_count} nodes, at most {} out at once",
            order.max_out
        );
        tracing::info!(
            number,
            nodes = node_count,
            max_out = order.max_out,
            "rolling restart ordered"
        );
        self.send_restart_message_to_all(&order.nodes, &RestartMessage::Order(order.clone()));
        self.restart.participant.borrow_mut().learn_order(order);
        text
    }

    /// Creates an order for all known nodes.
    fn new_order(&self, max_out: u32, stay_out: Micros) -> RestartOrder {
        let participant = self.restart.participant.borrow();
        let last_number = participant.order().map_or(0, |order| order.id.number);
        let own_name = self.settings.node.name.clone();
        let peers = self.node.borrow().peers();
        let mut nodes: Vec<String> = peers.into_iter().map(|peer| peer.name).collect();
        nodes.push(own_name.clone());
        nodes.sort_unstable();
        let lease_duration = self.settings.node.lease_duration;
        RestartOrder {
            id: OrderId {
                number: last_number + 1,
                ordered_at: own_name,
            },
            nodes,
            max_out: max_out.max(1),
            stay_out,
            return_after: (RETURN_AFTER_LEASES * lease_duration).max(MIN_RETURN_AFTER),
        }
    }

    fn send_restart_message_to_all(self: &Rc<Self>, nodes: &[String], message: &RestartMessage) {
        for node in nodes {
            self.send_restart_message(node.clone(), message.clone());
        }
    }

    fn send_restart_message(self: &Rc<Self>, recipient: String, message: RestartMessage) {
        self.send_to(recipient, MessageBody::RollingRestart(message));
    }

    pub(super) fn handle_restart_message(self: &Rc<Self>, sender: String, message: RestartMessage) {
        let participant = &self.restart.participant;
        match message {
            RestartMessage::Order(order) => participant.borrow_mut().learn_order(order),
            RestartMessage::RequestOrder => {
                let order = participant.borrow().order().cloned();
                if let Some(order) = order {
                    self.send_restart_message(sender, RestartMessage::Order(order));
                }
            }
            RestartMessage::Completed(id) => participant.borrow_mut().complete_order(&id),
            RestartMessage::Report(report) => self.handle_node_report(&sender, &report),
            RestartMessage::Command { query, command } => {
                self.handle_restart_command(&sender, query, command);
            }
            RestartMessage::Query { query, order } => self.answer_query(sender, query, order),
        }
    }

    fn handle_node_report(&self, sender: &str, report: &NodeReport) {
        let now = self.clock.now();
        if let Some(coordinator) = &mut *self.restart.coordinator.borrow_mut() {
            coordinator.handle_report(sender, report, now);
        }
    }

    fn handle_restart_command(&self, sender: &str, query: QueryId, command: RestartCommand) {
        let now = self.clock.now();
        let is_current = self
            .restart
            .participant
            .borrow_mut()
            .handle_command(query, command, now);
        if !is_current {
            return;
        }
        tracing::info!(epoch = query.epoch.0, ?command, by = %sender, "rolling restart command received");
        match command {
            RestartCommand::Leave => evacuate(&self.phase),
            RestartCommand::Return => rejoin(&self.phase),
        }
    }

    /// Answers a query once the dispatcher has reported whether requests are in flight. A separate task does so and then
    /// ends.
    fn answer_query(self: &Rc<Self>, sender: String, query: QueryId, order: OrderId) {
        let driver = self.clone();
        spawn_local(async move {
            let metrics = driver.own_metrics().await;
            let is_idle = metrics.is_some_and(|metrics| metrics.active_requests == 0);
            let now = driver.clock.now();
            let answer = driver
                .restart
                .participant
                .borrow_mut()
                .handle_query(query, &order, is_idle, now);
            if let Some(answer) = answer {
                driver.send_restart_message(sender, answer);
            }
        });
    }

    /// Coordinates the newest order until it is completed, while this node holds the lease. Runs until the process ends.
    pub(super) async fn run_rolling_restarts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ROUND_INTERVAL).await;
            self.return_without_coordinator();
            let order = self.restart.participant.borrow().open_order().cloned();
            let Some(order) = order else {
                self.restart.coordinator.replace(None);
                let now = self.clock.now();
                let outputs = self.node.borrow_mut().release_lease(LEASE_TASK, now);
                self.execute_outputs(outputs);
                continue;
            };
            self.request_lease(LEASE_TASK);
            let Some(epoch) = self.held_epoch(LEASE_TASK) else {
                self.restart.coordinator.replace(None);
                continue;
            };
            self.coordinate(epoch, &order).await;
        }
    }

    fn return_without_coordinator(&self) {
        let now = self.clock.now();
        let must_return = self
            .restart
            .participant
            .borrow_mut()
            .return_if_timed_out(now);
        if must_return {
            tracing::warn!("out of service without contact with a rolling restart coordinator; returning to service");
            rejoin(&self.phase);
        }
    }

    /// Queries all nodes of the order, then sends the commands that follow from the answers.
    async fn coordinate(self: &Rc<Self>, epoch: Epoch, order: &RestartOrder) {
        for query in self.next_queries(epoch, order) {
            self.send_restart_message(query.node, query.message);
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
        // The lease must be checked immediately before acting: commands are sent only under this epoch.
        if self.held_epoch(LEASE_TASK) != Some(epoch) {
            return;
        }
        let now = self.clock.now();
        let mut commands: Vec<NodeCommand> = Vec::new();
        let mut is_finished = false;
        if let Some(coordinator) = &mut *self.restart.coordinator.borrow_mut() {
            commands = coordinator.next_commands(now);
            is_finished = coordinator.is_finished(now);
        }
        for command in commands {
            tracing::info!(epoch = epoch.0, node = %command.node, command = ?command.command, "rolling restart command sent");
            let message = command.message();
            self.send_restart_message(command.node, message);
        }
        if is_finished {
            tracing::info!(
                epoch = epoch.0,
                number = order.id.number,
                "rolling restart completed"
            );
            let completed = RestartMessage::Completed(order.id.clone());
            self.send_restart_message_to_all(&order.nodes, &completed);
            self.restart
                .participant
                .borrow_mut()
                .complete_order(&order.id);
        }
    }

    /// The coordinator's next queries. Creates a new coordinator if there is none for this epoch and order.
    fn next_queries(&self, epoch: Epoch, order: &RestartOrder) -> Vec<NodeQuery> {
        let now = self.clock.now();
        let mut current = self.restart.coordinator.borrow_mut();
        match &mut *current {
            Some(coordinator)
                if coordinator.epoch() == epoch && coordinator.order().id == order.id =>
            {
                coordinator.next_queries()
            }
            other => {
                tracing::info!(
                    epoch = epoch.0,
                    number = order.id.number,
                    "coordinating the rolling restart"
                );
                let lease_servers = self.node.borrow().lease_servers().keys().cloned().collect();
                let drift_ppm = self.settings.node.drift_ppm;
                let coordinator =
                    RestartCoordinator::new(epoch, order.clone(), lease_servers, drift_ppm, now);
                other.insert(coordinator).next_queries()
            }
        }
    }

    /// The newest order as shown to operators; `null` if there was none.
    pub(super) fn restart_status(&self) -> Value {
        let participant = self.restart.participant.borrow();
        let Some(order) = participant.order() else {
            return Value::Null;
        };
        let label = if participant.open_order().is_some() {
            participant.progress().label()
        } else {
            "carried out"
        };
        let now = self.clock.now();
        let coordinator = self.restart.coordinator.borrow();
        let coordinator = coordinator.as_ref().map(|coordinator| {
            let progress = coordinator.progress(now);
            json!({
                "out": coordinator.out_count(now),
                "done": progress.done,
                "waiting": progress.waiting,
                "gone": progress.unreachable,
            })
        });
        json!({
            "number": order.id.number,
            "by": order.id.ordered_at,
            "nodes": order.nodes.len(),
            "out": order.max_out,
            "part": label,
            "charge": coordinator,
        })
    }
}
