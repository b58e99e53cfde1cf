//! The verdict on the budgets of the fleet, from the records of the stub model servers.
//!
//! A request's second arrival is a retry or a hedged attempt, a question for a server's load is a health check, and an
//! arrival from a node of another zone is cross-zone traffic.

use crate::sockets::Arrival;
use crate::Micros;
use std::collections::BTreeSet;

/// What leaves a node in time may reach a server so much later than what left before it, in seconds.
const ARRIVAL_SLACK_S: f64 = 0.05;
/// The bits of a request's id from this one on name its node, from 1.
pub(super) const NODE_BITS_SHIFT: u32 = 40;
/// Microseconds in a second.
const SECOND: Micros = 1_000_000;
/// The budget of health checks, as a fraction of the rate of retries.
pub(super) const PROBE_RATE_FACTOR: f64 = 0.5;
/// The budget of cross-zone traffic, as a multiple of that of retries.
pub(super) const CROSS_ZONE_FACTOR: f64 = 2.0;

/// A budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetWhole {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// What the records say of one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkCount {
    /// Arrivals.
    pub count: usize,
    /// The arrivals of the worst window as a fraction of what the budget allows in it.
    pub worst_window: f64,
    /// The arrivals of the busiest second as a fraction of the rate.
    pub busiest_second: f64,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct BudgetReport {
    /// Rounds played.
    pub rounds: usize,
    /// Requests that clients sent.
    pub sent_requests: usize,
    /// Requests that were answered completely.
    pub completed_requests: usize,
    /// Requests that reached servers.
    pub requests_at_servers: usize,
    /// Arrivals beyond a request's first.
    pub repeats: WorkCount,
    /// Health checks.
    pub probes: WorkCount,
    /// Arrivals from another zone.
    pub cross_zone: WorkCount,
    /// Cross-zone traffic that the nodes report; that of processes that were killed is lost with them.
    pub reported_cross_zone: u64,
    /// Retries a second that were neither granted to a node nor free once all was quiet, by the nodes' reports.
    pub lost_retry_rate: f64,
}

impl BudgetReport {
    /// The worst window of all kinds as a fraction of what its budget allows.
    pub fn worst_window(&self) -> f64 {
        self.kinds()
            .iter()
            .map(|kind| kind.worst_window)
            .fold(0.0, f64::max)
    }

    /// Windows that were checked: each from one arrival to a later one of its kind.
    pub fn window_count(&self) -> u64 {
        let pairs = |kind: &WorkCount| kind.count as u64 * (kind.count as u64 + 1) / 2;
        self.kinds().iter().map(pairs).sum()
    }

    fn kinds(&self) -> [WorkCount; 3] {
        [self.repeats, self.probes, self.cross_zone]
    }
}

/// Judges what the servers wrote down, in the order of arrival. `retries` is the budget of retries; the others follow
/// from it.
pub fn judge_budgets(
    arrivals: &[Arrival],
    retries: BudgetWhole,
    zone_count: usize,
) -> BudgetReport {
    let mut seen_ids = BTreeSet::new();
    let mut repeats = Vec::new();
    let mut probes = Vec::new();
    let mut cross_zone = Vec::new();
    for arrival in arrivals {
        let Some(id) = &arrival.id else {
            probes.push(arrival.at);
            continue;
        };
        if !seen_ids.insert(id) {
            repeats.push(arrival.at);
        }
        if zone_of_first_node(id, zone_count) != arrival.server % zone_count {
            cross_zone.push(arrival.at);
        }
    }
    let probe_budget = BudgetWhole {
        rate: retries.rate * PROBE_RATE_FACTOR,
        burst: retries.burst,
    };
    let cross_zone_budget = BudgetWhole {
        rate: retries.rate * CROSS_ZONE_FACTOR,
        burst: retries.burst * CROSS_ZONE_FACTOR,
    };
    BudgetReport {
        requests_at_servers: seen_ids.len(),
        repeats: count_work(&repeats, retries),
        probes: count_work(&probes, probe_budget),
        cross_zone: count_work(&cross_zone, cross_zone_budget),
        ..BudgetReport::default()
    }
}

fn count_work(times: &[Micros], budget: BudgetWhole) -> WorkCount {
    let allowance = budget.burst + budget.rate * ARRIVAL_SLACK_S;
    let mut busiest_second = 0;
    for (index, first) in times.iter().enumerate() {
        let following = &times[index..];
        let count = following.partition_point(|at| at - first < SECOND);
        busiest_second = busiest_second.max(count);
    }
    WorkCount {
        count: times.len(),
        worst_window: max_excess(times, budget.rate) / allowance,
        busiest_second: busiest_second as f64 / budget.rate,
    }
}

/// The most by which arrivals in any window exceed the rate times its length: the greatest level of a bucket that
/// arrivals fill and the rate drains.
fn max_excess(times: &[Micros], rate: f64) -> f64 {
    let mut level = 0.0_f64;
    let mut max_level = 0.0_f64;
    let mut previous = 0;
    for at in times {
        let drained = rate * (at - previous) as f64 / 1e6;
        level = (level - drained).max(0.0) + 1.0;
        max_level = max_level.max(level);
        previous = *at;
    }
    max_level
}

/// The zone of the node that received a request first, by the request's id.
fn zone_of_first_node(id: &str, zone_count: usize) -> usize {
    let node_number = u64::from_str_radix(id, 16).unwrap_or(0) >> NODE_BITS_SHIFT;
    (node_number as usize).saturating_sub(1) % zone_count
}
