//! Rendezvous hashing: an order of replicas for each session that is the same at every router.

use crate::types::ReplicaId;
use std::net::IpAddr;

/// A replica's address with its bits spread.
pub(crate) fn address_key(id: ReplicaId) -> u64 {
    let address = match id.0.ip() {
        IpAddr::V4(address) => u64::from(u32::from(address)),
        IpAddr::V6(address) => {
            let bits = u128::from(address);
            mix_bits(bits as u64) ^ (bits >> 64) as u64
        }
    };
    mix_bits(address ^ (u64::from(id.0.port()) << 48))
}

/// A replica's place in a session's order, lowest first. A replica of twice the weight comes first twice as often.
pub(crate) fn score(session: u64, address_key: u64, weight: f64) -> u64 {
    let chance = chance(session, address_key).max(f64::MIN_POSITIVE);
    crate::time::to_micros(-chance.ln() / weight)
}

/// An evenly distributed number from 0 to 1.
fn chance(session: u64, address_key: u64) -> f64 {
    (mix_bits(session ^ address_key) >> 11) as f64 / (1u64 << 53) as f64
}

/// Spreads the bits of a key (the finalizer of `SplitMix64`), so that keys that differ little fall apart. Sessions rest
/// on it across processes and versions: another function would move all of them.
fn mix_bits(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}

#[cfg(test)]
mod tests;
