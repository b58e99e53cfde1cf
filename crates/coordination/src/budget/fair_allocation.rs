//! The arithmetic of an allocation: weighted max-min fairness.

use super::messages::Demand;
use std::collections::BTreeMap;

/// Allocates `total` by weighted max-min fairness: nobody gets more than it demands while another lacks, what is scarce
/// goes by weight, and what remains goes to all alike, so that whoever demands more tomorrow has some of it. Of that
/// remainder one part more is left free: whoever comes next finds it.
pub fn allocate_max_min<Key: Ord + Clone>(
    total: u64,
    demands: &BTreeMap<Key, Demand>,
) -> BTreeMap<Key, u64> {
    let mut allocations: BTreeMap<Key, u64> = demands.keys().map(|key| (key.clone(), 0)).collect();
    let mut open: Vec<(&Key, &Demand)> = demands
        .iter()
        .filter(|(_, demand)| demand.rate > 0)
        .collect();
    // By what each demands for each unit of its weight: once the smallest fits, it is out of the way.
    open.sort_by_key(|(_, demand)| {
        (u128::from(demand.rate) << 32) / u128::from(demand.weight.max(1))
    });
    let mut remaining = total;
    let weights = open.iter().map(|(_, demand)| weight_of(demand));
    let mut remaining_weight: u128 = weights.sum();
    for (key, demand) in open {
        let weight = weight_of(demand);
        let fair = (u128::from(remaining) * weight / remaining_weight.max(1)) as u64;
        let allocation = demand.rate.min(fair);
        remaining -= allocation;
        remaining_weight -= weight;
        allocations.insert(key.clone(), allocation);
    }
    let equal_part = remaining / (allocations.len() as u64 + 1);
    for allocation in allocations.values_mut() {
        *allocation += equal_part;
    }
    allocations
}

fn weight_of(demand: &Demand) -> u128 {
    u128::from(demand.weight.max(1))
}
