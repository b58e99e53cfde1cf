//! Coordination of nodes in the simulation: passes events to the state machines and executes their commands. Without
//! coordination in the description nothing happens here.

use super::super::coordination::{CoordinationCommand, CoordinationEvent, ProcessNumber};
use super::event::Event;
use super::Simulation;
use crate::Micros;
use poppykeel_coordination::envelope::Envelope;

/// The process number of events that carry a message, which the node's current process receives. No process has this
/// number.
const ANY_PROCESS: ProcessNumber = 0;

impl Simulation<'_> {
    /// Starts the coordination of a node's new process.
    pub(super) fn start_coordination(&mut self, node: usize) {
        let now = self.queue.now();
        if let Some(coordination) = &mut self.coordination {
            coordination.start_node(now, node, &mut self.coordination_commands);
        }
        self.execute_coordination_commands(now);
    }

    /// Ends the coordination of a node's process.
    pub(super) fn stop_coordination(&mut self, node: usize) {
        if let Some(coordination) = &mut self.coordination {
            coordination.stop_node(node);
        }
    }

    pub(super) fn on_coordination_event(
        &mut self,
        now: Micros,
        node: usize,
        process: ProcessNumber,
        event: CoordinationEvent,
    ) {
        if let Some(coordination) = &mut self.coordination {
            let commands = &mut self.coordination_commands;
            coordination.handle_event(now, &self.nodes[node], node, process, event, commands);
        }
        self.execute_coordination_commands(now);
    }

    pub(super) fn on_check_lease_holders(&mut self, now: Micros) {
        if let Some(coordination) = &mut self.coordination {
            coordination.check_holders(now, &mut self.coordination_commands);
        }
        self.execute_coordination_commands(now);
    }

    fn execute_coordination_commands(&mut self, now: Micros) {
        let mut commands = std::mem::take(&mut self.coordination_commands);
        for command in commands.drain(..) {
            match command {
                CoordinationCommand::Schedule {
                    at,
                    node,
                    process,
                    event,
                } => {
                    let event = Event::Coordination {
                        node,
                        process,
                        event,
                    };
                    self.queue.schedule(at, event);
                }
                CoordinationCommand::ScheduleHolderCheck { at } => {
                    self.queue.schedule(at, Event::CheckLeaseHolders);
                }
                CoordinationCommand::Send { from, to, envelope } => {
                    self.send_envelope(now, from, to, envelope);
                }
                CoordinationCommand::SetBudgetGrants { node, grants } => {
                    self.nodes[node].set_budget_grants(&grants);
                }
            }
        }
        self.coordination_commands = commands;
    }

    /// Sends a message over the network. A message between zones is lost during a partition between them.
    fn send_envelope(&mut self, now: Micros, from: usize, to: usize, envelope: Box<Envelope>) {
        let from_zone = self.nodes[from].zone;
        let to_zone = self.nodes[to].zone;
        if self.is_partitioned_between(from_zone, to_zone) {
            return;
        }
        let latency = if to == from {
            0
        } else {
            self.latency(from_zone, to_zone)
        };
        let arrival = Event::Coordination {
            node: to,
            process: ANY_PROCESS,
            event: CoordinationEvent::Message(envelope),
        };
        self.queue.schedule(now + latency, arrival);
    }
}
