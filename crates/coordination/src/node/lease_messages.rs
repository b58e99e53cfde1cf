//! Passes messages between the lease clients and the lease server of this process and those of other nodes.

use super::{CoordinationNode, NodeOutput};
use crate::envelope::MessageBody;
use crate::lease::{LeaseRequest, LeaseResponse, LeaseServerOutput, PeerMessage};
use crate::Micros;
use rand::RngExt;

impl CoordinationNode {
    /// Runs the timers of the lease clients.
    pub(super) fn run_clients(&mut self, now: Micros) -> Vec<NodeOutput> {
        let random = self.rng.random::<u32>().into();
        let mut messages = Vec::new();
        for client in self.clients.values_mut() {
            messages.extend(client.on_timer(now, random));
        }
        let mut outputs = Vec::new();
        for message in messages {
            outputs.extend(self.send_to_lease_servers(&message));
        }
        outputs
    }

    /// Advances the recovery of this node's lease server, if it has one.
    pub(super) fn run_server(&mut self, now: Micros) -> Vec<NodeOutput> {
        let Some(server) = &mut self.server else {
            return Vec::new();
        };
        let record = server.advance(now);
        let request = server.due_recovery_request(now, self.settings.response_timeout);
        let mut outputs = Vec::new();
        if let Some(record) = record {
            outputs.push(server.write(vec![record]));
        }
        if let Some(request) = request {
            outputs.extend(self.send_to_lease_servers(&request));
        }
        outputs
    }

    /// Handles a message to the lease server of this process. Its log records are output first; its responses wait
    /// until they are durable.
    pub(super) fn handle_lease_request(
        &mut self,
        sender: String,
        message: LeaseRequest,
        now: Micros,
    ) -> Vec<NodeOutput> {
        let Some(server) = &mut self.server else {
            return Vec::new();
        };
        let Some(output) = server.handle(now, message) else {
            return Vec::new();
        };
        let LeaseServerOutput {
            log_records,
            response,
            peer_message,
        } = output;
        let mut outputs = Vec::new();
        if !log_records.is_empty() {
            outputs.push(server.write(log_records));
        }
        if let Some(response) = response {
            self.count_response(&response);
            let body = MessageBody::LeaseResponse(response);
            outputs.extend(self.send_once_durable(sender, body));
        }
        if let Some(PeerMessage { server, message }) = peer_message {
            if let Some(recipient) = self.settings.lease_servers.keys().nth(server).cloned() {
                let body = MessageBody::LeaseRequest(message);
                outputs.extend(self.send_once_durable(recipient, body));
            }
        }
        outputs
    }

    fn count_response(&mut self, response: &LeaseResponse) {
        match response {
            LeaseResponse::Granted { .. } => self.counters.granted += 1,
            LeaseResponse::Refused { .. } => self.counters.refused += 1,
        }
    }

    /// Handles the response of a lease server to a lease client of this process.
    pub(super) fn handle_lease_response(
        &mut self,
        sender: &str,
        response: &LeaseResponse,
        now: Micros,
    ) -> Vec<NodeOutput> {
        let server = self.settings.lease_server_index(sender);
        let client = self.clients.get_mut(response.task());
        let (Some(server), Some(client)) = (server, client) else {
            return Vec::new();
        };
        let random = self.rng.random::<u32>().into();
        let messages = client.handle_response(now, server, response, random);
        let mut outputs = Vec::new();
        for message in messages {
            outputs.extend(self.send_to_lease_servers(&message));
        }
        outputs
    }

    /// Sends a response of the lease server, now or once its records are durable.
    fn send_once_durable(&mut self, recipient: String, body: MessageBody) -> Option<NodeOutput> {
        let envelope = self.envelope_to(recipient, body);
        let ready = self.server.as_mut()?.hold_until_durable(envelope)?;
        Some(self.send(ready, None))
    }

    /// Sends a message to every lease server. A recovery request is sent to the other servers only.
    pub(super) fn send_to_lease_servers(&mut self, message: &LeaseRequest) -> Vec<NodeOutput> {
        let skips_local = matches!(message, LeaseRequest::RequestRecovery(_));
        let names: Vec<String> = self.settings.lease_servers.keys().cloned().collect();
        let mut outputs = Vec::new();
        for name in names {
            if skips_local && name == self.settings.name {
                continue;
            }
            let body = MessageBody::LeaseRequest(message.clone());
            outputs.push(self.message_to(name, None, body));
        }
        outputs
    }
}
