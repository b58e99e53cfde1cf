//! Allocation by weighted max-min fairness.

use super::messages::Demand;
use std::collections::BTreeMap;

/// Allocates `total` by weighted max-min fairness: no demand is exceeded while another is unmet, and unmet demands
/// share by weight. The remainder is split equally, so that each key has headroom if its demand grows; one equal share
/// stays unallocated for the next key to be added.
pub fn allocate_max_min<Key: Ord + Clone>(
    total: u64,
    demands: &BTreeMap<Key, Demand>,
) -> BTreeMap<Key, u64> {
    let mut allocations: BTreeMap<Key, u64> = demands.keys().map(|key| (key.clone(), 0)).collect();
    let mut unmet: Vec<(&Key, &Demand)> = demands
        .iter()
        .filter(|(_, demand)| demand.rate > 0)
        .collect();
    // In ascending order of demand per weight: once the smallest demand is met, the remainder is shared by the others.
    unmet.sort_by_key(|(_, demand)| {
        (u128::from(demand.rate) << 32) / u128::from(demand.weight.max(1))
    });
    let mut remaining = total;
    let weights = unmet.iter().map(|(_, demand)| weight_of(demand));
    let mut remaining_weight: u128 = weights.sum();
    for (key, demand) in unmet {
        let weight = weight_of(demand);
        let fair_share = (u128::from(remaining) * weight / remaining_weight.max(1)) as u64;
        let allocation = demand.rate.min(fair_share);
        remaining -= allocation;
        remaining_weight -= weight;
        allocations.insert(key.clone(), allocation);
    }
    let equal_share = remaining / (allocations.len() as u64 + 1);
    for allocation in allocations.values_mut() {
        *allocation += equal_share;
    }
    allocations
}

fn weight_of(demand: &Demand) -> u128 {
    u128::from(demand.weight.max(1))
}
