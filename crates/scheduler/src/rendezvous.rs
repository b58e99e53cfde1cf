//! Weighted rendezvous hashing: an order of replicas for each session that is the same at every router.

use crate::types::ReplicaId;
use std::net::IpAddr;

/// A hash of a replica's address.
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

/// The score of a replica in a session's order, lowest first. A replica of twice the weight is first twice as often.
pub(crate) fn score(session: u64, address_key: u64, weight: f64) -> u64 {
    let hash = uniform_hash(session, address_key).max(f64::MIN_POSITIVE);
    crate::time::to_micros(-hash.ln() / weight)
}

/// A uniformly distributed hash from 0 to 1.
fn uniform_hash(session: u64, address_key: u64) -> f64 {
    (mix_bits(session ^ address_key) >> 11) as f64 / (1u64 << 53) as f64
}

/// The finalizer of `SplitMix64`, which maps similar keys to unrelated values. It must stay the same across versions:
/// another function would move all sessions to other replicas.
fn mix_bits(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}

#[cfg(test)]
mod tests;
