//! The endpoint list as nodes receive it: the full list when they start, then changes with a delay.

use super::super::node::replica_id;
use super::super::time::MICROS_PER_MS;
use super::event::Event;
use super::Simulation;
use crate::Micros;
use poppykeel::routing::RouterEvent;
use poppykeel_scheduler::{Endpoint, EndpointState};

impl Simulation<'_> {
    /// Sends the full list to a node, without delay.
    pub(super) fn send_full_list(&mut self, node: usize) {
        let now = self.queue.now();
        let mut endpoints = Vec::with_capacity(self.servers.len());
        for (index, server) in self.servers.iter().enumerate() {
            if server.listed_state != EndpointState::Removed {
                endpoints.push(self.endpoint(index, server.listed_state, server.started_at));
            }
        }
        for (index, server) in self.servers.iter().enumerate() {
            let known_since = &mut self.nodes[node].drain_known_since[index];
            // A node knows of a drain from its first notice until the server is no longer listed as draining.
            *known_since = if server.listed_state == EndpointState::Draining {
                Some(known_since.unwrap_or(now))
            } else {
                None
            };
        }
        let generation = self.nodes[node].generation;
        self.deliver_to_node(
            now,
            node,
            generation,
            RouterEvent::EndpointsReplaced(endpoints),
        );
    }

    /// Changes the state of a server on the list. Nodes are notified after the delay of the list.
    pub(super) fn set_listed_state(&mut self, now: Micros, server: usize, state: EndpointState) {
        self.servers[server].listed_state = state;
        if self.is_endpoint_list_frozen {
            return;
        }
        let at = now + self.run.fleet.list_ms * MICROS_PER_MS;
        let started_at = self.servers[server].started_at;
        for (node, process) in self.nodes.iter().enumerate() {
            if !process.is_up {
                continue;
            }
            let changed = Event::EndpointChanged {
                node,
                generation: process.generation,
                server,
                state,
                started_at,
            };
            self.queue.schedule(at, changed);
        }
    }

    /// Notifies a node of a change of the list.
    pub(super) fn on_endpoint_changed(
        &mut self,
        now: Micros,
        node: usize,
        generation: u32,
        server: usize,
        state: EndpointState,
        started_at: Option<Micros>,
    ) {
        if self.nodes[node].generation == generation {
            let is_draining = state == EndpointState::Draining;
            self.nodes[node].drain_known_since[server] = is_draining.then_some(now);
        }
        let changes = vec![self.endpoint(server, state, started_at)];
        self.deliver_to_node(
            now,
            node,
            generation,
            RouterEvent::EndpointsChanged(changes),
        );
    }

    fn endpoint(
        &self,
        server: usize,
        state: EndpointState,
        started_at: Option<Micros>,
    ) -> Endpoint {
        Endpoint {
            id: replica_id(server),
            zone: self.servers[server].zone,
            cell: 0,
            host_type: 0,
            state,
            capacity_weight: Some(1.0),
            started_at: started_at.map(|started_at| started_at as f64 / 1e6),
        }
    }
}
