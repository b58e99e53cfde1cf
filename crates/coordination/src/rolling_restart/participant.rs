//! A node as a participant in rolling restarts: answers queries, and decides which commands to execute.

use super::messages::{
    NodeProgress, NodeReport, OrderId, QueryId, RestartCommand, RestartMessage, RestartOrder,
};
use super::MAX_NODES;
use crate::Micros;

/// The newest restart order that this node knows, and the node's progress in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestartParticipant {
    /// The newest known order.
    order: Option<RestartOrder>,
    progress: NodeProgress,
    is_completed: bool,
    /// The newest query that was answered.
    last_query: QueryId,
    /// When that query was first answered.
    last_query_at: Micros,
    /// When the newest answer was sent that the coordinator is known to have received.
    last_confirmed_answer_at: Micros,
}

impl RestartParticipant {
    /// The newest known order; `None` if there was none since the start.
    pub fn order(&self) -> Option<&RestartOrder> {
        self.order.as_ref()
    }

    /// The newest known order, unless it is completed.
    pub fn open_order(&self) -> Option<&RestartOrder> {
        self.order.as_ref().filter(|_| !self.is_completed)
    }

    /// The node's progress in the newest known order.
    pub fn progress(&self) -> NodeProgress {
        self.progress
    }

    /// Records an order if it is newer than the known one. A node that is out stays out.
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

    /// Marks the order with this id as completed.
    pub fn complete_order(&mut self, id: &OrderId) {
        self.is_completed |= self.order.as_ref().is_some_and(|order| order.id == *id);
    }

    /// Answers a coordinator's query; commands that belong to earlier queries are dropped from then on. `is_idle`
    /// states whether this node has no client requests in progress. Returns `None` for a query older than the last one.
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
                // A new query number confirms the previous answer, however late this query is.
                self.last_confirmed_answer_at = self.last_query_at;
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

    /// Handles a command and returns whether to execute it. The time until the node returns on its own starts at its
    /// answer that preceded the command, not at the command, which may be late. If that time is over, a command to
    /// leave is dropped.
    pub fn handle_command(&mut self, query: QueryId, command: RestartCommand, now: Micros) -> bool {
        let is_out = self.progress == NodeProgress::Out;
        let is_leave = command == RestartCommand::Leave;
        if query != self.last_query || is_out == is_leave {
            return false;
        }
        // The coordinator sends commands only to nodes whose last answer it has received.
        self.last_confirmed_answer_at = self.last_query_at;
        if is_leave && self.is_contact_timed_out(now) {
            return false;
        }
        self.progress = match command {
            RestartCommand::Leave => NodeProgress::Out,
            RestartCommand::Return => NodeProgress::Done,
        };
        true
    }

    /// Marks the node as returned if it is out and its last confirmed answer is too old. If this returns true, the
    /// caller must accept clients again.
    pub fn return_if_timed_out(&mut self, now: Micros) -> bool {
        let must_return = self.progress == NodeProgress::Out && self.is_contact_timed_out(now);
        if must_return {
            self.progress = NodeProgress::Done;
        }
        must_return
    }

    /// Whether the last confirmed answer is so old that the coordinator assumes that the node has returned.
    fn is_contact_timed_out(&self, now: Micros) -> bool {
        let return_after = self.order.as_ref().map_or(0, |order| order.return_after);
        now >= self.last_confirmed_answer_at.saturating_add(return_after)
    }
}
