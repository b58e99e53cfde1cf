//! The budget model: an allocator, nodes with their granted quotas, and the messages between them.

use crate::budget::{BudgetAllocator, BudgetLimit, BudgetMessage, Demand, GrantId, GrantedQuotas};
use crate::{Epoch, Incarnation, ProcessId};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 2;
/// The rates of a slow and a fast clock, in units per tick. They differ by exactly the maximum that `DRIFT_PPM` allows.
pub(super) const SLOW: u64 = 1;
pub(super) const FAST: u64 = 2;
pub(super) const DRIFT_PPM: u32 = 333_333;
const GRANT_DURATION: u64 = 4;
const BUDGET: &str = "b";
/// The drift reduces the rate from 24 to 12; without the guaranteed rates of both nodes, 10 are allocatable.
pub(super) const LIMIT: BudgetLimit = BudgetLimit {
    rate: 24,
    burst: 0,
    guaranteed_rate: 1,
    guaranteed_burst: 0,
    max_nodes: NODES as u32,
};

/// The mechanisms that keep the grants within the limit. A model can disable one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Safeguard {
    /// A new allocator waits until the grants of its predecessor have expired.
    WaitForOldGrants,
    /// The allocator counts a grant against the limit until its node has confirmed a newer grant.
    CountUntilConfirmed,
    /// A node reduces the duration of a grant by the drift.
    DriftMargin,
    /// A process accepts only grants for its own incarnation.
    RequesterCheck,
    /// After a node has restarted, the allocator still counts the grants to its previous process.
    AccountOfPreviousProcess,
}

/// The rate of each clock, in units per tick.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockRates {
    pub(super) allocator: u64,
    pub(super) nodes: u64,
}

/// The bounds and faults of an exploration.
#[derive(Clone, Debug)]
pub(super) struct BudgetModel {
    pub(super) disabled_safeguard: Option<Safeguard>,
    pub(super) ticks: u64,
    /// The number of requests of each node.
    pub(super) requests: u8,
    /// The number of messages that are delivered twice.
    pub(super) duplicates: u8,
    /// The number of node restarts.
    pub(super) restarts: u8,
    /// The number of times that the allocator is replaced.
    pub(super) allocator_replacements: u8,
    pub(super) clock_rates: ClockRates,
}

/// A message in flight. Messages are explored in the order of the variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Packet {
    /// From the node of this index.
    ToAllocator(usize, BudgetMessage),
    /// To the process that has the node's name on arrival.
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
    /// Messages in flight. A message that is never delivered is lost.
    network: BTreeSet<Packet>,
    requests: Vec<u8>,
    duplicates: u8,
    restarts: u8,
    allocator_replacements: u8,
    /// Whether the whole allocatable rate has been in use.
    was_fully_used: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Tick,
    Request(usize),
    Deliver(Packet),
    Duplicate(Packet),
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
    pub(super) fn new(disabled_safeguard: Option<Safeguard>) -> BudgetModel {
        BudgetModel {
            disabled_safeguard,
            ticks: 4,
            requests: 3,
            duplicates: 0,
            restarts: 0,
            allocator_replacements: 0,
            clock_rates: ClockRates {
                allocator: FAST,
                nodes: SLOW,
            },
        }
    }

    fn lacks(&self, safeguard: Safeguard) -> bool {
        self.disabled_safeguard == Some(safeguard)
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

    /// An allocator that replaces another one.
    fn next_allocator(&self, epoch: Epoch, now: u64) -> BudgetAllocator {
        let started_at = if self.lacks(Safeguard::WaitForOldGrants) {
            now.saturating_sub(GRANT_DURATION)
        } else {
            now
        };
        BudgetAllocator::new(epoch, limits(), GRANT_DURATION, DRIFT_PPM, started_at)
    }

    /// A process of a node that knows the epoch of the allocator.
    fn node_process(&self, node: usize, incarnation: Incarnation, epoch: Epoch) -> NodeProcess {
        let process = process(node, incarnation);
        let mut quotas = GrantedQuotas::new(process, self.node_drift_ppm());
        quotas.handle_response(&BudgetMessage::NewEpoch(epoch), 0);
        NodeProcess {
            incarnation,
            quotas,
        }
    }

    /// The sum of the rates that all nodes may spend in addition to the guaranteed rates.
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
                if self.lacks(Safeguard::CountUntilConfirmed) {
                    request.current_grant = Some(newest_grant(request.epoch));
                }
                if self.lacks(Safeguard::AccountOfPreviousProcess) {
                    // Without the safeguard, successive processes with the same node name are not distinguished.
                    request.requester.incarnation = Incarnation(0);
                    request.current_grant = Some(newest_grant(request.epoch));
                }
                let now = self.allocator_now(state);
                if let Some(response) = state.allocator.handle_request(request, now) {
                    state.network.insert(Packet::ToNode(node, response));
                }
            }
            Packet::ToNode(index, mut message) => {
                let now = self.node_now(state);
                let node = &mut state.nodes[index];
                let accepts_any = self.lacks(Safeguard::RequesterCheck)
                    || self.lacks(Safeguard::AccountOfPreviousProcess);
                if let BudgetMessage::Grant(grant) = &mut message {
                    if accepts_any {
                        grant.requester = node.incarnation;
                    }
                }
                if node.quotas.handle_response(&message, now) {
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
            Action::Duplicate(packet) => {
                state.duplicates -= 1;
                self.deliver(state, packet);
            }
            Action::Restart(node) => {
                state.restarts -= 1;
                state.requests[node] = self.requests;
                let incarnation = Incarnation(state.nodes[node].incarnation.0 + 1);
                state.nodes[node] = self.node_process(node, incarnation, state.epoch);
            }
            Action::ReplaceAllocator => {
                state.allocator_replacements -= 1;
                state.epoch = state.epoch.next();
                state.allocator = self.next_allocator(state.epoch, self.allocator_now(state));
            }
        }
    }
}

/// A grant id that confirms every grant of the epoch.
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
        // The initial allocator has already waited for old grants.
        let epoch = Epoch(1);
        let allocator = BudgetAllocator::new(epoch, limits(), GRANT_DURATION, DRIFT_PPM, 0);
        let node = |index| self.node_process(index, Incarnation(0), epoch);
        vec![ModelState {
            tick: 0,
            allocator: allocator.after_initial_wait(),
            epoch,
            nodes: (0..NODES).map(node).collect(),
            network: BTreeSet::new(),
            requests: vec![self.requests; NODES],
            duplicates: self.duplicates,
            restarts: self.restarts,
            allocator_replacements: self.allocator_replacements,
            was_fully_used: false,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        // The first node to request gets the whole rate, which is lowered once the other node requests.
        for node in 0..NODES {
            if state.requests[node] > 0 {
                actions.push(Action::Request(node));
            }
        }
        for packet in &state.network {
            actions.push(Action::Deliver(packet.clone()));
            if state.duplicates > 0 {
                actions.push(Action::Duplicate(packet.clone()));
            }
        }
        if state.restarts > 0 {
            actions.extend((0..NODES).map(Action::Restart));
        }
        if state.allocator_replacements > 0 {
            actions.push(Action::ReplaceAllocator);
        }
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = last.clone();
        self.apply(last, &mut state, action);
        state.was_fully_used |= self.granted_sum(&state) == LIMIT.allocatable_rate(DRIFT_PPM);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "grants are within the limit",
                |model: &BudgetModel, state: &ModelState| {
                    model.granted_sum(state) <= LIMIT.allocatable_rate(DRIFT_PPM)
                },
            ),
            Property::sometimes("limit is fully used", |_, state: &ModelState| {
                state.was_fully_used
            }),
            Property::sometimes(
                "a new allocator grants",
                |model: &BudgetModel, state: &ModelState| {
                    let was_replaced = state.allocator_replacements == 0 && state.epoch > Epoch(1);
                    model.allocator_replacements == 0
                        || (was_replaced && model.granted_sum(state) > 0)
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &ModelState) -> bool {
        state.tick <= self.ticks
    }
}
