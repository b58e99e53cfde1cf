//! A node's own side of a rolling restart.

use super::messages::{
    NodeProgress, NodeReport, OrderId, QueryId, RestartCommand, RestartMessage, RestartOrder,
};
use super::MAX_NODES;
use crate::Micros;

/// A node's own side of a rolling restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestartParticipant {
    /// The newest order known here.
    order: Option<RestartOrder>,
    progress: NodeProgress,
    is_completed: bool,
    /// The newest query that was answered.
    last_query: QueryId,
    /// When it was answered first.
    last_query_at: Micros,
    /// When the newest answer was given of which the coordinator is known to have heard.
    heard_at: Micros,
}

impl RestartParticipant {
    /// The newest order known here.
    pub fn order(&self) -> Option<&RestartOrder> {
        self.order.as_ref()
    }

    /// The newest order known here, unless it is carried out.
    pub fn open_order(&self) -> Option<&RestartOrder> {
        self.order.as_ref().filter(|_| !self.is_completed)
    }

    /// How far this node is in the order.
    pub fn progress(&self) -> NodeProgress {
        self.progress
    }

    /// Learns of an order. A newer one takes the older one's place; a node that is out stays out.
    pub fn learn_order(&mut self, order: RestartOrder) {
        let known = self.order.as_ref();
        let is_newer = known.is_none_or(|known| known.id < order.id);
        if is_newer && order.nodes.len() <= MAX_NODES {
            self.order = Some(order);
            self.is_completed = false;
            if self.progress == NodeProgress::Done {
                self.progress = NodeProgress::Waiting;
            }
        }
    }

    /// The order of this id is carried out, as the coordinator says.
    pub fn complete_order(&mut self, id: &OrderId) {
        self.is_completed |= self.order.as_ref().is_some_and(|order| order.id == *id);
    }

    /// Answers a coordinator's query; nothing that it sent before the query is carried out any more. `is_idle` says
    /// whether this node has no clients' requests. An older query than the last one is not answered.
    pub fn handle_query(
        &mut self,
        query: QueryId,
        order: &OrderId,
        is_idle: bool,
        now: Micros,
    ) -> Option<RestartMessage> {
        if query < self.last_query {
            return None;
        }
        if query > self.last_query {
            let is_same_coordinator = query.epoch == self.last_query.epoch;
            if is_same_coordinator {
                // It asks anew since it has heard the last answer. How late this query is does not matter.
                self.heard_at = self.last_query_at;
            }
            self.last_query = query;
            self.last_query_at = now;
        }
        let answer = match &self.order {
            Some(known) if known.id == *order => RestartMessage::Report(NodeReport {
                query,
                progress: self.progress,
                is_idle: self.progress == NodeProgress::Out && is_idle,
            }),
            Some(known) if known.id > *order => RestartMessage::Order(known.clone()),
            _ => RestartMessage::RequestOrder,
        };
        Some(answer)
    }

    /// Takes a command; whether to carry it out. The time to come back by itself runs from the answer before it, since a
    /// command may be late; one that comes when that time is over is not carried out.
    pub fn handle_command(&mut self, query: QueryId, command: RestartCommand, now: Micros) -> bool {
        let is_out = self.progress == NodeProgress::Out;
        let leaves = command == RestartCommand::Leave;
        if query != self.last_query || is_out == leaves {
            return false;
        }
        // The command follows the answer, so the coordinator has heard it.
        self.heard_at = self.last_query_at;
        if leaves && self.is_forgotten(now) {
            return false;
        }
        self.progress = match command {
            RestartCommand::Leave => NodeProgress::Out,
            RestartCommand::Return => NodeProgress::Done,
        };
        true
    }

    /// Whether to come back by itself now, since no coordinator was heard of for too long.
    pub fn return_if_timed_out(&mut self, now: Micros) -> bool {
        let returns = self.progress == NodeProgress::Out && self.is_forgotten(now);
        if returns {
            self.progress = NodeProgress::Done;
        }
        returns
    }

    /// Whether the coordinator has heard of this node for the last time so long ago that it counts it as back.
    fn is_forgotten(&self, now: Micros) -> bool {
        let return_after = self.order.as_ref().map_or(0, |order| order.return_after);
        now >= self.heard_at.saturating_add(return_after)
    }
}
