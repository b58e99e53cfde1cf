//! State-space reduction: maps equivalent states to one representative, so that fewer states are explored.

use super::model::LeaseModel;
use super::state::{current_round, current_round_mut, ModelState, Packet, Safeguard, SERVERS};
use crate::lease::{LeaseClient, LeaseRequest, LeaseResponse, LeaseServer};
use crate::Epoch;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The client and the content of a message between a client and a server.
type ServerMessage<'state> = (
    usize,
    Option<&'state LeaseRequest>,
    Option<&'state LeaseResponse>,
);

impl LeaseModel {
    /// Removes state that can have no effect: messages that would be ignored, fields that are only shown to operators,
    /// and the counter that only lengthens pauses.
    pub(super) fn drop_ineffective(&self, state: &mut ModelState) {
        let clients = &state.clients;
        let servers = &state.servers;
        state
            .network
            .retain(|packet| has_effect(packet, clients, servers));
        for client in &mut state.clients {
            client.other_holder = None;
            client.failed_rounds = 0;
            if client.highest_known_epoch <= client.epoch {
                client.highest_known_epoch = Epoch(0);
            }
        }
    }

    /// Sorts the servers by their state, log and messages, independently of their index.
    pub(super) fn sort_servers(&self, state: &mut ModelState) {
        if !self.trusts_log && !self.lacks(Safeguard::LogDistrust) {
            return;
        }
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.sort_by_cached_key(|server| sorting_key(state, *server));
        let new_index_of = |server: usize| {
            let new_index = order.iter().position(|other| *other == server);
            new_index.unwrap_or(server)
        };
        let in_order = order.iter();
        state.servers = in_order
            .clone()
            .map(|server| state.servers[*server].clone())
            .collect();
        state.logs = in_order.map(|server| state.logs[*server].clone()).collect();
        state.network = std::mem::take(&mut state.network)
            .into_iter()
            .map(|packet| reindex_packet(packet, new_index_of))
            .collect();
        for client in &mut state.clients {
            reindex_responses(client, new_index_of);
        }
    }
}

/// Whether a message could still change a state.
fn has_effect(packet: &Packet, clients: &[LeaseClient], servers: &[LeaseServer]) -> bool {
    match packet {
        Packet::ToClient {
            client, response, ..
        } => response_has_effect(&clients[*client], response),
        Packet::ToServer {
            server,
            message: LeaseRequest::Release { epoch, .. },
            ..
        } => servers[*server].table(0).all(|entry| entry.epoch <= *epoch),
        Packet::BetweenServers {
            server,
            message: LeaseRequest::Recovery(recovery),
        } => match servers[*server].recovery_request() {
            Some(LeaseRequest::RequestRecovery(current)) => {
                current.incarnation == recovery.requester
            }
            _ => false,
        },
        _ => true,
    }
}

fn response_has_effect(client: &LeaseClient, response: &LeaseResponse) -> bool {
    let current = current_round(client).map_or(0, |round| round.number);
    match response {
        LeaseResponse::Granted { round, .. } => *round == current,
        LeaseResponse::Refused { round, epoch, .. } => {
            *round == current || *epoch > client.highest_known_epoch.max(client.epoch)
        }
    }
}

/// A sorting key that depends only on a server's state, log and messages.
fn sorting_key(state: &ModelState, server: usize) -> u64 {
    let messages: Vec<ServerMessage<'_>> = state
        .network
        .iter()
        .filter_map(|packet| message_of(packet, server))
        .collect();
    let mut responses: Vec<(bool, bool)> = Vec::new();
    for round in state.clients.iter().filter_map(current_round) {
        let has_granted = round.granted.contains_key(&server);
        responses.push((has_granted, round.refused.contains(&server)));
    }
    let mut hasher = DefaultHasher::new();
    (
        &state.servers[server],
        &state.logs[server],
        messages,
        responses,
    )
        .hash(&mut hasher);
    hasher.finish()
}

/// The message of a packet between a client and this server; `None` for other packets.
fn message_of(packet: &Packet, of_server: usize) -> Option<ServerMessage<'_>> {
    match packet {
        Packet::ToServer {
            client,
            server,
            message,
        } if *server == of_server => Some((*client, Some(message), None)),
        Packet::ToClient {
            server,
            client,
            response,
        } if *server == of_server => Some((*client, None, Some(response))),
        _ => None,
    }
}

fn reindex_packet(packet: Packet, new_index_of: impl Fn(usize) -> usize) -> Packet {
    match packet {
        Packet::ToServer {
            client,
            server,
            message,
        } => Packet::ToServer {
            client,
            server: new_index_of(server),
            message,
        },
        Packet::ToClient {
            server,
            client,
            response,
        } => Packet::ToClient {
            server: new_index_of(server),
            client,
            response,
        },
        between @ Packet::BetweenServers { .. } => between,
    }
}

fn reindex_responses(client: &mut LeaseClient, new_index_of: impl Fn(usize) -> usize) {
    let Some(round) = current_round_mut(client) else {
        return;
    };
    let granted = std::mem::take(&mut round.granted);
    for (server, grantor) in granted {
        round.granted.insert(new_index_of(server), grantor);
    }
    let refused: BTreeSet<usize> = round.refused.iter().copied().map(new_index_of).collect();
    round.refused = refused;
}
