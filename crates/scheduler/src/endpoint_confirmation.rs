//! Tracks whether the endpoint list is known to be current, and the evidence that an attempt needs while it is not.
//!
//! The list is current while discovery answers the polls. It is not current if it was restored from an earlier process, if
//! polls fail, or if only part of an answer has arrived. It may then lack drains and removals that discovery has announced
//! and whose grace is already running.
//!
//! While the list is not current and replicas may be probed, an attempt is sent only to a replica that has recently answered
//! a probe successfully. This answer is the evidence that the replica is not draining, because a draining replica declines
//! probes. If replicas may not be probed, requests wait for a bounded time: after a start for the first answer of discovery,
//! and after a partial answer for its remaining part. In all other cases the last list is used without evidence, because
//! otherwise an outage of discovery would stop the whole service.
//!
//! Invariant: if evidence is required, the first byte of each attempt is sent within the drain grace after the evidence was
//! requested from the replica. Even if the replica has started to drain since then, the attempt is within the grace. Half of
//! the grace is allowed for the age of the evidence at placement. The other half, less the time for which the process may
//! stall, is allowed for the connection ([`max_write_start_delay`]).

use crate::time::MAX_PROCESS_STALL;
use crate::types::Seconds;

/// Lower bound of the evidence lifetime and of the time for a connection. With a very short drain grace no evidence would
/// ever be recent enough otherwise.
const MIN_LIFETIME: Seconds = 0.05;
/// The age that evidence may have at placement, as a fraction of the drain grace.
const EVIDENCE_AGE_FRACTION: f64 = 0.5;
/// A replica that has declined a probe or an attempt is not used or probed again for this long.
const DECLINE_BACKOFF: Seconds = 0.5;
/// A replica that has not answered its probe within this time is not used until the probe has ended.
const PROBE_TIMEOUT: Seconds = 0.1;
/// The longest time for which requests wait for a poll; after that an attempt based on the old list is better for clients
/// than further waiting.
const MAX_POLL_WAIT: Seconds = 3.0;

/// How long a replica's successful answer to a probe is valid as evidence.
pub(crate) fn evidence_lifetime(drain_grace: Seconds) -> Seconds {
    (drain_grace * EVIDENCE_AGE_FRACTION).max(MIN_LIFETIME)
}

/// The time, in seconds, within which the first byte of an attempt must be written after its placement, if the endpoint list
/// was not current at placement. `drain_grace` is in seconds as well.
pub fn max_write_start_delay(drain_grace: Seconds) -> Seconds {
    (drain_grace * (1.0 - EVIDENCE_AGE_FRACTION) - MAX_PROCESS_STALL).max(MIN_LIFETIME)
}

/// Whether the endpoint list is known to be current, and if not, why.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ListConfirmation {
    #[default]
    Confirmed,
    /// The list was restored at this time from an earlier process, and no poll of this process has been answered.
    Restored { at: Seconds },
    /// The first part of an answer, which may have announced a drain, arrived at this time.
    Incomplete { at: Seconds },
    /// The last poll has failed or is overdue, or nothing listens on the discovery address. Requests do not wait for a poll.
    Unconfirmed,
}

impl ListConfirmation {
    pub(crate) fn is_confirmed(self) -> bool {
        self == ListConfirmation::Confirmed
    }

    /// Whether requests wait for a poll if replicas may not be probed.
    pub(crate) fn awaits_poll(self, now: Seconds) -> bool {
        match self {
            ListConfirmation::Restored { at } | ListConfirmation::Incomplete { at } => {
                now < at + MAX_POLL_WAIT
            }
            ListConfirmation::Confirmed | ListConfirmation::Unconfirmed => false,
        }
    }

    /// Records a failed or overdue poll. Requests that wait for a poll continue to wait.
    pub(crate) fn mark_unconfirmed(&mut self) {
        if self.is_confirmed() {
            *self = ListConfirmation::Unconfirmed;
        }
    }

    /// Records that part of an answer has arrived. Further parts do not extend the wait for the complete answer.
    pub(crate) fn mark_incomplete(&mut self, now: Seconds) {
        if !matches!(self, ListConfirmation::Incomplete { .. }) {
            *self = ListConfirmation::Incomplete { at: now };
        }
    }

    /// Records that nothing listens on the discovery address, so waiting for a poll is pointless.
    pub(crate) fn mark_unreachable(&mut self) {
        *self = ListConfirmation::Unconfirmed;
    }
}

/// Evidence, from probes and declined attempts, of whether a replica accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReplicaEvidence {
    /// Send time of the last successful probe, unless the replica has declined since.
    accepted_at: Option<Seconds>,
    /// When the replica last declined a probe or an attempt or was unreachable, unless a probe has succeeded since.
    declined_at: Option<Seconds>,
    probes_in_flight: usize,
    /// Lower bound of the send times of the probes in flight. A successful answer counts as evidence of this time, because
    /// it is unknown which of the probes it answers.
    sent_at: Seconds,
}

impl ReplicaEvidence {
    pub(crate) fn record_probe_sent(&mut self, now: Seconds) {
        if self.probes_in_flight == 0 {
            self.sent_at = now;
        }
        self.probes_in_flight += 1;
    }

    pub(crate) fn record_probe_ended(&mut self, now: Seconds, is_accepted: bool) {
        if self.probes_in_flight == 0 {
            return;
        }
        self.probes_in_flight -= 1;
        if is_accepted {
            self.accepted_at = Some(self.sent_at);
            self.declined_at = None;
        } else {
            self.record_declined(now);
        }
    }

    /// Records that the replica has declined a probe or an attempt, or is unreachable.
    pub(crate) fn record_declined(&mut self, now: Seconds) {
        self.accepted_at = None;
        self.declined_at = Some(now);
    }

    /// Whether the replica has answered a probe successfully that was sent less than `lifetime` ago.
    pub(crate) fn is_valid(&self, now: Seconds, lifetime: Seconds) -> bool {
        self.accepted_at.is_some_and(|at| now < at + lifetime)
    }

    pub(crate) fn has_probe_in_flight(&self) -> bool {
        self.probes_in_flight > 0
    }

    /// Whether the replica should not be used now, because it has recently declined or has not answered its probe in time.
    pub(crate) fn is_suspect(&self, now: Seconds) -> bool {
        let has_declined = self
            .declined_at
            .is_some_and(|at| now < at + DECLINE_BACKOFF);
        let is_unanswered = self.has_probe_in_flight() && now > self.sent_at + PROBE_TIMEOUT;
        has_declined || is_unanswered
    }
}

#[cfg(test)]
mod tests;
