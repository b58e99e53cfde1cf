//! The coordinator of a rolling restart, for one epoch of the restart lease.

use super::messages::{
    NodeProgress, NodeReport, QueryId, RestartCommand, RestartMessage, RestartOrder,
};
use crate::{Epoch, Micros};
use std::collections::BTreeMap;

/// The denominator of values in parts per million.
const MILLION: Micros = 1_000_000;
/// The multiple of the clock drift by which the coordinator extends `return_after` before it assumes that a node has
/// returned on its own. The clocks of both may deviate in opposite directions, which makes slightly more than twice the
/// drift.
const DRIFT_MARGIN_FACTOR: Micros = 3;

/// The last known state of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NodeState {
    progress: NodeProgress,
    /// When the node last answered or was commanded to leave; the start of the coordinator before the first answer.
    last_contact_at: Micros,
    /// The number of the last query sent to the node; 0 before the first.
    queried_round: u64,
    /// The number of the last query that the node has answered; 0 before the first.
    answered_round: u64,
    /// Since when the node has been out and idle; `None` if it is not.
    idle_since: Option<Micros>,
}

impl NodeState {
    fn has_answered_last_query(&self) -> bool {
        self.answered_round > 0 && self.answered_round == self.queried_round
    }
}

/// Repeated under the same id until the node has answered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeQuery {
    /// The node's name.
    pub node: String,
    /// Always a [`RestartMessage::Query`].
    pub message: RestartMessage,
}

/// A command to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeCommand {
    /// The node's name.
    pub node: String,
    /// The last query that the node has answered.
    pub query: QueryId,
    /// The command to execute.
    pub command: RestartCommand,
}

impl NodeCommand {
    /// The message that carries the command.
    pub fn message(&self) -> RestartMessage {
        RestartMessage::Command {
            query: self.query,
            command: self.command,
        }
    }
}

/// The progress of an order, in numbers of nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestartProgress {
    /// Nodes that have left service and returned.
    pub done: usize,
    /// Nodes that have answered a query and have not been commanded to leave yet.
    pub waiting: usize,
    /// Nodes that have not answered the last query for so long that they have returned on their own if they run.
    pub unreachable: usize,
}

/// The coordinator of one order, for one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartCoordinator {
    epoch: Epoch,
    order: RestartOrder,
    /// The names of the lease servers.
    lease_servers: Vec<String>,
    /// The largest rate error of any clock, in parts per million.
    drift_ppm: u32,
    nodes: BTreeMap<String, NodeState>,
}

impl RestartCoordinator {
    /// Creates a coordinator. Each node counts as out until it has answered or must have returned on its own.
    /// `lease_servers` are node names; `drift_ppm` is the largest rate error of any clock, in parts per million.
    pub fn new(
        epoch: Epoch,
        order: RestartOrder,
        lease_servers: Vec<String>,
        drift_ppm: u32,
        now: Micros,
    ) -> RestartCoordinator {
        let initial_state = NodeState {
            progress: NodeProgress::Out,
            last_contact_at: now,
            queried_round: 0,
            answered_round: 0,
            idle_since: None,
        };
        let names = order.nodes.iter();
        let nodes = names
            .map(|name| (name.clone(), initial_state.clone()))
            .collect();
        RestartCoordinator {
            epoch,
            order,
            lease_servers,
            drift_ppm,
            nodes,
        }
    }

    /// The epoch of the coordinator.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The order of the coordinator.
    pub fn order(&self) -> &RestartOrder {
        &self.order
    }

    /// The next query to each node of the order. A node that has not answered its last query gets the same query again:
    /// a new number would confirm an answer that the coordinator has not received and restart the node's return timer,
    /// and a node whose answers are lost would stay out for longer than the coordinator counts it as out.
    pub fn next_queries(&mut self) -> Vec<NodeQuery> {
        let mut queries = Vec::new();
        for (name, node) in &mut self.nodes {
            if node.answered_round == node.queried_round {
                node.queried_round += 1;
            }
            let query = QueryId {
                epoch: self.epoch,
                round: node.queried_round,
            };
            let order = self.order.id.clone();
            queries.push(NodeQuery {
                node: name.clone(),
                message: RestartMessage::Query { query, order },
            });
        }
        queries
    }

    /// Records a node's report. Reports of another epoch, or older than the last one, are dropped.
    pub fn handle_report(&mut self, node: &str, report: &NodeReport, now: Micros) {
        let Some(known) = self.nodes.get_mut(node) else {
            return;
        };
        if report.query.epoch != self.epoch || report.query.round <= known.answered_round {
            return;
        }
        let is_out_and_idle = report.progress == NodeProgress::Out && report.is_idle;
        let idle_since = if is_out_and_idle {
            known.idle_since.or(Some(now))
        } else {
            None
        };
        *known = NodeState {
            progress: report.progress,
            last_contact_at: now,
            answered_round: report.query.round,
            idle_since,
            ..*known
        };
    }

    /// The number of nodes that are or may be out.
    pub fn out_count(&self, now: Micros) -> usize {
        let nodes = self.nodes.values();
        nodes.filter(|node| self.may_be_out(node, now)).count()
    }

    /// The progress of the order.
    pub fn progress(&self, now: Micros) -> RestartProgress {
        let mut progress = RestartProgress::default();
        for node in self.nodes.values() {
            if node.answered_round > 0 && node.progress == NodeProgress::Done {
                progress.done += 1;
            }
            if node.answered_round > 0 && node.progress == NodeProgress::Waiting {
                progress.waiting += 1;
            }
            if !node.has_answered_last_query() && !self.may_be_out(node, now) {
                progress.unreachable += 1;
            }
        }
        progress
    }

    /// Whether all nodes that have answered the last query are done, and no other node may still be out. False before
    /// the first query.
    pub fn is_finished(&self, now: Micros) -> bool {
        let is_open = |node: &NodeState| {
            if node.has_answered_last_query() {
                node.progress != NodeProgress::Done
            } else {
                self.may_be_out(node, now)
            }
        };
        let has_queried = self.nodes.values().any(|node| node.queried_round > 0);
        has_queried && !self.nodes.values().any(is_open)
    }

    /// The commands to send. The caller must first wait for the answers to the last queries. Each node that is
    /// commanded to leave counts as out until it answers a later query.
    pub fn next_commands(&mut self, now: Micros) -> Vec<NodeCommand> {
        let mut commands = self.return_commands(now);
        while self.out_count(now) < self.order.max_out as usize {
            let Some(name) = self.next_to_leave() else {
                break;
            };
            if let Some(node) = self.nodes.get_mut(&name) {
                // The node's last report states that it is in service, since it was sent before this command.
                node.progress = NodeProgress::Out;
                node.last_contact_at = now;
                node.idle_since = None;
            }
            commands.extend(self.command(&name, RestartCommand::Leave));
        }
        commands
    }

    /// Commands to return for the nodes that have been out and idle for long enough.
    fn return_commands(&self, now: Micros) -> Vec<NodeCommand> {
        let mut commands = Vec::new();
        for (name, node) in &self.nodes {
            let has_stayed_out = node
                .idle_since
                .is_some_and(|since| now >= since.saturating_add(self.order.stay_out));
            let is_out = node.has_answered_last_query() && node.progress == NodeProgress::Out;
            if is_out && has_stayed_out {
                commands.extend(self.command(name, RestartCommand::Return));
            }
        }
        commands
    }

    /// The node that leaves next, if any may leave. Lease servers leave last, to keep the number of changes among them
    /// low.
    fn next_to_leave(&self) -> Option<String> {
        let majority = self.lease_servers.len() / 2 + 1;
        let may_take_lease_server = self.serving_lease_servers() > majority;
        let mut next: Option<(bool, &String)> = None;
        for (name, node) in &self.nodes {
            let is_lease_server = self.lease_servers.contains(name);
            let is_waiting =
                node.has_answered_last_query() && node.progress == NodeProgress::Waiting;
            if !is_waiting || (is_lease_server && !may_take_lease_server) {
                continue;
            }
            let candidate = (is_lease_server, name);
            if next.is_none_or(|best| candidate < best) {
                next = Some(candidate);
            }
        }
        next.map(|(_, name)| name.clone())
    }

    /// The number of lease servers that have answered the last query and are not out.
    fn serving_lease_servers(&self) -> usize {
        let is_serving = |name: &&String| {
            let node = self.nodes.get(*name);
            node.is_some_and(|node| {
                node.has_answered_last_query() && node.progress != NodeProgress::Out
            })
        };
        self.lease_servers.iter().filter(is_serving).count()
    }

    /// Whether a node is out, or has not answered the last query and may not have returned on its own yet.
    fn may_be_out(&self, node: &NodeState, now: Micros) -> bool {
        let return_after = self.order.return_after;
        let drift_margin =
            return_after / MILLION * DRIFT_MARGIN_FACTOR * Micros::from(self.drift_ppm);
        let is_certainly_in = node.has_answered_last_query() && node.progress != NodeProgress::Out;
        !is_certainly_in
            && now
                < node
                    .last_contact_at
                    .saturating_add(return_after + drift_margin)
    }

    /// Creates a command that belongs to the last query that the node has answered.
    fn command(&self, name: &str, command: RestartCommand) -> Option<NodeCommand> {
        let round = self.nodes.get(name)?.answered_round;
        Some(NodeCommand {
            node: name.to_string(),
            query: QueryId {
                epoch: self.epoch,
                round,
            },
            command,
        })
    }
}
