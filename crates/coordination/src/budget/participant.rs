//! One process's side of the fleet's budgets: what it demands, what it has been granted, and the allocator for as long as
//! it holds the lease.

use super::allocator::BudgetAllocation;
use super::messages::{BudgetMessage, Demand};
use super::{BudgetAllocator, BudgetLimit, GrantedQuotas};
use crate::{Epoch, Micros, ProcessId};
use std::collections::BTreeMap;

/// How many requests are sent in a grant's duration.
const REQUESTS_PER_GRANT: u64 = 4;
/// How much of an earlier demand is still asked for, in percent. Room beyond what is wanted comes from what remains:
/// asked for, it would be taken from those who lack.
const REMEMBERED_DEMAND_PERCENT: u64 = 50;
/// A demand's weight is told in so many parts of one.
const WEIGHT_SCALE: f64 = 100.0;
/// Thousandths in one unit.
const MILLI_PER_UNIT: f64 = 1e3;
/// Microseconds in one second.
const MICROS_PER_SECOND: u128 = 1_000_000;

/// Budgets as operators set them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// How long grants last, in microseconds.
    pub grant_duration: Micros,
    /// How wrong any clock may run, in parts in a million.
    pub drift_ppm: u32,
    /// The limits by the budgets' names.
    pub limits: BTreeMap<String, BudgetLimit>,
}

/// What has been wanted of a budget since the process began, got or not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CumulativeDemand {
    /// Thousandths of a unit.
    pub units: u64,
    /// The sum of the units' weights.
    pub weight_sum: f64,
}

/// What may be spent of a budget beyond what is guaranteed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// In thousandths of a unit a second.
    pub rate: u64,
    /// At once, in thousandths of a unit.
    pub burst: u64,
    /// When it runs out.
    pub until: Micros,
}

/// What the allocator of this process does, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllocatorStatus {
    /// The epoch under which it allocates.
    pub epoch: Epoch,
    /// Each budget as it is allocated.
    pub budgets: Vec<BudgetAllocation>,
}

/// One process's side of the fleet's budgets.
#[derive(Clone, Debug)]
pub struct BudgetParticipant {
    settings: BudgetSettings,
    quotas: GrantedQuotas,
    allocator: Option<BudgetAllocator>,
    counted: BTreeMap<String, CumulativeDemand>,
    counted_at: Option<Micros>,
    demands: BTreeMap<String, Demand>,
}

impl BudgetParticipant {
    /// A participant that begins without a grant.
    pub fn new(process: ProcessId, settings: BudgetSettings) -> BudgetParticipant {
        let quotas = GrantedQuotas::new(process, settings.drift_ppm);
        BudgetParticipant {
            settings,
            quotas,
            allocator: None,
            counted: BTreeMap::new(),
            counted_at: None,
            demands: BTreeMap::new(),
        }
    }

    /// The time between two requests, in microseconds.
    pub fn request_interval(&self) -> Micros {
        self.settings.grant_duration / REQUESTS_PER_GRANT
    }

    /// The budgets in force.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// Other limits are in force from now on. What was granted stays granted until it runs out.
    pub fn set_limits(&mut self, limits: BTreeMap<String, BudgetLimit>) {
        if let Some(allocator) = &mut self.allocator {
            allocator.set_limits(limits.clone());
        }
        self.settings.limits = limits;
    }

    /// The next request, to be sent each [`BudgetParticipant::request_interval`]. `counted` is what has been wanted so
    /// far; `held_epoch` is the epoch under which this process holds the lease, if it does.
    pub fn next_request(
        &mut self,
        counted: BTreeMap<String, CumulativeDemand>,
        held_epoch: Option<Epoch>,
        now: Micros,
    ) -> BudgetMessage {
        self.follow_lease(held_epoch, now);
        self.update_demands(counted, now);
        self.quotas.next_request(self.demands.clone(), now)
    }

    /// Takes a message and returns what goes back to its sender. Grants are given under the epoch at which the lease is
    /// held at this moment, or not at all.
    pub fn handle_message(
        &mut self,
        message: BudgetMessage,
        held_epoch: Option<Epoch>,
        now: Micros,
    ) -> Option<BudgetMessage> {
        match message {
            BudgetMessage::Request(request) => {
                self.follow_lease(held_epoch, now);
                let allocator = self.allocator.as_mut()?;
                allocator.handle_request(request, now)
            }
            BudgetMessage::NewEpoch(_) | BudgetMessage::Grant(_) => {
                let asks_again = self.quotas.handle_answer(&message, now);
                asks_again.then(|| self.quotas.next_request(self.demands.clone(), now))
            }
        }
    }

    /// What may be spent of a budget beyond what is guaranteed.
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

    /// What is wanted of a budget, as last asked for.
    pub fn demand(&self, budget: &str) -> Demand {
        self.demands.get(budget).copied().unwrap_or_default()
    }

    /// What this process allocates, if it does.
    pub fn allocator_status(&self, now: Micros) -> Option<AllocatorStatus> {
        let allocator = self.allocator.as_ref()?;
        Some(AllocatorStatus {
            epoch: allocator.epoch(),
            budgets: allocator.status(now),
        })
    }

    /// Runs an allocator under the epoch of the lease, or none without it.
    fn follow_lease(&mut self, held_epoch: Option<Epoch>, now: Micros) {
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

    /// Derives the demand from what was wanted since the last request.
    fn update_demands(&mut self, counted: BTreeMap<String, CumulativeDemand>, now: Micros) {
        let span = match self.counted_at {
            Some(at) => now.saturating_sub(at),
            None => self.request_interval(),
        };
        let mut demands = BTreeMap::new();
        for name in self.settings.limits.keys() {
            let total = counted.get(name).copied().unwrap_or_default();
            let before = self.counted.get(name).copied().unwrap_or_default();
            let last = self.demands.get(name).copied();
            demands.insert(name.clone(), demand_since(total, before, last, span.max(1)));
        }
        self.demands = demands;
        self.counted = counted;
        self.counted_at = Some(now);
    }
}

/// The demand that follows from two counts and the demand before them: what was wanted in `span` microseconds, or half of
/// what was asked for before, whichever is more.
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
    let remembered = last.rate.saturating_mul(REMEMBERED_DEMAND_PERCENT) / 100;
    let weight_per_unit =
        (total.weight_sum - before.weight_sum) / units.max(1) as f64 * MILLI_PER_UNIT;
    let weight = if units > 0 {
        ((weight_per_unit * WEIGHT_SCALE) as u32).max(1)
    } else {
        last.weight
    };
    Demand {
        rate: u64::try_from(rate).unwrap_or(u64::MAX).max(remembered),
        weight,
    }
}
