//! The verdict on the budgets of the fleet, computed from the arrivals recorded by the stub model servers.
//!
//! An arrival of a request that has arrived before is a retry or a hedged attempt. A query of a server's load is a probe. An arrival
//! from a node in another zone is cross-zone traffic.

use crate::sockets::Arrival;
use crate::Micros;
use std::collections::BTreeSet;

/// Tolerance for transit times: a request may take this much longer to reach a server than the previous request, in
/// seconds.
const ARRIVAL_SLACK_S: f64 = 0.05;
/// A request's id shifted right by this many bits is the number of the node that first received it, counted from 1.
pub(super) const NODE_BITS_SHIFT: u32 = 40;
const SECOND: Micros = 1_000_000;
/// The rate of the probe budget, as a fraction of the rate of the retry budget.
pub(super) const PROBE_RATE_FACTOR: f64 = 0.5;
/// The budget of cross-zone traffic, as a multiple of the retry budget.
pub(super) const CROSS_ZONE_FACTOR: f64 = 2.0;

/// A budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Units per second.
    pub rate: f64,
    /// Units that may be spent at once.
    pub burst: f64,
}

/// The arrivals of one kind of budgeted work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkCount {
    /// The number of arrivals.
    pub count: usize,
    /// The largest excess of arrivals over the budget's rate in any time window, divided by the budget's burst plus a
    /// tolerance for transit times. More than 1 violates the budget.
    pub worst_window: f64,
    /// The arrivals in the busiest second as a fraction of the budget's rate.
    pub busiest_second: f64,
}

/// The result of a budget scenario.
#[derive(Clone, Debug, Default)]
pub struct BudgetReport {
    /// The number of rounds.
    pub rounds: usize,
    /// Requests that clients sent.
    pub sent_requests: usize,
    /// Requests with a complete response.
    pub completed_requests: usize,
    /// Distinct requests that reached a server.
    pub requests_at_servers: usize,
    /// Arrivals beyond a request's first.
    pub repeats: WorkCount,
    /// Probes: queries of a server's load.
    pub probes: WorkCount,
    /// Arrivals from another zone.
    pub cross_zone: WorkCount,
    /// Cross-zone attempts counted by the nodes themselves; the counts of killed processes are lost.
    pub reported_cross_zone: u64,
    /// The part of the retry budget, per second, that the nodes report neither as granted nor as free after the load
    /// has ended.
    pub lost_retry_rate: f64,
}

impl BudgetReport {
    /// The highest [`WorkCount::worst_window`] of all kinds of work.
    pub fn worst_window(&self) -> f64 {
        self.kinds()
            .iter()
            .map(|kind| kind.worst_window)
            .fold(0.0, f64::max)
    }

    /// The number of windows that were checked. Each starts and ends with an arrival of the same kind.
    pub fn window_count(&self) -> u64 {
        let pairs = |kind: &WorkCount| kind.count as u64 * (kind.count as u64 + 1) / 2;
        self.kinds().iter().map(pairs).sum()
    }

    fn kinds(&self) -> [WorkCount; 3] {
        [self.repeats, self.probes, self.cross_zone]
    }
}

/// Checks the recorded arrivals, which are in the order of arrival, against the retry budget and the other budgets,
/// which are derived from it.
pub fn check_budgets(
    arrivals: &[Arrival],
    retries: FleetBudget,
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
    let probe_budget = FleetBudget {
        rate: retries.rate * PROBE_RATE_FACTOR,
        burst: retries.burst,
    };
    let cross_zone_budget = FleetBudget {
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

fn count_work(times: &[Micros], budget: FleetBudget) -> WorkCount {
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

/// The maximum, over all time windows, of the number of arrivals minus the rate times the length of the window.
/// Computed as the highest level of a leaky bucket that each arrival fills by 1.
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

/// The zone of the node that first received a request, derived from the request's id.
fn zone_of_first_node(id: &str, zone_count: usize) -> usize {
    let node_number = u64::from_str_radix(id, 16).unwrap_or(0) >> NODE_BITS_SHIFT;
    (node_number as usize).saturating_sub(1) % zone_count
}
