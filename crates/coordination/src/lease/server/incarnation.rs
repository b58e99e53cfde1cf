//! Incarnations of lease servers. They are ordered, unlike those of other processes: a generation stands above a random
//! part, so that the newest incarnation is the highest.

use crate::Incarnation;

/// How many of an incarnation's low bits are random.
const RANDOM_BITS: u32 = 40;

/// The incarnation that follows `known`, with the random part of `fresh`.
pub(super) fn next_incarnation(known: Incarnation, fresh: Incarnation) -> Incarnation {
    let generation = (known.0 >> RANDOM_BITS)
        .saturating_add(1)
        .min(u64::MAX >> RANDOM_BITS);
    let random_part = fresh.0 & ((1 << RANDOM_BITS) - 1);
    Incarnation(generation << RANDOM_BITS | random_part)
}
