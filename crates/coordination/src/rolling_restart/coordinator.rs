//! The coordinator of a rolling restart, under one epoch of its lease.

use super::messages::{
    NodeProgress, NodeReport, QueryId, RestartCommand, RestartMessage, RestartOrder,
};
use crate::{Epoch, Micros};
use std::collections::BTreeMap;

/// Parts in a million.
const MILLION: Micros = 1_000_000;
/// A node's own time to come back is awaited for so many times the stated drift longer.
const DRIFT_MARGIN_FACTOR: Micros = 3;

/// What the coordinator knows of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NodeState {
    progress: NodeProgress,
    /// When the node last answered; before any answer, when the coordinator began.
    heard_at: Micros,
    /// The number of the last query to the node; 0 before any.
    asked_round: u64,
    /// The last query that it answered; 0 before any.
    heard_round: u64,
    /// Since when it is out and idle.
    idle_since: Option<Micros>,
}

impl NodeState {
    /// Whether the node has answered the last query.
    fn is_heard(&self) -> bool {
        self.heard_round > 0 && self.heard_round == self.asked_round
    }
}

/// A query to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeQuery {
    /// The node's name.
    pub node: String,
    /// The message to it.
    pub message: RestartMessage,
}

/// A message to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeCommand {
    /// The node's name.
    pub node: String,
    /// The query that the command belongs to.
    pub query: QueryId,
    /// What the node is to do.
    pub command: RestartCommand,
}

impl NodeCommand {
    /// The message that carries it.
    pub fn message(&self) -> RestartMessage {
        RestartMessage::Command {
            query: self.query,
            command: self.command,
        }
    }
}

/// How far an order has come, in numbers of nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestartProgress {
    /// Have been out and are back.
    pub done: usize,
    /// Their turn has not come.
    pub waiting: usize,
    /// Are not heard of, and must have come back by themselves if they run.
    pub unreachable: usize,
}

/// The coordinator of one order, under one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartCoordinator {
    epoch: Epoch,
    order: RestartOrder,
    /// The names of the lease servers.
    lease_servers: Vec<String>,
    /// How wrong any clock may run, in parts in a million.
    drift_ppm: u32,
    nodes: BTreeMap<String, NodeState>,
}

impl RestartCoordinator {
    /// Begins to coordinate. Until a node has answered it counts as out.
    pub fn new(
        epoch: Epoch,
        order: RestartOrder,
        lease_servers: Vec<String>,
        drift_ppm: u32,
        now: Micros,
    ) -> RestartCoordinator {
        let unheard = NodeState {
            progress: NodeProgress::Out,
            heard_at: now,
            asked_round: 0,
            heard_round: 0,
            idle_since: None,
        };
        let names = order.nodes.iter();
        let nodes = names.map(|name| (name.clone(), unheard.clone())).collect();
        RestartCoordinator {
            epoch,
            order,
            lease_servers,
            drift_ppm,
            nodes,
        }
    }

    /// The epoch under which it coordinates.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The order that it coordinates.
    pub fn order(&self) -> &RestartOrder {
        &self.order
    }

    /// The next query to each node of the order. A node that has not answered its last query gets the same one again: a
    /// new number tells it that its last answer was heard, and only then does its time to come back start anew. Were it to
    /// start with each query, a node whose answers are lost would stay out for longer than it is counted as out.
    pub fn next_queries(&mut self) -> Vec<NodeQuery> {
        let mut queries = Vec::new();
        for (name, node) in &mut self.nodes {
            if node.heard_round == node.asked_round {
                node.asked_round += 1;
            }
            let query = QueryId {
                epoch: self.epoch,
                round: node.asked_round,
            };
            let order = self.order.id.clone();
            queries.push(NodeQuery {
                node: name.clone(),
                message: RestartMessage::Query { query, order },
            });
        }
        queries
    }

    /// Takes a node's answer.
    pub fn handle_report(&mut self, node: &str, report: &NodeReport, now: Micros) {
        let Some(known) = self.nodes.get_mut(node) else {
            return;
        };
        if report.query.epoch != self.epoch || report.query.round <= known.heard_round {
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
            heard_at: now,
            heard_round: report.query.round,
            idle_since,
            ..*known
        };
    }

    /// How many nodes are out, or may be.
    pub fn out_count(&self, now: Micros) -> usize {
        let nodes = self.nodes.values();
        nodes.filter(|node| self.may_be_out(node, now)).count()
    }

    /// How far the order has come.
    pub fn progress(&self, now: Micros) -> RestartProgress {
        let mut progress = RestartProgress::default();
        for node in self.nodes.values() {
            if node.heard_round > 0 && node.progress == NodeProgress::Done {
                progress.done += 1;
            }
            if node.heard_round > 0 && node.progress == NodeProgress::Waiting {
                progress.waiting += 1;
            }
            if !node.is_heard() && !self.may_be_out(node, now) {
                progress.unreachable += 1;
            }
        }
        progress
    }

    /// Whether no node waits or is out any more, as far as any is heard of.
    pub fn is_finished(&self, now: Micros) -> bool {
        let is_open = |node: &NodeState| {
            if node.is_heard() {
                node.progress != NodeProgress::Done
            } else {
                self.may_be_out(node, now)
            }
        };
        let has_asked = self.nodes.values().any(|node| node.asked_round > 0);
        has_asked && !self.nodes.values().any(is_open)
    }

    /// Which nodes to tell what. To be called once the answers to the last query have had time; each node that is told
    /// to leave counts as out until it answers a later query.
    pub fn next_commands(&mut self, now: Micros) -> Vec<NodeCommand> {
        let mut commands = self.return_commands(now);
        while self.out_count(now) < self.order.max_out as usize {
            let Some(name) = self.next_to_leave() else {
                break;
            };
            if let Some(node) = self.nodes.get_mut(&name) {
                // Whatever it answered to this query is from before.
                node.progress = NodeProgress::Out;
                node.heard_at = now;
                node.idle_since = None;
            }
            commands.extend(self.command(&name, RestartCommand::Leave));
        }
        commands
    }

    /// Commands to the nodes that have been out and idle for long enough.
    fn return_commands(&self, now: Micros) -> Vec<NodeCommand> {
        let mut commands = Vec::new();
        for (name, node) in &self.nodes {
            let has_stayed_out = node
                .idle_since
                .is_some_and(|since| now >= since.saturating_add(self.order.stay_out));
            let is_out = node.is_heard() && node.progress == NodeProgress::Out;
            if is_out && has_stayed_out {
                commands.extend(self.command(name, RestartCommand::Return));
            }
        }
        commands
    }

    /// The node that leaves next, if one may. Lease servers go last: the fewer changes among them, the better.
    fn next_to_leave(&self) -> Option<String> {
        let majority = self.lease_servers.len() / 2 + 1;
        let may_take_lease_server = self.serving_lease_servers() > majority;
        let mut next: Option<(bool, &String)> = None;
        for (name, node) in &self.nodes {
            let is_lease_server = self.lease_servers.contains(name);
            let waits = node.is_heard() && node.progress == NodeProgress::Waiting;
            if !waits || (is_lease_server && !may_take_lease_server) {
                continue;
            }
            let candidate = (is_lease_server, name);
            if next.is_none_or(|best| candidate < best) {
                next = Some(candidate);
            }
        }
        next.map(|(_, name)| name.clone())
    }

    /// How many lease servers have answered the last query and are not out.
    fn serving_lease_servers(&self) -> usize {
        let is_serving = |name: &&String| {
            let node = self.nodes.get(*name);
            node.is_some_and(|node| node.is_heard() && node.progress != NodeProgress::Out)
        };
        self.lease_servers.iter().filter(is_serving).count()
    }

    /// Whether a node is out, or was not heard of since the last query and has not yet come back by itself for sure.
    fn may_be_out(&self, node: &NodeState, now: Micros) -> bool {
        let return_after = self.order.return_after;
        let drift_margin =
            return_after / MILLION * DRIFT_MARGIN_FACTOR * Micros::from(self.drift_ppm);
        let is_certainly_in = node.is_heard() && node.progress != NodeProgress::Out;
        !is_certainly_in && now < node.heard_at.saturating_add(return_after + drift_margin)
    }

    /// A command to a node that has answered its last query.
    fn command(&self, name: &str, command: RestartCommand) -> Option<NodeCommand> {
        let round = self.nodes.get(name)?.heard_round;
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
