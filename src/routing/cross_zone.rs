//! Counts of traffic between zones: attempts that were written completely to a replica of another zone, by minute, class and
//! tenant. The driver of an attempt counts it when its last byte has been written, so that the replicas' own count is the same.

use std::collections::{BTreeMap, BTreeSet};

/// How many minutes are kept; older ones are in the totals only.
const MAX_MINUTES: usize = 60;
const MICROS_PER_MINUTE: i64 = 60_000_000;

/// Requests of one class and one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestGroup {
    /// The class's index in the site's settings.
    pub class: usize,
    /// The tenant's index in the site's settings; 0 at sites without tenants.
    pub tenant: usize,
}

/// Attempts of one group that went to another zone in one minute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinuteCount {
    /// The minute of Unix time.
    pub minute: u64,
    /// The requests' group.
    pub group: RequestGroup,
    /// How many attempts.
    pub count: u64,
}

/// Attempts of one group that went to another zone since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TotalCount {
    /// The requests' group.
    pub group: RequestGroup,
    /// How many attempts.
    pub count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MinuteKey {
    minute: u64,
    group: RequestGroup,
}

/// The traffic of one node to other zones.
#[derive(Clone, Debug, Default)]
pub struct CrossZoneTraffic {
    by_minute: BTreeMap<MinuteKey, u64>,
    totals: BTreeMap<RequestGroup, u64>,
}

impl CrossZoneTraffic {
    /// Counts one attempt, written at `unix_us` microseconds of Unix time.
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

    /// Limits how many minutes there are and not how old they are: a clock that was set back must not empty the table.
    fn drop_oldest_minute_over_limit(&mut self) {
        let minutes: BTreeSet<u64> = self.by_minute.keys().map(|key| key.minute).collect();
        if minutes.len() <= MAX_MINUTES {
            return;
        }
        if let Some(oldest) = minutes.first() {
            self.by_minute.retain(|key, _| key.minute != *oldest);
        }
    }

    /// The minutes that are kept, oldest first, within a minute by class and tenant.
    pub fn by_minute(&self) -> impl Iterator<Item = MinuteCount> + '_ {
        self.by_minute.iter().map(|(key, count)| MinuteCount {
            minute: key.minute,
            group: key.group,
            count: *count,
        })
    }

    /// The totals since the start, by class and tenant.
    pub fn totals(&self) -> impl Iterator<Item = TotalCount> + '_ {
        self.totals.iter().map(|(group, count)| TotalCount {
            group: *group,
            count: *count,
        })
    }
}
