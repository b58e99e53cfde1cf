//! The account of traffic between zones: attempts that were written whole to a replica of another zone, by minute, class
//! and tenant. Counted where they are written, so that the servers' own count is the same.

use std::collections::BTreeMap;

/// Minutes kept; what is older is in the totals alone.
const MOST_MINUTES: u64 = 60;
const MINUTE: i64 = 60_000_000;

/// The account.
#[derive(Clone, Debug, Default)]
pub struct CrossZoneTraffic {
    /// By minute, class and tenant.
    minutes: BTreeMap<(u64, usize, usize), u64>,
    totals: BTreeMap<(usize, usize), u64>,
}

impl CrossZoneTraffic {
    /// Counts one, at a time in microseconds of Unix time.
    pub fn record(&mut self, unix: i64, class: usize, tenant: usize) {
        let minute = u64::try_from(unix / MINUTE).unwrap_or(0);
        *self.totals.entry((class, tenant)).or_default() += 1;
        let key = (minute, class, tenant);
        let fresh = !self.minutes.contains_key(&key);
        *self.minutes.entry(key).or_default() += 1;
        if !fresh {
            return;
        }
        // By how many there are, not by how old they are: a clock that was set back must not empty the account.
        let kept = self
            .minutes
            .keys()
            .map(|key| key.0)
            .collect::<std::collections::BTreeSet<_>>();
        if kept.len() as u64 > MOST_MINUTES {
            if let Some(oldest) = kept.first() {
                self.minutes.retain(|key, _| key.0 != *oldest);
            }
        }
    }

    /// Each minute with its class, tenant and count, oldest first.
    pub fn by_minute(&self) -> impl Iterator<Item = (u64, usize, usize, u64)> + '_ {
        self.minutes
            .iter()
            .map(|((minute, class, tenant), count)| (*minute, *class, *tenant, *count))
    }

    /// Since the start: class, tenant and count.
    pub fn totals(&self) -> impl Iterator<Item = (usize, usize, u64)> + '_ {
        self.totals
            .iter()
            .map(|((class, tenant), count)| (*class, *tenant, *count))
    }
}
