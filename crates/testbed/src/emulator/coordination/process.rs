//! One process of an emulated node: the project's own state machines for leases and budgets.

use super::{node_name, ProcessNumber};
use crate::Micros;
use poppykeel::transport::coordination::budgets::LEASE_TASK;
use poppykeel_coordination::budget::{BudgetParticipant, BudgetSettings, CumulativeDemand};
use poppykeel_coordination::envelope::{Envelope, MessageBody};
use poppykeel_coordination::lease::LeaseLogRecord;
use poppykeel_coordination::node::{CoordinationNode, NodeOutput, NodeSettings};
use poppykeel_coordination::Incarnation;
use std::collections::BTreeMap;

/// The state machines of a running process.
pub(super) struct CoordinationProcess {
    number: ProcessNumber,
    node: CoordinationNode,
    budget: BudgetParticipant,
    /// The time of the timer that was scheduled last; `None` before the first one.
    scheduled_timer: Option<Micros>,
}

impl CoordinationProcess {
    /// Starts a process with the lease log of the node's earlier processes, and requests the lease.
    pub(super) fn start(
        now: Micros,
        number: ProcessNumber,
        settings: NodeSettings,
        budget_settings: BudgetSettings,
        log: &[LeaseLogRecord],
    ) -> Self {
        let mut node = CoordinationNode::new(settings, Incarnation(number), Some(log), now);
        node.request_lease(LEASE_TASK, now);
        let budget = BudgetParticipant::new(node.process_id(), budget_settings);
        CoordinationProcess {
            number,
            node,
            budget,
            scheduled_timer: None,
        }
    }

    pub(super) fn number(&self) -> ProcessNumber {
        self.number
    }

    pub(super) fn budget(&self) -> &BudgetParticipant {
        &self.budget
    }

    pub(super) fn holds_lease(&self, now: Micros) -> bool {
        self.node.held_epoch(LEASE_TASK, now).is_some()
    }

    pub(super) fn on_log_written(&mut self, write: u64) -> Vec<NodeOutput> {
        self.node.on_log_written(write)
    }

    pub(super) fn handle_message(&mut self, now: Micros, envelope: Envelope) -> Vec<NodeOutput> {
        let epoch = self.node.held_epoch(LEASE_TASK, now);
        self.node.remember_sender(&envelope);
        if !matches!(envelope.body, MessageBody::Budget(_)) {
            return self.node.handle_envelope(envelope, now);
        }
        let Envelope { sender, body, .. } = envelope;
        let MessageBody::Budget(message) = body else {
            return Vec::new();
        };
        let Some(response) = self.budget.handle_message(message, epoch, now) else {
            return Vec::new();
        };
        let body = MessageBody::Budget(response);
        vec![self.node.message_to(sender.node, None, body)]
    }

    /// Requests a budget grant from the lease holder, which may be this node. Sends nothing if no holder is known.
    pub(super) fn request_budget(
        &mut self,
        now: Micros,
        node_index: usize,
        demand: BTreeMap<String, CumulativeDemand>,
    ) -> Vec<NodeOutput> {
        let epoch = self.node.held_epoch(LEASE_TASK, now);
        let request = self.budget.next_request(demand, epoch, now);
        let holder = if epoch.is_some() {
            Some(node_name(node_index))
        } else {
            self.node.other_holder(LEASE_TASK)
        };
        let Some(holder) = holder else {
            return Vec::new();
        };
        let body = MessageBody::Budget(request);
        vec![self.node.message_to(holder, None, body)]
    }

    pub(super) fn run_due_timers(&mut self, now: Micros) -> Vec<NodeOutput> {
        let is_due = self.node.next_deadline().is_some_and(|due| due <= now);
        if is_due {
            self.node.on_timer(now)
        } else {
            Vec::new()
        }
    }

    /// Returns the time for which the caller must schedule a timer; `None` if none is needed or one that is early enough
    /// is already scheduled.
    pub(super) fn take_unscheduled_timer(&mut self, now: Micros) -> Option<Micros> {
        let due = self.node.next_deadline()?;
        let is_scheduled = self
            .scheduled_timer
            .is_some_and(|scheduled_timer| scheduled_timer > now && scheduled_timer <= due);
        if is_scheduled {
            return None;
        }
        self.scheduled_timer = Some(due);
        Some(due)
    }
}
