//! The lease model: events that may happen to lease servers, clients and the messages between them.

use super::state::{
    current_round_mut, send_to_all_servers, Action, ClockRates, LeaseAction, ModelState, Packet,
    Safeguard, CLIENTS, SERVERS,
};
use crate::lease::client::{ClientState, LeaseClient, LeaseParameters};
use crate::lease::{
    LeaseLogRecord, LeaseRequest, LeaseResponse, LeaseServer, LeaseServerConfig, LeaseServerOutput,
    PeerMessage, RecoveryState,
};
use crate::{Epoch, Incarnation, ProcessId};
use stateright::{Model, Property};
use std::collections::BTreeSet;

/// The rates of a slow and a fast clock, in units per tick. They differ by exactly the maximum that `DRIFT_PPM` allows.
pub(super) const SLOW: u64 = 1;
pub(super) const FAST: u64 = 2;
const DRIFT_PPM: u32 = 333_333;
const LEASE_DURATION: u64 = 4;

/// The bounds and faults of an exploration.
#[derive(Clone, Debug)]
pub(super) struct LeaseModel {
    pub(super) disabled_safeguard: Option<Safeguard>,
    pub(super) ticks: u64,
    /// The number of messages that are delivered twice.
    pub(super) duplicates: u8,
    /// The number of server restarts.
    pub(super) restarts: u8,
    /// Whether servers restart with the log from the initial state.
    pub(super) restarts_with_stale_log: bool,
    pub(super) trusts_log: bool,
    /// The number of rounds that a client may start.
    pub(super) max_rounds: u64,
    pub(super) clock_rates: ClockRates,
    /// Whether the highest epoch known to the second client is one higher than that of the first.
    pub(super) is_second_client_ahead: bool,
}

impl LeaseModel {
    pub(super) fn new(disabled_safeguard: Option<Safeguard>) -> LeaseModel {
        LeaseModel {
            disabled_safeguard,
            ticks: 4,
            duplicates: 0,
            restarts: 0,
            restarts_with_stale_log: false,
            trusts_log: true,
            max_rounds: 2,
            clock_rates: ClockRates::uniform(FAST, SLOW),
            is_second_client_ahead: false,
        }
    }

    pub(super) fn lacks(&self, safeguard: Safeguard) -> bool {
        self.disabled_safeguard == Some(safeguard)
    }

    fn server_config(&self, server: usize) -> LeaseServerConfig {
        let trusts_log = self.trusts_log || self.lacks(Safeguard::LogDistrust);
        // Without recovery requests the index has no effect. Equal indexes let the model treat servers in the same
        // state as interchangeable.
        LeaseServerConfig {
            server_count: SERVERS,
            server_index: if trusts_log { 0 } else { server },
            max_duration: LEASE_DURATION,
            trusts_log,
        }
    }

    fn lease_parameters(&self) -> LeaseParameters {
        let has_no_margin = self.lacks(Safeguard::DriftMargin);
        LeaseParameters {
            server_count: SERVERS,
            duration: LEASE_DURATION,
            drift_ppm: if has_no_margin { 0 } else { DRIFT_PPM },
            response_timeout: 2,
            min_pause: 1,
        }
    }

    fn server_now(&self, state: &ModelState, server: usize) -> u64 {
        state.tick * self.clock_rates.servers[server]
    }

    fn client_now(&self, state: &ModelState, client: usize) -> u64 {
        state.tick * self.clock_rates.clients[client]
    }

    fn held_epoch(&self, state: &ModelState, client: usize) -> Option<Epoch> {
        state.clients[client].held_epoch(self.client_now(state, client))
    }

    /// Whether a client assumes that it holds the lease. Without the check before an action, a client that has ever
    /// held the lease does.
    fn assumes_it_holds(&self, state: &ModelState, client: usize) -> bool {
        if self.lacks(Safeguard::CheckBeforeAction) {
            matches!(state.clients[client].state, ClientState::Held { .. })
        } else {
            self.held_epoch(state, client).is_some()
        }
    }

    fn new_client(&self, index: usize) -> LeaseClient {
        let process = ProcessId {
            node: format!("{index}"),
            incarnation: Incarnation(0),
        };
        let mut client = LeaseClient::new("t", process, self.lease_parameters(), 0);
        if self.is_second_client_ahead {
            client.highest_known_epoch = Epoch(index as u64);
        }
        client
    }

    fn deliver(&self, state: &mut ModelState, packet: &Packet) {
        match packet {
            Packet::ToServer {
                client,
                server,
                message,
            } => self.deliver_to_server(state, *server, Some(*client), message),
            Packet::BetweenServers { server, message } => {
                self.deliver_to_server(state, *server, None, message);
            }
            Packet::ToClient {
                server,
                client,
                response,
            } => self.deliver_to_client(state, *server, *client, response),
        }
    }

    fn deliver_to_client(
        &self,
        state: &mut ModelState,
        server: usize,
        index: usize,
        response: &LeaseResponse,
    ) {
        let now = self.client_now(state, index);
        let client = &mut state.clients[index];
        if self.lacks(Safeguard::HoldingFromRequest) {
            if let Some(round) = current_round_mut(client) {
                round.started_at = now;
            }
        }
        let messages = client.handle_response(now, server, response, 0);
        send_to_all_servers(state, index, &messages);
    }

    fn deliver_to_server(
        &self,
        state: &mut ModelState,
        server: usize,
        client: Option<usize>,
        message: &LeaseRequest,
    ) {
        let now = self.server_now(state, server);
        let LeaseServerOutput {
            log_records,
            response,
            peer_message,
        } = state.servers[server].handle(now, message.clone());
        if !self.lacks(Safeguard::DurableGrants) {
            state.logs[server].extend(log_records);
        }
        if let (Some(client), Some(response)) = (client, response) {
            state.network.insert(Packet::ToClient {
                server,
                client,
                response,
            });
        }
        if let Some(PeerMessage { server, message }) = peer_message {
            state
                .network
                .insert(Packet::BetweenServers { server, message });
        }
    }

    /// The resource rejects epochs lower than the highest it has seen. It must never accept a lower epoch, nor the same
    /// epoch from two clients.
    fn act(&self, state: &mut ModelState, client: usize) -> Option<()> {
        let epoch = state.about_to_act[client].take()?;
        let last = state.last_accepted;
        if epoch >= last.epoch || self.lacks(Safeguard::EpochFence) {
            let is_epoch_reused = epoch == last.epoch && last.client != client;
            state.has_accepted_invalid_action |= epoch < last.epoch || is_epoch_reused;
            state.last_accepted = LeaseAction { epoch, client };
        }
        Some(())
    }

    fn restart(&self, state: &mut ModelState, server: usize) {
        state.restarts -= 1;
        if self.restarts_with_stale_log {
            state.logs[server] = initial_log();
        }
        let incarnation = Incarnation(u64::from(self.restarts - state.restarts));
        let now = self.server_now(state, server);
        let config = self.server_config(server);
        state.servers[server] = LeaseServer::new(config, incarnation, &state.logs[server], now);
    }

    /// Without the check before an action, a client that has ever held the lease prepares an action. A pause between
    /// the check and the action is modelled by leaving `about_to_act` set.
    fn prepare_unchecked_actions(&self, state: &mut ModelState) {
        if !self.lacks(Safeguard::CheckBeforeAction) {
            return;
        }
        for index in 0..CLIENTS {
            let client = &state.clients[index];
            let has_held = matches!(client.state, ClientState::Held { .. });
            let is_idle = state.about_to_act[index].is_none();
            if is_idle && has_held && state.last_accepted.epoch < client.epoch {
                state.about_to_act[index] = Some(client.epoch);
            }
        }
    }

    fn client_actions(&self, state: &ModelState, index: usize, actions: &mut Vec<Action>) {
        let client = &state.clients[index];
        let now = self.client_now(state, index);
        let is_due = client.next_deadline().is_some_and(|at| at <= now);
        if is_due && client.rounds_started < self.max_rounds {
            actions.push(Action::ClientTimer(index));
        }
        if state.about_to_act[index].is_some() {
            actions.push(Action::Act(index));
        } else if let Some(epoch) = self.held_epoch(state, index) {
            let action = LeaseAction {
                epoch,
                client: index,
            };
            if state.last_accepted != action {
                actions.push(Action::CheckLease(index));
            }
        }
    }

    fn apply(&self, last: &ModelState, state: &mut ModelState, action: Action) -> Option<()> {
        match action {
            Action::Tick => state.tick += 1,
            Action::ClientTimer(client) => {
                let now = self.client_now(last, client);
                let messages = state.clients[client].on_timer(now, 0);
                send_to_all_servers(state, client, &messages);
            }
            Action::CheckLease(client) => {
                state.about_to_act[client] = self.held_epoch(last, client);
            }
            Action::Act(client) => self.act(state, client)?,
            Action::Deliver(packet) => {
                state.network.remove(&packet);
                self.deliver(state, &packet);
            }
            Action::Duplicate(packet) => {
                state.duplicates -= 1;
                self.deliver(state, &packet);
            }
            Action::Restart(server) => self.restart(state, server),
            Action::RequestRecovery(server) => {
                let message = last.servers[server].recovery_request()?;
                for other in (0..SERVERS).filter(|other| *other != server) {
                    state.network.insert(Packet::BetweenServers {
                        server: other,
                        message: message.clone(),
                    });
                }
            }
        }
        Some(())
    }
}

/// The log of a server that has completed its recovery and granted nothing since.
fn initial_log() -> Vec<LeaseLogRecord> {
    vec![LeaseLogRecord::RecoveryComplete {
        founders: Vec::new(),
    }]
}

impl Model for LeaseModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let log = initial_log();
        // The servers start in the state `Granting`.
        let server = |index| {
            let config = LeaseServerConfig {
                trusts_log: true,
                ..self.server_config(index)
            };
            LeaseServer::new(config, Incarnation(0), &log, 0)
        };
        vec![ModelState {
            tick: 0,
            servers: (0..SERVERS).map(server).collect(),
            logs: vec![log.clone(); SERVERS],
            clients: (0..CLIENTS).map(|index| self.new_client(index)).collect(),
            network: BTreeSet::new(),
            about_to_act: vec![None; CLIENTS],
            duplicates: self.duplicates,
            restarts: self.restarts,
            last_accepted: LeaseAction {
                epoch: Epoch(0),
                client: 0,
            },
            has_accepted_invalid_action: false,
            was_held: false,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for client in 0..CLIENTS {
            self.client_actions(state, client, actions);
        }
        for packet in &state.network {
            actions.push(Action::Deliver(packet.clone()));
            if state.duplicates > 0 {
                actions.push(Action::Duplicate(packet.clone()));
            }
        }
        for server in 0..SERVERS {
            if state.restarts > 0 {
                actions.push(Action::Restart(server));
            }
            if state.servers[server].recovery_request().is_some() {
                actions.push(Action::RequestRecovery(server));
            }
        }
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = last.clone();
        self.apply(last, &mut state, action)?;
        self.prepare_unchecked_actions(&mut state);
        self.drop_ineffective(&mut state);
        self.sort_servers(&mut state);
        state.was_held |= (0..CLIENTS).any(|client| self.held_epoch(&state, client).is_some());
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "at most one holder",
                |model: &LeaseModel, state: &ModelState| {
                    let holds = |client: &usize| model.assumes_it_holds(state, *client);
                    (0..CLIENTS).filter(holds).count() < 2
                },
            ),
            Property::always("epochs never decrease", |_, state: &ModelState| {
                !state.has_accepted_invalid_action
            }),
            Property::sometimes("a lease is held", |_, state: &ModelState| state.was_held),
            Property::sometimes("both clients have acted", |_, state: &ModelState| {
                let have_all_started = state.clients.iter().all(|client| client.rounds_started > 0);
                state.last_accepted.epoch > Epoch(1) && have_all_started
            }),
            Property::sometimes(
                "a restarted server grants",
                |model: &LeaseModel, state: &ModelState| {
                    let grants =
                        |server: &LeaseServer| *server.recovery_state() == RecoveryState::Granting;
                    model.restarts == 0 || (state.restarts == 0 && state.servers.iter().all(grants))
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &ModelState) -> bool {
        state.tick <= self.ticks
    }
}
