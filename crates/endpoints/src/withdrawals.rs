//! The addresses and names that one source has withdrawn, with the times of withdrawal.
//!
//! A withdrawal is remembered after the endpoint has left the listing, so that another source with an outdated list
//! does not restore the endpoint. It ends when the source lists the endpoint again, or after the registry's retention
//! time.

use crate::update::MonotonicMicros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The withdrawals of one source.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    addrs: BTreeMap<SocketAddr, MonotonicMicros>,
    names: BTreeMap<String, MonotonicMicros>,
}

impl Withdrawals {
    /// Records the withdrawal of an address, replacing the time of an earlier one.
    pub(crate) fn record_addr(&mut self, addr: SocketAddr, now: MonotonicMicros) {
        self.addrs.insert(addr, now);
    }

    /// Records the withdrawal of an address unless one is recorded already.
    pub(crate) fn record_addr_once(&mut self, addr: SocketAddr, now: MonotonicMicros) {
        self.addrs.entry(addr).or_insert(now);
    }

    /// Records the withdrawal of a name, replacing the time of an earlier one.
    pub(crate) fn record_name(&mut self, name: String, now: MonotonicMicros) {
        self.names.insert(name, now);
    }

    /// Records the withdrawal of a name unless one is recorded already.
    pub(crate) fn record_name_once(&mut self, name: String, now: MonotonicMicros) {
        self.names.entry(name).or_insert(now);
    }

    /// When this address was withdrawn; `None` if it is not withdrawn.
    pub(crate) fn addr_withdrawn_at(&self, addr: &SocketAddr) -> Option<MonotonicMicros> {
        self.addrs.get(addr).copied()
    }

    /// When this name was withdrawn; `None` if it is not withdrawn.
    pub(crate) fn name_withdrawn_at(&self, name: &str) -> Option<MonotonicMicros> {
        self.names.get(name).copied()
    }

    /// Ends the withdrawal of an endpoint that is listed again.
    pub(crate) fn end(&mut self, addr: &SocketAddr, name: &str) {
        self.addrs.remove(addr);
        self.names.remove(name);
    }

    /// Drops withdrawals from before `cutoff`, except those of addresses that any source lists.
    pub(crate) fn forget_before(
        &mut self,
        cutoff: MonotonicMicros,
        is_listed: impl Fn(&SocketAddr) -> bool,
    ) {
        self.addrs
            .retain(|addr, withdrawn_at| *withdrawn_at >= cutoff || is_listed(addr));
        self.names.retain(|_, withdrawn_at| *withdrawn_at >= cutoff);
    }

    /// Drops the oldest withdrawals beyond `max_count` addresses and `max_count` names.
    pub(crate) fn keep_newest(&mut self, max_count: usize) {
        keep_newest(&mut self.addrs, max_count);
        keep_newest(&mut self.names, max_count);
    }
}

fn keep_newest<K: Ord + Clone>(times: &mut BTreeMap<K, MonotonicMicros>, max_count: usize) {
    let Some(excess_count) = times.len().checked_sub(max_count) else {
        return;
    };
    if excess_count == 0 {
        return;
    }
    let mut oldest_first: Vec<(MonotonicMicros, K)> = times
        .iter()
        .map(|(key, withdrawn_at)| (*withdrawn_at, key.clone()))
        .collect();
    oldest_first.sort();
    for (_, key) in &oldest_first[..excess_count] {
        times.remove(key);
    }
}
