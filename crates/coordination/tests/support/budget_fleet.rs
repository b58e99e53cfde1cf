//! An allocator and nodes with their granted quotas on a simulated network and clock.

use poppykeel_coordination::budget::{
    BudgetAllocator, BudgetGrant, BudgetLimit, BudgetMessage, Demand, GrantId, GrantedQuotas,
};
use poppykeel_coordination::{Epoch, Incarnation, ProcessId};
use proptest::prelude::*;

pub const NODES: usize = 6;
pub const BUDGET: &str = "b";
pub const GRANT_DURATION: u64 = 2_000_000;
pub const DRIFT_PPM: u32 = 50_000;
const MILLION: u64 = 1_000_000;
pub const LIMIT: BudgetLimit = BudgetLimit {
    rate: 100_000,
    burst: 50_000,
    guaranteed_rate: 1_000,
    guaranteed_burst: 500,
    max_nodes: 8,
};

#[derive(Clone, Debug)]
pub enum Step {
    Advance {
        ms: u64,
    },
    Request {
        node: usize,
        rate: u64,
    },
    /// Delivers the message with this index, modulo the number of messages in flight. If `is_kept`, it stays in flight
    /// and can be delivered again.
    Deliver {
        index: usize,
        is_kept: bool,
    },
    Lose {
        index: usize,
    },
    Restart {
        node: usize,
    },
    /// A new allocator replaces the old one under the next epoch.
    ReplaceAllocator,
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..900).prop_map(|ms| Step::Advance { ms }),
        6 => (0..NODES, prop_oneof![Just(0u64), 0u64..200_000])
            .prop_map(|(node, rate)| Step::Request { node, rate }),
        12 => (0usize..64, prop::bool::weighted(0.15))
            .prop_map(|(index, is_kept)| Step::Deliver { index, is_kept }),
        1 => (0usize..64).prop_map(|index| Step::Lose { index }),
        1 => (0..NODES).prop_map(|node| Step::Restart { node }),
        1 => Just(Step::ReplaceAllocator),
    ]
}

/// A message in flight.
#[derive(Clone, Debug)]
pub enum Packet {
    /// From the node of this index.
    ToAllocator(usize, BudgetMessage),
    /// To the process that has the node's name on arrival.
    ToNode(usize, BudgetMessage),
}

/// The mechanisms that keep the grants within the limit. A fleet can have one of them disabled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Safeguard {
    /// A new allocator waits until the grants of its predecessor have expired.
    WaitForOldGrants,
    /// Durations and rates are reduced by the drift.
    DriftMargin,
    /// The allocator counts a grant until its node has confirmed a newer one.
    CountUntilConfirmed,
    /// A grant that is delivered again is ignored.
    IgnoreDuplicateGrants,
    /// A process ignores grants to the previous process of its name.
    RequesterCheck,
    /// The guaranteed rates of nodes are deducted from the allocatable rate.
    GuaranteedRatesDeducted,
}

pub const SAFEGUARDS: [Safeguard; 6] = [
    Safeguard::WaitForOldGrants,
    Safeguard::DriftMargin,
    Safeguard::CountUntilConfirmed,
    Safeguard::IgnoreDuplicateGrants,
    Safeguard::RequesterCheck,
    Safeguard::GuaranteedRatesDeducted,
];

struct NodeProcess {
    incarnation: u64,
    quotas: GrantedQuotas,
}

impl NodeProcess {
    fn new(node: usize, incarnation: u64, drift_ppm: u32) -> NodeProcess {
        let process = ProcessId {
            node: format!("n{node}"),
            incarnation: Incarnation(incarnation),
        };
        NodeProcess {
            incarnation,
            quotas: GrantedQuotas::new(process, drift_ppm),
        }
    }
}

/// A rate that a node has added to its grant because a safeguard is disabled.
struct ExtraRate {
    rate: u64,
    until: u64,
}

pub struct Fleet {
    disabled_safeguard: Option<Safeguard>,
    pub now: u64,
    epoch: u64,
    pub allocator: BudgetAllocator,
    nodes: Vec<NodeProcess>,
    pub in_flight: Vec<Packet>,
    extra_rates: Vec<ExtraRate>,
}

impl Fleet {
    pub fn new(disabled_safeguard: Option<Safeguard>) -> Fleet {
        let drift_ppm = drift_ppm(disabled_safeguard);
        Fleet {
            disabled_safeguard,
            now: 3 * GRANT_DURATION,
            epoch: 1,
            allocator: new_allocator(disabled_safeguard, 1, 0),
            nodes: (0..NODES)
                .map(|node| NodeProcess::new(node, 0, drift_ppm))
                .collect(),
            in_flight: Vec::new(),
            extra_rates: Vec::new(),
        }
    }

    fn lacks(&self, safeguard: Safeguard) -> bool {
        self.disabled_safeguard == Some(safeguard)
    }

    /// The time by the allocator's clock. It runs fast and the clocks of nodes run slow, which is the worst case.
    pub fn allocator_now(&self) -> u64 {
        self.now * (MILLION + u64::from(DRIFT_PPM)) / MILLION
    }

    fn node_now(&self) -> u64 {
        self.now * (MILLION - u64::from(DRIFT_PPM)) / MILLION
    }

    pub fn granted_rate(&self, node: usize) -> u64 {
        self.nodes[node].quotas.rate(BUDGET, self.node_now()).rate
    }

    /// The rate that all nodes may spend together, if fast clocks refill their buckets.
    pub fn spendable_rate(&self) -> u64 {
        let now = self.node_now();
        let granted: u64 = (0..NODES).map(|node| self.granted_rate(node)).sum();
        let in_force = self.extra_rates.iter().filter(|extra| now < extra.until);
        let extra: u64 = in_force.map(|extra| extra.rate).sum();
        let guaranteed = u64::from(LIMIT.max_nodes) * LIMIT.guaranteed_rate;
        (granted + extra + guaranteed) * (MILLION + u64::from(DRIFT_PPM)) / MILLION
    }

    pub fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::ToAllocator(node, message) => self.deliver_to_allocator(node, message),
            Packet::ToNode(node, message) => self.deliver_to_node(node, message),
        }
    }

    fn deliver_to_allocator(&mut self, node: usize, message: BudgetMessage) {
        let BudgetMessage::Request(mut request) = message else {
            return;
        };
        if self.lacks(Safeguard::CountUntilConfirmed) {
            // Confirms every grant of the epoch.
            request.current_grant = Some(GrantId {
                epoch: request.epoch,
                number: u64::MAX,
            });
        }
        let now = self.allocator_now();
        if let Some(response) = self.allocator.handle_request(request, now) {
            self.in_flight.push(Packet::ToNode(node, response));
        }
    }

    fn deliver_to_node(&mut self, index: usize, mut message: BudgetMessage) {
        let now = self.node_now();
        let accepts_any = self.lacks(Safeguard::RequesterCheck);
        let node = &mut self.nodes[index];
        if let BudgetMessage::Grant(grant) = &mut message {
            if accepts_any {
                grant.requester = Incarnation(node.incarnation);
            }
        }
        let before = node.quotas.clone();
        let must_repeat = node.quotas.handle_response(&message, now);
        let is_ignored = before == node.quotas;
        if let BudgetMessage::Grant(grant) = &message {
            if is_ignored && self.lacks(Safeguard::IgnoreDuplicateGrants) {
                self.add_extra_rate(grant, now);
            }
        }
        if must_repeat {
            self.request(index, 50_000);
        }
    }

    fn add_extra_rate(&mut self, grant: &BudgetGrant, now: u64) {
        self.extra_rates.push(ExtraRate {
            rate: grant.rates[BUDGET],
            until: now + GRANT_DURATION / 2,
        });
    }

    pub fn request(&mut self, node: usize, rate: u64) {
        let now = self.node_now();
        let demands = [(BUDGET.to_string(), Demand { rate, weight: 1 })].into();
        let request = self.nodes[node].quotas.next_request(demands, now);
        self.in_flight.push(Packet::ToAllocator(node, request));
    }

    pub fn deliver_all(&mut self) {
        while let Some(packet) = self.in_flight.pop() {
            self.deliver(packet);
        }
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance { ms } => self.now += ms * 1000,
            Step::Request { node, rate } => self.request(node, rate),
            Step::Deliver { index, is_kept } if !self.in_flight.is_empty() => {
                let index = index % self.in_flight.len();
                let packet = if is_kept {
                    self.in_flight[index].clone()
                } else {
                    self.in_flight.remove(index)
                };
                self.deliver(packet);
            }
            Step::Lose { index } if !self.in_flight.is_empty() => {
                let index = index % self.in_flight.len();
                self.in_flight.remove(index);
            }
            Step::Restart { node } => {
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] =
                    NodeProcess::new(node, incarnation, drift_ppm(self.disabled_safeguard));
            }
            Step::ReplaceAllocator => {
                self.epoch += 1;
                self.allocator =
                    new_allocator(self.disabled_safeguard, self.epoch, self.allocator_now());
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
        }
    }

    pub fn assert_within_limit(&self) {
        let spendable_rate = self.spendable_rate();
        assert!(
            spendable_rate <= LIMIT.rate,
            "{spendable_rate} at {}",
            self.now
        );
    }
}

fn drift_ppm(disabled_safeguard: Option<Safeguard>) -> u32 {
    if disabled_safeguard == Some(Safeguard::DriftMargin) {
        0
    } else {
        DRIFT_PPM
    }
}

fn limit(disabled_safeguard: Option<Safeguard>) -> BudgetLimit {
    if disabled_safeguard == Some(Safeguard::GuaranteedRatesDeducted) {
        BudgetLimit {
            guaranteed_rate: 0,
            ..LIMIT
        }
    } else {
        LIMIT
    }
}

fn new_allocator(disabled_safeguard: Option<Safeguard>, epoch: u64, now: u64) -> BudgetAllocator {
    let limits = [(BUDGET.to_string(), limit(disabled_safeguard))].into();
    let started_at = if disabled_safeguard == Some(Safeguard::WaitForOldGrants) {
        now.saturating_sub(2 * GRANT_DURATION)
    } else {
        now
    };
    BudgetAllocator::new(
        Epoch(epoch),
        limits,
        GRANT_DURATION,
        drift_ppm(disabled_safeguard),
        started_at,
    )
}
