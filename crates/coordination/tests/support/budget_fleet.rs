//! An allocator and nodes with their granted quotas on a network of the tests' own, by fed time.

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
    /// Delivers one of the messages on their way; it may stay to come again.
    Deliver {
        which: usize,
        stays: bool,
    },
    Lose {
        which: usize,
    },
    Restart {
        node: usize,
    },
    /// The next allocator takes over; the old one is heard of no more.
    ReplaceAllocator,
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..900).prop_map(|ms| Step::Advance { ms }),
        6 => (0..NODES, prop_oneof![Just(0u64), 0u64..200_000])
            .prop_map(|(node, rate)| Step::Request { node, rate }),
        12 => (0usize..64, prop::bool::weighted(0.15))
            .prop_map(|(which, stays)| Step::Deliver { which, stays }),
        1 => (0usize..64).prop_map(|which| Step::Lose { which }),
        1 => (0..NODES).prop_map(|node| Step::Restart { node }),
        1 => Just(Step::ReplaceAllocator),
    ]
}

/// A message on its way.
#[derive(Clone, Debug)]
pub enum Packet {
    /// From the node of this index.
    ToAllocator(usize, BudgetMessage),
    /// To whatever process has the node's name when it comes.
    ToNode(usize, BudgetMessage),
}

/// What keeps the grants within the limit. A fleet may have one of these taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Safeguard {
    /// A new allocator's wait for the grants of the one before.
    WaitForOldGrants,
    /// The regard to drift in a grant's expiry.
    DriftMargin,
    /// The count of a grant until its node has shown a newer one.
    CountUntilShown,
    /// A grant that comes again is not another one on top.
    IgnoreRepeatedGrants,
    /// A process does not take a grant that was given to the process of its name before.
    RequesterCheck,
    /// The guaranteed rates of nodes are kept out of what is allocated.
    GuaranteedRatesKeptOut,
}

pub const SAFEGUARDS: [Safeguard; 6] = [
    Safeguard::WaitForOldGrants,
    Safeguard::DriftMargin,
    Safeguard::CountUntilShown,
    Safeguard::IgnoreRepeatedGrants,
    Safeguard::RequesterCheck,
    Safeguard::GuaranteedRatesKeptOut,
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

/// A rate that a node took on top of its grant, for lack of a safeguard.
struct ExtraRate {
    rate: u64,
    until: u64,
}

pub struct Fleet {
    without: Option<Safeguard>,
    pub now: u64,
    epoch: u64,
    pub allocator: BudgetAllocator,
    nodes: Vec<NodeProcess>,
    pub in_flight: Vec<Packet>,
    extra_rates: Vec<ExtraRate>,
}

impl Fleet {
    pub fn new(without: Option<Safeguard>) -> Fleet {
        let drift_ppm = drift_ppm(without);
        Fleet {
            without,
            now: 3 * GRANT_DURATION,
            epoch: 1,
            allocator: new_allocator(without, 1, 0),
            nodes: (0..NODES)
                .map(|node| NodeProcess::new(node, 0, drift_ppm))
                .collect(),
            in_flight: Vec::new(),
            extra_rates: Vec::new(),
        }
    }

    fn lacks(&self, safeguard: Safeguard) -> bool {
        self.without == Some(safeguard)
    }

    /// The allocator's clock is fast and those of nodes are slow: the worst there may be.
    pub fn allocator_now(&self) -> u64 {
        self.now * (MILLION + u64::from(DRIFT_PPM)) / MILLION
    }

    fn node_now(&self) -> u64 {
        self.now * (MILLION - u64::from(DRIFT_PPM)) / MILLION
    }

    pub fn granted_rate(&self, node: usize) -> u64 {
        self.nodes[node].quotas.rate(BUDGET, self.node_now()).rate
    }

    /// What all nodes may spend a second. Buckets may be filled by fast clocks.
    pub fn spendable(&self) -> u64 {
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
        if self.lacks(Safeguard::CountUntilShown) {
            // As if whatever was granted last had been shown.
            request.current_grant = Some(GrantId {
                epoch: request.epoch,
                number: u64::MAX,
            });
        }
        let now = self.allocator_now();
        if let Some(answer) = self.allocator.handle_request(request, now) {
            self.in_flight.push(Packet::ToNode(node, answer));
        }
    }

    fn deliver_to_node(&mut self, index: usize, mut message: BudgetMessage) {
        let now = self.node_now();
        let takes_any = self.lacks(Safeguard::RequesterCheck);
        let node = &mut self.nodes[index];
        if let BudgetMessage::Grant(grant) = &mut message {
            if takes_any {
                grant.requester = Incarnation(node.incarnation);
            }
        }
        let before = node.quotas.clone();
        let asks_again = node.quotas.handle_answer(&message, now);
        let is_ignored = before == node.quotas;
        if let BudgetMessage::Grant(grant) = &message {
            if is_ignored && self.lacks(Safeguard::IgnoreRepeatedGrants) {
                self.add_on_top(grant, now);
            }
        }
        if asks_again {
            self.request(index, 50_000);
        }
    }

    fn add_on_top(&mut self, grant: &BudgetGrant, now: u64) {
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
            Step::Deliver { which, stays } if !self.in_flight.is_empty() => {
                let which = which % self.in_flight.len();
                let packet = if stays {
                    self.in_flight[which].clone()
                } else {
                    self.in_flight.remove(which)
                };
                self.deliver(packet);
            }
            Step::Lose { which } if !self.in_flight.is_empty() => {
                let which = which % self.in_flight.len();
                self.in_flight.remove(which);
            }
            Step::Restart { node } => {
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = NodeProcess::new(node, incarnation, drift_ppm(self.without));
            }
            Step::ReplaceAllocator => {
                self.epoch += 1;
                self.allocator = new_allocator(self.without, self.epoch, self.allocator_now());
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
        }
    }

    pub fn assert_within_limit(&self) {
        let spendable = self.spendable();
        assert!(spendable <= LIMIT.rate, "{spendable} at {}", self.now);
    }
}

fn drift_ppm(without: Option<Safeguard>) -> u32 {
    if without == Some(Safeguard::DriftMargin) {
        0
    } else {
        DRIFT_PPM
    }
}

fn limit(without: Option<Safeguard>) -> BudgetLimit {
    if without == Some(Safeguard::GuaranteedRatesKeptOut) {
        BudgetLimit {
            guaranteed_rate: 0,
            ..LIMIT
        }
    } else {
        LIMIT
    }
}

fn new_allocator(without: Option<Safeguard>, epoch: u64, now: u64) -> BudgetAllocator {
    let limits = [(BUDGET.to_string(), limit(without))].into();
    let started_at = if without == Some(Safeguard::WaitForOldGrants) {
        now.saturating_sub(2 * GRANT_DURATION)
    } else {
        now
    };
    BudgetAllocator::new(
        Epoch(epoch),
        limits,
        GRANT_DURATION,
        drift_ppm(without),
        started_at,
    )
}
