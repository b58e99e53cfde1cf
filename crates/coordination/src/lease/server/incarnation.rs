//! Incarnations of lease servers. Unlike those of other processes they are ordered: the high bits hold a generation and
//! the low bits a random part, so the newest incarnation is the highest.

use crate::Incarnation;

/// The number of random low bits.
const RANDOM_BITS: u32 = 40;

/// An incarnation that is newer than `known`: the next generation, with the random part of `fresh`.
pub(super) fn next_incarnation(known: Incarnation, fresh: Incarnation) -> Incarnation {
    let generation = (known.0 >> RANDOM_BITS)
        .saturating_add(1)
        .min(u64::MAX >> RANDOM_BITS);
    let random_part = fresh.0 & ((1 << RANDOM_BITS) - 1);
    Incarnation(generation << RANDOM_BITS | random_part)
}
