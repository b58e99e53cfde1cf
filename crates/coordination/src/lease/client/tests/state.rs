//! The states of the lease model, and the actions that lead from one to the next.

use crate::lease::client::round::Round;
use crate::lease::client::{ClientState, LeaseClient};
use crate::lease::{LeaseLogRecord, LeaseRequest, LeaseResponse, LeaseServer};
use crate::Epoch;
use std::collections::BTreeSet;

pub(super) const SERVERS: usize = 3;
pub(super) const CLIENTS: usize = 2;

/// The mechanisms that prevent two processes from holding the same lease. A model can disable one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Safeguard {
    /// The holding time is reduced by the drift.
    DriftMargin,
    /// The holder checks the lease before each action.
    CheckBeforeAction,
    /// The server writes a grant to its log before it responds.
    DurableGrants,
    /// The resource rejects lower epochs.
    EpochFence,
    /// The holding time starts when the request is sent, not at the response.
    HoldingFromRequest,
    /// A server with a log that may be stale recovers from the other servers.
    LogDistrust,
}

/// The rate of each clock, in units per tick.
#[derive(Clone, Debug)]
pub(super) struct ClockRates {
    pub(super) servers: [u64; SERVERS],
    pub(super) clients: [u64; CLIENTS],
}

impl ClockRates {
    pub(super) fn uniform(servers: u64, clients: u64) -> ClockRates {
        ClockRates {
            servers: [servers; SERVERS],
            clients: [clients; CLIENTS],
        }
    }
}

/// A message in flight. Messages are explored in the order of the variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Packet {
    ToServer {
        client: usize,
        server: usize,
        message: LeaseRequest,
    },
    ToClient {
        server: usize,
        client: usize,
        response: LeaseResponse,
    },
    BetweenServers {
        server: usize,
        message: LeaseRequest,
    },
}

/// An action under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaseAction {
    pub(super) epoch: Epoch,
    pub(super) client: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelState {
    pub(super) tick: u64,
    pub(super) servers: Vec<LeaseServer>,
    pub(super) logs: Vec<Vec<LeaseLogRecord>>,
    pub(super) clients: Vec<LeaseClient>,
    /// Messages in flight. A message that is never delivered is lost.
    pub(super) network: BTreeSet<Packet>,
    /// For each client, the epoch that it has checked but not acted under yet.
    pub(super) about_to_act: Vec<Option<Epoch>>,
    /// Duplicate deliveries left.
    pub(super) duplicates: u8,
    /// Server restarts left.
    pub(super) restarts: u8,
    /// The last action that the resource accepted.
    pub(super) last_accepted: LeaseAction,
    /// Whether the resource has accepted a lower epoch, or one epoch from two clients.
    pub(super) has_accepted_invalid_action: bool,
    pub(super) was_held: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Tick,
    ClientTimer(usize),
    CheckLease(usize),
    Act(usize),
    Deliver(Packet),
    Duplicate(Packet),
    Restart(usize),
    RequestRecovery(usize),
}

/// A client's round in progress, if any.
pub(super) fn current_round(client: &LeaseClient) -> Option<&Round> {
    match &client.state {
        ClientState::Acquiring(round)
        | ClientState::Held {
            renewal: Some(round),
            ..
        } => Some(round),
        _ => None,
    }
}

pub(super) fn current_round_mut(client: &mut LeaseClient) -> Option<&mut Round> {
    match &mut client.state {
        ClientState::Acquiring(round)
        | ClientState::Held {
            renewal: Some(round),
            ..
        } => Some(round),
        _ => None,
    }
}

/// Sends messages of a client to every server.
pub(super) fn send_to_all_servers(
    state: &mut ModelState,
    client: usize,
    messages: &[LeaseRequest],
) {
    for message in messages {
        for server in 0..SERVERS {
            state.network.insert(Packet::ToServer {
                client,
                server,
                message: message.clone(),
            });
        }
    }
}
