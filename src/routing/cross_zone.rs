//! Counts attempts that were sent completely to a replica in another zone, by minute, class and tenant. The driver counts an
//! attempt once its last byte has been written, so that the counts equal the numbers of requests that the replicas receive.

use std::collections::{BTreeMap, BTreeSet};

/// Number of minutes with counts of their own. Older minutes are included in the totals only.
const MAX_MINUTES: usize = 60;
const MICROS_PER_MINUTE: i64 = 60_000_000;

/// The requests of one tenant in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestGroup {
    /// Index of the class in the site settings.
    pub class: usize,
    /// Index of the tenant in the site settings; 0 if the site has no tenants.
    pub tenant: usize,
}

/// Number of attempts of one group that were sent to another zone within one minute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinuteCount {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// Class and tenant of the requests.
    pub group: RequestGroup,
    /// Number of attempts.
    pub count: u64,
}

/// Number of attempts of one group that were sent to another zone since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TotalCount {
    /// Class and tenant of the requests.
    pub group: RequestGroup,
    /// Number of attempts.
    pub count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MinuteKey {
    minute: u64,
    group: RequestGroup,
}

/// Attempts of one node that were sent to other zones.
#[derive(Clone, Debug, Default)]
pub struct CrossZoneTraffic {
    by_minute: BTreeMap<MinuteKey, u64>,
    totals: BTreeMap<RequestGroup, u64>,
}

impl CrossZoneTraffic {
    /// Counts one attempt. `unix_us` is the time at which it was written, in microseconds of Unix time.
    pub fn record(&mut self, unix_us: i64, group: RequestGroup) {
        let minute = u64::try_from(unix_us / MICROS_PER_MINUTE).unwrap_or(0);
        *self.totals.entry(group).or_default() += 1;
        let key = MinuteKey { minute, group };
        let is_new_key = !self.by_minute.contains_key(&key);
        *self.by_minute.entry(key).or_default() += 1;
        if is_new_key {
            self.drop_oldest_minute_over_limit();
        }
    }

    /// Limits the number of minutes, not their age, so that setting the wall clock does not empty the table.
    fn drop_oldest_minute_over_limit(&mut self) {
        let minutes: BTreeSet<u64> = self.by_minute.keys().map(|key| key.minute).collect();
        if minutes.len() <= MAX_MINUTES {
            return;
        }
        if let Some(oldest) = minutes.first() {
            self.by_minute.retain(|key, _| key.minute != *oldest);
        }
    }

    /// Returns the retained counts, ordered by minute, class and tenant.
    pub fn by_minute(&self) -> impl Iterator<Item = MinuteCount> + '_ {
        self.by_minute.iter().map(|(key, count)| MinuteCount {
            minute: key.minute,
            group: key.group,
            count: *count,
        })
    }

    /// Returns the totals since the process started, ordered by class and tenant.
    pub fn totals(&self) -> impl Iterator<Item = TotalCount> + '_ {
        self.totals.iter().map(|(group, count)| TotalCount {
            group: *group,
            count: *count,
        })
    }
}
