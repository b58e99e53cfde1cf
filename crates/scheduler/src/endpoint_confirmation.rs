//! Whether the endpoint list is known to be current, and what a router goes by while it is not.
//!
//! A list is current while discovery has answered and is asked again. One that was restored from an earlier process, whose
//! polls fail, or of which only a part has come may lack drains and removals of which the router already counts as notified.
//! Where replicas may be probed, an attempt then goes only to a replica that has just answered a probe well: a draining
//! replica declines its probes. Where they may not, requests wait for the first answer after a start, and for a whole
//! answer after a part of one, for a bounded time; else the last list is used, since without it an outage of discovery would be an outage of the
//! whole service.
//!
//! Invariant: while the list is not current, the first byte of each attempt follows evidence from the replica itself within
//! the grace for draining. Whenever the replica has begun to drain since then, the attempt is within the grace. Half of the
//! grace is for the age of the evidence when the attempt is placed; the other half, less the time for which a process may be
//! held up, is for its connection ([`max_write_start_delay`]).

use crate::types::Seconds;

/// A router can be held up for this long between reading its clock and writing an attempt.
const MAX_WRITE_DELAY: Seconds = 0.15;
/// Evidence is used, and connections are waited for, for this long at least, however short the grace is: nothing would ever
/// be young enough else.
const MIN_LIFETIME: Seconds = 0.05;
/// The age that evidence may have when an attempt is placed, as a part of the grace for draining.
const EVIDENCE_PART: f64 = 0.5;
/// A replica that has declined a probe is not probed again for this long.
const DECLINE_LIFETIME: Seconds = 0.5;
/// A replica that leaves a probe unanswered for this long is passed over.
const PROBE_PATIENCE: Seconds = 0.1;
/// Requests wait for a poll for this long at most: by then clients prefer an answer by the list that there is.
const MAX_POLL_WAIT: Seconds = 3.0;

/// How long a replica's answer to a probe stands for a current list, by the grace for draining.
pub(crate) fn evidence_lifetime(drain_grace: Seconds) -> Seconds {
    (drain_grace * EVIDENCE_PART).max(MIN_LIFETIME)
}

/// An attempt must begin to be written within this many seconds of being placed if the endpoint list is not current then; by
/// the grace for draining in seconds.
pub fn max_write_start_delay(drain_grace: Seconds) -> Seconds {
    (drain_grace * (1.0 - EVIDENCE_PART) - MAX_WRITE_DELAY).max(MIN_LIFETIME)
}

/// What is known of the age of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ListConfirmation {
    /// It is current.
    #[default]
    Confirmed,
    /// It is of an earlier process, and no poll of this one was answered.
    Restored {
        /// When it was restored.
        at: Seconds,
    },
    /// A part of an answer has come, which may have told of a drain.
    Incomplete {
        /// When it came.
        at: Seconds,
    },
    /// It was current once, or may be: the last poll has failed or is overdue.
    Unconfirmed,
}

impl ListConfirmation {
    pub(crate) fn is_confirmed(self) -> bool {
        self == ListConfirmation::Confirmed
    }

    /// Whether requests wait for a poll, at a site where replicas can't be probed.
    pub(crate) fn awaits_poll(self, now: Seconds) -> bool {
        match self {
            ListConfirmation::Restored { at } | ListConfirmation::Incomplete { at } => {
                now < at + MAX_POLL_WAIT
            }
            ListConfirmation::Confirmed | ListConfirmation::Unconfirmed => false,
        }
    }

    /// A poll may have missed something. A restored list still waits for an answer.
    pub(crate) fn mark_unconfirmed(&mut self) {
        if self.is_confirmed() {
            *self = ListConfirmation::Unconfirmed;
        }
    }

    /// A part of an answer has come. Further parts do not prolong the wait for the whole.
    pub(crate) fn mark_incomplete(&mut self, now: Seconds) {
        if !matches!(self, ListConfirmation::Incomplete { .. }) {
            *self = ListConfirmation::Incomplete { at: now };
        }
    }

    /// Nothing listens at discovery's address: there is nobody to wait for.
    pub(crate) fn mark_unreachable(&mut self) {
        *self = ListConfirmation::Unconfirmed;
    }
}

/// What one replica's answers to probes say of whether it takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReplicaEvidence {
    /// When the last probe was sent that was answered well.
    accepted_at: Option<Seconds>,
    /// When a probe was last declined or unanswered.
    declined_at: Option<Seconds>,
    probes_in_flight: usize,
    /// When the first of the probes in flight was sent, or an earlier one: an answer counts from no later time.
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

    /// The replica has declined a probe or an attempt, or can't be reached.
    pub(crate) fn record_declined(&mut self, now: Seconds) {
        self.accepted_at = None;
        self.declined_at = Some(now);
    }

    /// Whether the replica has said within `lifetime` that it takes requests.
    pub(crate) fn is_valid(&self, now: Seconds, lifetime: Seconds) -> bool {
        self.accepted_at.is_some_and(|at| now < at + lifetime)
    }

    pub(crate) fn has_probe_in_flight(&self) -> bool {
        self.probes_in_flight > 0
    }

    /// Whether another replica is to be asked.
    pub(crate) fn is_unlikely(&self, now: Seconds) -> bool {
        let has_declined = self
            .declined_at
            .is_some_and(|at| now < at + DECLINE_LIFETIME);
        let is_unanswered = self.has_probe_in_flight() && now > self.sent_at + PROBE_PATIENCE;
        has_declined || is_unanswered
    }
}

#[cfg(test)]
mod tests;
