//! The states that are explored, and what happens between them.

use crate::lease::client::round::Round;
use crate::lease::client::{ClientState, LeaseClient};
use crate::lease::{LeaseLogRecord, LeaseRequest, LeaseResponse, LeaseServer};
use crate::Epoch;
use std::collections::BTreeSet;

pub(super) const SERVERS: usize = 3;
pub(super) const CLIENTS: usize = 2;

/// What keeps two processes from holding one lease. A model may have one of these taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Safeguard {
    /// The margin for drift in the holding time.
    DriftMargin,
    /// The look at the lease before the act.
    CheckBeforeAct,
    /// The server's write before its answer.
    DurableGrants,
    /// The look at the epoch by what is acted upon.
    EpochFence,
    /// The holding time's count from the request.
    HoldingFromRequest,
    /// The distrust of a log that may be an older one.
    DistrustOfLog,
}

/// How fast each clock runs, in units by tick.
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

/// A message on its way. The variants' order is that in which messages are tried.
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

/// An act under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Act {
    pub(super) epoch: Epoch,
    pub(super) client: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelState {
    pub(super) tick: u64,
    pub(super) servers: Vec<LeaseServer>,
    pub(super) logs: Vec<Vec<LeaseLogRecord>>,
    pub(super) clients: Vec<LeaseClient>,
    /// Messages on their way. One that is never delivered is lost.
    pub(super) network: BTreeSet<Packet>,
    /// The epoch under which a client looked at the lease and has not acted yet.
    pub(super) about_to_act: Vec<Option<Epoch>>,
    pub(super) repeats: u8,
    pub(super) restarts: u8,
    /// The act of the highest epoch.
    pub(super) last_act: Act,
    /// Whether something that must not be has been accepted.
    pub(super) is_violated: bool,
    pub(super) was_held: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Tick,
    ClientTimer(usize),
    CheckLease(usize),
    Act(usize),
    Deliver(Packet),
    Repeat(Packet),
    Restart(usize),
    AskForRecovery(usize),
}

/// The round that a client is in, if any.
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

/// The round that a client is in, if any, to be changed.
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
