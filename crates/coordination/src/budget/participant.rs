//! The budgets at one process: its demands and grants, and the allocator while the process holds the lease.

use super::allocator::BudgetAllocation;
use super::messages::{BudgetMessage, Demand};
use super::{BudgetAllocator, BudgetLimit, GrantedQuotas};
use crate::{Epoch, Micros, ProcessId};
use std::collections::BTreeMap;

/// The number of requests per grant duration.
const REQUESTS_PER_GRANT: u64 = 4;
/// The minimum of a demand, in percent of the previous one. Demands include no headroom: the allocator gives headroom
/// from the unallocated remainder, whereas headroom in the demands would be taken from nodes with unmet demand.
const RETAINED_DEMAND_PERCENT: u64 = 50;
/// The value of [`Demand::weight`] for a weight of one.
const WEIGHT_SCALE: f64 = 100.0;
/// Thousandths in one unit.
const MILLI_PER_UNIT: f64 = 1e3;
/// Microseconds in one second.
const MICROS_PER_SECOND: u128 = 1_000_000;

/// The configured budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// The duration of grants, in microseconds.
    pub grant_duration: Micros,
    /// The largest rate error of any clock, in parts per million.
    pub drift_ppm: u32,
    /// The limits by budget name.
    pub limits: BTreeMap<String, BudgetLimit>,
}

/// The demand for a budget since the process started, including the part that was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CumulativeDemand {
    /// In thousandths of a unit.
    pub units: u64,
    /// The sum of the weights of all demanded units.
    pub weight_sum: f64,
}

/// The part of a budget that this process may spend in addition to the guaranteed rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// In thousandths of a unit per second.
    pub rate: u64,
    /// In thousandths of a unit.
    pub burst: u64,
    /// When the quota ends; `rate` and `burst` are 0 from then on, until a newer grant is in force.
    pub until: Micros,
}

/// The status of this process's allocator, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllocatorStatus {
    /// The epoch of the allocator.
    pub epoch: Epoch,
    /// One for each budget that has a limit.
    pub budgets: Vec<BudgetAllocation>,
}

/// The demands and grants of one process, and its allocator while it holds the lease.
#[derive(Clone, Debug)]
pub struct BudgetParticipant {
    settings: BudgetSettings,
    quotas: GrantedQuotas,
    allocator: Option<BudgetAllocator>,
    /// The cumulative demands at the last request.
    totals: BTreeMap<String, CumulativeDemand>,
    /// When the last request was made; `None` before the first.
    totals_at: Option<Micros>,
    demands: BTreeMap<String, Demand>,
}

impl BudgetParticipant {
    /// Creates a participant without a grant.
    pub fn new(process: ProcessId, settings: BudgetSettings) -> BudgetParticipant {
        let quotas = GrantedQuotas::new(process, settings.drift_ppm);
        BudgetParticipant {
            settings,
            quotas,
            allocator: None,
            totals: BTreeMap::new(),
            totals_at: None,
            demands: BTreeMap::new(),
        }
    }

    /// The time between two requests, in microseconds.
    pub fn request_interval(&self) -> Micros {
        self.settings.grant_duration / REQUESTS_PER_GRANT
    }

    /// The budget settings in force.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// Replaces the limits. Existing grants stay in force until they end.
    pub fn set_limits(&mut self, limits: BTreeMap<String, BudgetLimit>) {
        if let Some(allocator) = &mut self.allocator {
            allocator.set_limits(limits.clone());
        }
        self.settings.limits = limits;
    }

    /// Creates the next request, to be sent every [`BudgetParticipant::request_interval`]. `totals` is the cumulative
    /// demand by budget name; `held_epoch` is the epoch under which this process holds the budget lease, `None` if it
    /// does not.
    pub fn next_request(
        &mut self,
        totals: BTreeMap<String, CumulativeDemand>,
        held_epoch: Option<Epoch>,
        now: Micros,
    ) -> BudgetMessage {
        self.sync_allocator(held_epoch, now);
        self.update_demands(totals, now);
        self.quotas.next_request(self.demands.clone(), now)
    }

    /// Handles a message and returns the response to its sender. `held_epoch` must be the epoch under which this
    /// process holds the budget lease at `now`; it gives grants under that epoch, and none if it is `None`.
    pub fn handle_message(
        &mut self,
        message: BudgetMessage,
        held_epoch: Option<Epoch>,
        now: Micros,
    ) -> Option<BudgetMessage> {
        match message {
            BudgetMessage::Request(request) => {
                self.sync_allocator(held_epoch, now);
                let allocator = self.allocator.as_mut()?;
                allocator.handle_request(request, now)
            }
            BudgetMessage::NewEpoch(_) | BudgetMessage::Grant(_) => {
                let must_repeat = self.quotas.handle_response(&message, now);
                must_repeat.then(|| self.quotas.next_request(self.demands.clone(), now))
            }
        }
    }

    /// The quota of this process in a budget at `now`; the burst is 0 if the budget has no limit.
    pub fn quota(&self, budget: &str, now: Micros) -> Quota {
        let granted = self.quotas.rate(budget, now);
        let limit = self.settings.limits.get(budget);
        let burst = limit.map_or(0, |limit| {
            limit.burst_for_rate(granted.rate, self.settings.drift_ppm)
        });
        Quota {
            rate: granted.rate,
            burst,
            until: granted.until,
        }
    }

    /// The demand for a budget in the last request.
    pub fn demand(&self, budget: &str) -> Demand {
        self.demands.get(budget).copied().unwrap_or_default()
    }

    /// The allocator's status; `None` if this process does not run the allocator.
    pub fn allocator_status(&self, now: Micros) -> Option<AllocatorStatus> {
        let allocator = self.allocator.as_ref()?;
        Some(AllocatorStatus {
            epoch: allocator.epoch(),
            budgets: allocator.status(now),
        })
    }

    /// Starts a new allocator if the epoch of the lease has changed, and drops the allocator if the lease was lost.
    fn sync_allocator(&mut self, held_epoch: Option<Epoch>, now: Micros) {
        let allocating_epoch = self.allocator.as_ref().map(BudgetAllocator::epoch);
        if allocating_epoch == held_epoch {
            return;
        }
        let settings = &self.settings;
        self.allocator = held_epoch.map(|epoch| {
            BudgetAllocator::new(
                epoch,
                settings.limits.clone(),
                settings.grant_duration,
                settings.drift_ppm,
                now,
            )
        });
    }

    /// Derives the demands from the increase of the cumulative demands since the last request.
    fn update_demands(&mut self, totals: BTreeMap<String, CumulativeDemand>, now: Micros) {
        let span = match self.totals_at {
            Some(at) => now.saturating_sub(at),
            None => self.request_interval(),
        };
        let mut demands = BTreeMap::new();
        for name in self.settings.limits.keys() {
            let total = totals.get(name).copied().unwrap_or_default();
            let before = self.totals.get(name).copied().unwrap_or_default();
            let last = self.demands.get(name).copied();
            demands.insert(name.clone(), demand_since(total, before, last, span.max(1)));
        }
        self.demands = demands;
        self.totals = totals;
        self.totals_at = Some(now);
    }
}

/// Derives a demand from two cumulative demands that are `span` microseconds apart. The rate falls by at most half of
/// the previous demand.
fn demand_since(
    total: CumulativeDemand,
    before: CumulativeDemand,
    last: Option<Demand>,
    span: Micros,
) -> Demand {
    let last = last.unwrap_or(Demand {
        rate: 0,
        weight: WEIGHT_SCALE as u32,
    });
    let units = total.units.saturating_sub(before.units);
    let rate = u128::from(units) * MICROS_PER_SECOND / u128::from(span);
    let retained_rate = last.rate.saturating_mul(RETAINED_DEMAND_PERCENT) / 100;
    let weight_per_unit =
        (total.weight_sum - before.weight_sum) / units.max(1) as f64 * MILLI_PER_UNIT;
    let weight = if units > 0 {
        ((weight_per_unit * WEIGHT_SCALE) as u32).max(1)
    } else {
        last.weight
    };
    Demand {
        rate: u64::try_from(rate).unwrap_or(u64::MAX).max(retained_rate),
        weight,
    }
}
