//! The fleet's wall clock: the median of the wall clocks of all members, as estimated by the node that makes the fleet's report.
//!
//! Any clock may be wrong by a year, this node's too. A member's clock is remembered by its difference to this process's
//! monotonic clock, which stays the same while neither is set, so a member that does not answer in time still counts. No time
//! is given while too few clocks are known: the median of whoever answers would depend on who does.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// A member's clock is forgotten this long after its last answer: until then two clocks drift apart by milliseconds.
const MAX_AGE: Duration = Duration::from_secs(60);
/// How long the clocks of all members are awaited. Then a majority is enough.
const COMPLETION_WAIT: Duration = Duration::from_secs(2);

/// A member's wall clock at a time of this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    /// Microseconds of Unix time.
    unix_us: u64,
    read_at: Instant,
}

impl ClockReading {
    /// What the clock shows now, in microseconds of Unix time.
    fn shows_at(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.read_at);
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.unix_us.saturating_add(elapsed_us)
    }
}

/// The clocks of too few members are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the clocks of {known} of {members} members are known")]
pub(super) struct TooFewClocks {
    pub(super) known: usize,
    pub(super) members: usize,
}

/// The known clocks of the fleet's members.
#[derive(Debug, Default)]
pub(super) struct FleetClock {
    readings: BTreeMap<String, ClockReading>,
    /// Since when the clock of a member has been unknown; `None` while all are known.
    incomplete_since: Option<Instant>,
}

impl FleetClock {
    /// Records what a member's clock has shown, in microseconds of Unix time.
    pub(super) fn record(&mut self, member: &str, unix_us: u64, read_at: Instant) {
        let reading = ClockReading { unix_us, read_at };
        self.readings.insert(member.to_string(), reading);
    }

    /// The fleet's time, in microseconds of Unix time, given the names of the members that are known now.
    ///
    /// # Errors
    ///
    /// Fails while the clock of a member is unknown, for [`COMPLETION_WAIT`] at most, and while those of half of the members
    /// or more are.
    pub(super) fn now(
        &mut self,
        members: &BTreeSet<String>,
        now: Instant,
    ) -> Result<u64, TooFewClocks> {
        self.readings
            .retain(|_, reading| now.saturating_duration_since(reading.read_at) < MAX_AGE);
        let is_known = |member: &&String| self.readings.contains_key(*member);
        let known = members.iter().filter(is_known).count();
        let has_waited = if known == members.len() {
            self.incomplete_since = None;
            true
        } else {
            let since = *self.incomplete_since.get_or_insert(now);
            now.saturating_duration_since(since) >= COMPLETION_WAIT
        };
        if !has_waited || known * 2 <= members.len() {
            let members = members.len();
            return Err(TooFewClocks { known, members });
        }
        Ok(self.median(now))
    }

    /// The median of all known clocks, also those of members that have left since.
    fn median(&self, now: Instant) -> u64 {
        let mut clocks: Vec<u64> = self
            .readings
            .values()
            .map(|reading| reading.shows_at(now))
            .collect();
        clocks.sort_unstable();
        clocks.get(clocks.len() / 2).copied().unwrap_or(0)
    }
}
