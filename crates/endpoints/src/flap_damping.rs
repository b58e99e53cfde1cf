//! Suppresses addresses whose records are flapping (repeatedly withdrawn and listed again), for a time that doubles
//! with each return.
//!
//! Damping is per source and per address. It is not applied if it would suppress more than half of the addresses that
//! the source lists: a DNS server that returns a different subset of its records each time is not flapping.

use crate::listing::Listing;
use crate::settings::FlapLimits;
use crate::update::MonotonicMicros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Limit on tracked addresses. Beyond it the address with the oldest return is dropped.
const MAX_TRACKED_ADDRS: usize = 16_384;

/// The initial hold is doubled at most this many times.
const MAX_DOUBLING_COUNT: u32 = 20;

/// The suppressed addresses, each with the time at which its suppression ends.
pub(crate) type DampedAddresses = BTreeMap<SocketAddr, MonotonicMicros>;

/// The returns of one address after withdrawals.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnHistory {
    return_count: u32,
    last_return_at: MonotonicMicros,
    /// The address is suppressed until this time.
    damped_until: MonotonicMicros,
}

/// The returns of one source's addresses.
#[derive(Debug, Default)]
pub(crate) struct FlapDamping {
    histories: BTreeMap<SocketAddr, ReturnHistory>,
}

impl FlapDamping {
    /// Counts the return of a withdrawn address. If it exceeds the tolerated number, starts or extends the suppression.
    pub(crate) fn record_return(
        &mut self,
        now: MonotonicMicros,
        addr: SocketAddr,
        limits: &FlapLimits,
    ) {
        let mut history = self.histories.get(&addr).copied().unwrap_or_default();
        let damped_for = history.damped_until.saturating_sub(history.last_return_at);
        if now.saturating_sub(history.last_return_at) > limits.window.max(damped_for) {
            history = ReturnHistory::default();
        }
        history.return_count += 1;
        history.last_return_at = now;
        if let Some(doubling_count) = history
            .return_count
            .checked_sub(limits.free_return_count + 1)
        {
            let hold = limits
                .initial_hold
                .saturating_mul(1 << doubling_count.min(MAX_DOUBLING_COUNT))
                .min(limits.max_hold);
            history.damped_until = now.saturating_add(hold);
        }
        self.histories.insert(addr, history);
        if self.histories.len() > MAX_TRACKED_ADDRS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(addr, history)| (history.last_return_at, **addr))
            .map(|(addr, _)| *addr);
        if let Some(addr) = oldest {
            self.histories.remove(&addr);
        }
    }

    /// The listed addresses that are suppressed now; empty if they are more than half of all listed addresses.
    pub(crate) fn damped_addresses(
        &self,
        now: MonotonicMicros,
        listing: &Listing,
    ) -> DampedAddresses {
        let damped: DampedAddresses = self
            .histories
            .iter()
            .filter(|(addr, history)| history.damped_until > now && listing.has_addr(addr))
            .map(|(addr, history)| (*addr, history.damped_until))
            .collect();
        if damped.len() * 2 > listing.addr_count() {
            return DampedAddresses::new();
        }
        damped
    }

    /// When the next suppression ends; `None` if no address is suppressed.
    pub(crate) fn next_release(&self, now: MonotonicMicros) -> Option<MonotonicMicros> {
        self.histories
            .values()
            .map(|history| history.damped_until)
            .filter(|damped_until| *damped_until > now)
            .min()
    }

    /// Drops addresses whose last return was before `cutoff`.
    pub(crate) fn forget_before(&mut self, cutoff: MonotonicMicros) {
        self.histories
            .retain(|_, history| history.last_return_at >= cutoff);
    }
}
