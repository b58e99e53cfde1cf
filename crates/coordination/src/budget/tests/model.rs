//! The model that is explored: an allocator, nodes with their granted quotas, and the messages between them.

use crate::budget::{BudgetAllocator, BudgetLimit, BudgetMessage, Demand, GrantId, GrantedQuotas};
use crate::{Epoch, Incarnation, ProcessId};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 2;
/// A slow and a fast clock, in units by tick: as far apart as the drift allows, to the unit.
pub(super) const SLOW: u64 = 1;
pub(super) const FAST: u64 = 2;
pub(super) const DRIFT_PPM: u32 = 333_333;
const GRANT_DURATION: u64 = 4;
const BUDGET: &str = "b";
/// Of 24 with the drift's margin 12 are left, and 10 without the guaranteed rates of both nodes.
pub(super) const LIMIT: BudgetLimit = BudgetLimit {
    rate: 24,
    burst: 0,
    guaranteed_rate: 1,
    guaranteed_burst: 0,
    max_nodes: NODES as u32,
};

/// What keeps the grants within the limit. A model may have one of these taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Safeguard {
    /// A new allocator's wait for the grants of the one before.
    WaitForOldGrants,
    /// The count of a grant until its node has shown a newer one.
    CountUntilShown,
    /// The margin for drift in a grant's duration.
    DriftMargin,
    /// The look at whom a grant is for.
    RequesterCheck,
    /// The account of grants given to a node that has started again.
    AccountOfEarlierProcess,
}

/// How fast each clock runs, in units by tick.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockRates {
    pub(super) allocator: u64,
    pub(super) nodes: u64,
}

/// How far to look.
#[derive(Clone, Debug)]
pub(super) struct BudgetModel {
    pub(super) without: Option<Safeguard>,
    pub(super) ticks: u64,
    /// How many requests each node makes.
    pub(super) requests: u8,
    /// How many messages are delivered twice.
    pub(super) repeats: u8,
    /// How many restarts of nodes there are.
    pub(super) restarts: u8,
    /// How many allocators follow the first one.
    pub(super) successors: u8,
    pub(super) clock_rates: ClockRates,
}

/// A message on its way. The variants' order is that in which messages are tried.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Packet {
    /// From the node of this index.
    ToAllocator(usize, BudgetMessage),
    /// To whatever process has the node's name when it comes.
    ToNode(usize, BudgetMessage),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct NodeProcess {
    incarnation: Incarnation,
    quotas: GrantedQuotas,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelState {
    tick: u64,
    allocator: BudgetAllocator,
    epoch: Epoch,
    nodes: Vec<NodeProcess>,
    /// Messages on their way. One that is never delivered is lost.
    network: BTreeSet<Packet>,
    requests: Vec<u8>,
    repeats: u8,
    restarts: u8,
    successors: u8,
    /// Whether all that is allocatable has been in use.
    was_used_up: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Tick,
    Request(usize),
    Deliver(Packet),
    Repeat(Packet),
    Restart(usize),
    ReplaceAllocator,
}

fn process(node: usize, incarnation: Incarnation) -> ProcessId {
    ProcessId {
        node: format!("{node}"),
        incarnation,
    }
}

fn demands() -> BTreeMap<String, Demand> {
    let demand = Demand {
        rate: 20,
        weight: 1,
    };
    [(BUDGET.to_string(), demand)].into()
}

fn limits() -> BTreeMap<String, BudgetLimit> {
    [(BUDGET.to_string(), LIMIT)].into()
}

impl BudgetModel {
    pub(super) fn new(without: Option<Safeguard>) -> BudgetModel {
        BudgetModel {
            without,
            ticks: 4,
            requests: 3,
            repeats: 0,
            restarts: 0,
            successors: 0,
            clock_rates: ClockRates {
                allocator: FAST,
                nodes: SLOW,
            },
        }
    }

    fn lacks(&self, safeguard: Safeguard) -> bool {
        self.without == Some(safeguard)
    }

    fn node_drift_ppm(&self) -> u32 {
        if self.lacks(Safeguard::DriftMargin) {
            0
        } else {
            DRIFT_PPM
        }
    }

    fn allocator_now(&self, state: &ModelState) -> u64 {
        state.tick * self.clock_rates.allocator
    }

    fn node_now(&self, state: &ModelState) -> u64 {
        state.tick * self.clock_rates.nodes
    }

    /// An allocator that follows another one.
    fn successor(&self, epoch: Epoch, now: u64) -> BudgetAllocator {
        let started_at = if self.lacks(Safeguard::WaitForOldGrants) {
            now.saturating_sub(GRANT_DURATION)
        } else {
            now
        };
        BudgetAllocator::new(epoch, limits(), GRANT_DURATION, DRIFT_PPM, started_at)
    }

    /// A process of a node that has heard of an epoch.
    fn node_process(&self, node: usize, incarnation: Incarnation, epoch: Epoch) -> NodeProcess {
        let process = process(node, incarnation);
        let mut quotas = GrantedQuotas::new(process, self.node_drift_ppm());
        quotas.handle_answer(&BudgetMessage::NewEpoch(epoch), 0);
        NodeProcess {
            incarnation,
            quotas,
        }
    }

    /// What all nodes may spend together beyond the guaranteed rates.
    fn granted_sum(&self, state: &ModelState) -> u64 {
        let now = self.node_now(state);
        let nodes = state.nodes.iter();
        nodes.map(|node| node.quotas.rate(BUDGET, now).rate).sum()
    }

    fn deliver(&self, state: &mut ModelState, packet: Packet) {
        match packet {
            Packet::ToAllocator(node, message) => {
                let BudgetMessage::Request(mut request) = message else {
                    return;
                };
                if self.lacks(Safeguard::CountUntilShown) {
                    request.current_grant = Some(newest_grant(request.epoch));
                }
                if self.lacks(Safeguard::AccountOfEarlierProcess) {
                    // One name is one node, whatever process speaks.
                    request.requester.incarnation = Incarnation(0);
                    request.current_grant = Some(newest_grant(request.epoch));
                }
                let now = self.allocator_now(state);
                if let Some(answer) = state.allocator.handle_request(request, now) {
                    state.network.insert(Packet::ToNode(node, answer));
                }
            }
            Packet::ToNode(index, mut message) => {
                let now = self.node_now(state);
                let node = &mut state.nodes[index];
                let takes_any = self.lacks(Safeguard::RequesterCheck)
                    || self.lacks(Safeguard::AccountOfEarlierProcess);
                if let BudgetMessage::Grant(grant) = &mut message {
                    if takes_any {
                        grant.requester = node.incarnation;
                    }
                }
                if node.quotas.handle_answer(&message, now) {
                    let request = node.quotas.next_request(demands(), now);
                    state.network.insert(Packet::ToAllocator(index, request));
                }
            }
        }
    }

    fn apply(&self, last: &ModelState, state: &mut ModelState, action: Action) {
        match action {
            Action::Tick => state.tick += 1,
            Action::Request(node) => {
                state.requests[node] -= 1;
                let now = self.node_now(last);
                let request = state.nodes[node].quotas.next_request(demands(), now);
                state.network.insert(Packet::ToAllocator(node, request));
            }
            Action::Deliver(packet) => {
                state.network.remove(&packet);
                self.deliver(state, packet);
            }
            Action::Repeat(packet) => {
                state.repeats -= 1;
                self.deliver(state, packet);
            }
            Action::Restart(node) => {
                state.restarts -= 1;
                state.requests[node] = self.requests;
                let incarnation = Incarnation(state.nodes[node].incarnation.0 + 1);
                state.nodes[node] = self.node_process(node, incarnation, state.epoch);
            }
            Action::ReplaceAllocator => {
                state.successors -= 1;
                state.epoch = state.epoch.next();
                state.allocator = self.successor(state.epoch, self.allocator_now(state));
            }
        }
    }
}

/// As if whatever was granted last had been shown.
fn newest_grant(epoch: Epoch) -> GrantId {
    GrantId {
        epoch,
        number: u64::MAX,
    }
}

impl Model for BudgetModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        // The fleet is in service: this allocator has waited.
        let epoch = Epoch(1);
        let allocator = BudgetAllocator::new(epoch, limits(), GRANT_DURATION, DRIFT_PPM, 0);
        let node = |index| self.node_process(index, Incarnation(0), epoch);
        vec![ModelState {
            tick: 0,
            allocator: allocator.without_wait(),
            epoch,
            nodes: (0..NODES).map(node).collect(),
            network: BTreeSet::new(),
            requests: vec![self.requests; NODES],
            repeats: self.repeats,
            restarts: self.restarts,
            successors: self.successors,
            was_used_up: false,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        // Whoever asks first has it all, and is lowered once the other one asks.
        for node in 0..NODES {
            if state.requests[node] > 0 {
                actions.push(Action::Request(node));
            }
        }
        for packet in &state.network {
            actions.push(Action::Deliver(packet.clone()));
            if state.repeats > 0 {
                actions.push(Action::Repeat(packet.clone()));
            }
        }
        if state.restarts > 0 {
            actions.extend((0..NODES).map(Action::Restart));
        }
        if state.successors > 0 {
            actions.push(Action::ReplaceAllocator);
        }
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = last.clone();
        self.apply(last, &mut state, action);
        state.was_used_up |= self.granted_sum(&state) == LIMIT.allocatable_rate(DRIFT_PPM);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "never more than the limit",
                |model: &BudgetModel, state: &ModelState| {
                    model.granted_sum(state) <= LIMIT.allocatable_rate(DRIFT_PPM)
                },
            ),
            Property::sometimes("all of it is in use", |_, state: &ModelState| {
                state.was_used_up
            }),
            Property::sometimes(
                "an allocator that follows grants",
                |model: &BudgetModel, state: &ModelState| {
                    let has_followed = state.successors == 0 && state.epoch > Epoch(1);
                    model.successors == 0 || (has_followed && model.granted_sum(state) > 0)
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &ModelState) -> bool {
        state.tick <= self.ticks
    }
}
