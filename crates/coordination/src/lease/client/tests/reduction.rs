//! Makes states that differ in nothing that matters one, so that fewer are explored.

use super::model::LeaseModel;
use super::state::{current_round, current_round_mut, ModelState, Packet, Safeguard, SERVERS};
use crate::lease::{LeaseClient, LeaseRequest, LeaseResponse, LeaseServer};
use crate::Epoch;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What a message to or from a server is about, and the client at its other end.
type ServerMessage<'state> = (
    usize,
    Option<&'state LeaseRequest>,
    Option<&'state LeaseResponse>,
);

impl LeaseModel {
    /// Takes away what can have no effect any more: messages that would be ignored, what is only shown, and what only
    /// makes pauses longer.
    pub(super) fn drop_ineffective(&self, state: &mut ModelState) {
        let clients = &state.clients;
        let servers = &state.servers;
        state
            .network
            .retain(|packet| has_effect(packet, clients, servers));
        for client in &mut state.clients {
            client.other_holder = None;
            client.lost_rounds = 0;
            if client.highest_known_epoch <= client.epoch {
                client.highest_known_epoch = Epoch(0);
            }
        }
    }

    /// Puts servers in an order that depends on nothing but what they and their messages are.
    pub(super) fn sort_servers(&self, state: &mut ModelState) {
        if !self.trusts_log && !self.lacks(Safeguard::DistrustOfLog) {
            return;
        }
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.sort_by_cached_key(|server| sorting_key(state, *server));
        let place_of = |server: usize| {
            let place = order.iter().position(|other| *other == server);
            place.unwrap_or(server)
        };
        let in_order = order.iter();
        state.servers = in_order
            .clone()
            .map(|server| state.servers[*server].clone())
            .collect();
        state.logs = in_order.map(|server| state.logs[*server].clone()).collect();
        state.network = std::mem::take(&mut state.network)
            .into_iter()
            .map(|packet| move_packet(packet, place_of))
            .collect();
        for client in &mut state.clients {
            move_answers(client, place_of);
        }
    }
}

/// Whether a message could still change something.
fn has_effect(packet: &Packet, clients: &[LeaseClient], servers: &[LeaseServer]) -> bool {
    match packet {
        Packet::ToClient {
            client, response, ..
        } => answer_has_effect(&clients[*client], response),
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

fn answer_has_effect(client: &LeaseClient, response: &LeaseResponse) -> bool {
    let current = current_round(client).map_or(0, |round| round.number);
    match response {
        LeaseResponse::Granted { round, .. } => *round == current,
        LeaseResponse::Refused { round, epoch, .. } => {
            *round == current || *epoch > client.highest_known_epoch.max(client.epoch)
        }
    }
}

/// A key that depends on nothing but what a server, its log and its messages are.
fn sorting_key(state: &ModelState, server: usize) -> u64 {
    let messages: Vec<ServerMessage<'_>> = state
        .network
        .iter()
        .filter_map(|packet| message_of(packet, server))
        .collect();
    let mut answers: Vec<(bool, bool)> = Vec::new();
    for round in state.clients.iter().filter_map(current_round) {
        let has_granted = round.granted.contains_key(&server);
        answers.push((has_granted, round.refused.contains(&server)));
    }
    let mut hasher = DefaultHasher::new();
    (
        &state.servers[server],
        &state.logs[server],
        messages,
        answers,
    )
        .hash(&mut hasher);
    hasher.finish()
}

/// A message between a client and this server.
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

fn move_packet(packet: Packet, place_of: impl Fn(usize) -> usize) -> Packet {
    match packet {
        Packet::ToServer {
            client,
            server,
            message,
        } => Packet::ToServer {
            client,
            server: place_of(server),
            message,
        },
        Packet::ToClient {
            server,
            client,
            response,
        } => Packet::ToClient {
            server: place_of(server),
            client,
            response,
        },
        between @ Packet::BetweenServers { .. } => between,
    }
}

fn move_answers(client: &mut LeaseClient, place_of: impl Fn(usize) -> usize) {
    let Some(round) = current_round_mut(client) else {
        return;
    };
    let granted = std::mem::take(&mut round.granted);
    for (server, grantor) in granted {
        round.granted.insert(place_of(server), grantor);
    }
    let refused: BTreeSet<usize> = round.refused.iter().copied().map(place_of).collect();
    round.refused = refused;
}
