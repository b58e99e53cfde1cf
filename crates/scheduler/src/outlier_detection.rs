//! Health of replicas as this router's attempts show it: failures in a row, ejection, trials and unresponsive replicas.
//!
//! A replica is ejected after [`EJECTION_FAILURES`] failures in a row, or streams in a row that broke after their first
//! token, or while it is unresponsive. An ejected replica gets one attempt as a trial after each pause. In panic mode,
//! when more than half of the available replicas are ejected, the cause is likely shared, and pauses are ignored.

use crate::types::Seconds;

/// Failures in a row that eject a replica.
const EJECTION_FAILURES: u32 = 3;
/// An ejected replica gets one trial in this time; a replica that was at capacity is left alone as long.
const PAUSE: Seconds = 0.7;
/// A trial of a replica whose streams break costs a client its answer: the pause doubles with each, up to so often.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// After being unresponsive for longer than this a replica may have been restarted.
pub(crate) const RESTART_SUSPICION: Seconds = 2.0;

/// The first attempt sent to a replica since its last response.
struct UnansweredAttempt {
    sent_at: Seconds,
    /// When its first token was due at the latest.
    overdue_at: Seconds,
}

impl UnansweredAttempt {
    const NONE: UnansweredAttempt = UnansweredAttempt {
        sent_at: f64::NEG_INFINITY,
        overdue_at: 0.0,
    };
}

/// The health of one replica.
pub(crate) struct ReplicaHealth {
    last_response_at: Seconds,
    unanswered: UnansweredAttempt,
    consecutive_failures: u32,
    /// Streams in a row that stalled or broke after their first token.
    consecutive_stream_failures: u32,
    last_stream_failure_at: Seconds,
    unresponsive_since: Option<Seconds>,
    paused_until: Seconds,
}

impl ReplicaHealth {
    pub(crate) fn new() -> Self {
        ReplicaHealth {
            last_response_at: 0.0,
            unanswered: UnansweredAttempt::NONE,
            consecutive_failures: 0,
            consecutive_stream_failures: 0,
            last_stream_failure_at: f64::NEG_INFINITY,
            unresponsive_since: None,
            paused_until: 0.0,
        }
    }

    /// A new process forgets what the one before it has shown.
    pub(crate) fn restart(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_stream_failures = 0;
        self.unresponsive_since = None;
        self.paused_until = 0.0;
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.is_unresponsive()
            || self.consecutive_failures >= EJECTION_FAILURES
            || self.consecutive_stream_failures >= EJECTION_FAILURES
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unresponsive_since.is_some()
    }

    /// Whether the replica may be sent an attempt, which is a trial if it is ejected.
    pub(crate) fn accepts_attempts(&self, now: Seconds, is_panic_mode: bool) -> bool {
        now >= self.paused_until || (is_panic_mode && !self.is_unresponsive())
    }

    /// Whether a session's order of replicas may have it: a replica whose streams broke would never get its trial while
    /// others have capacity, but as the session's affinity replica.
    pub(crate) fn is_affinity_candidate(&self, now: Seconds) -> bool {
        let is_trial_due = self.consecutive_failures < EJECTION_FAILURES
            && !self.is_unresponsive()
            && now >= self.paused_until;
        !self.is_ejected() || is_trial_due
    }

    /// How long ago the first attempt since the last response was sent, once its first token is overdue.
    pub(crate) fn overdue_since(&self, now: Seconds) -> Option<Seconds> {
        let is_overdue =
            self.unanswered.sent_at > self.last_response_at && now > self.unanswered.overdue_at;
        is_overdue.then_some(now - self.unanswered.sent_at)
    }

    pub(crate) fn last_response_at(&self) -> Seconds {
        self.last_response_at
    }

    /// When the last answer came, if nothing has failed since.
    pub(crate) fn last_success_at(&self) -> Option<Seconds> {
        let has_failed = self.consecutive_failures > 0 || self.consecutive_stream_failures > 0;
        Some(self.last_response_at).filter(|at| !has_failed && *at > 0.0)
    }

    /// An attempt was sent that is overdue after this long. If the replica is ejected this was its trial, and the next
    /// pause begins, longer the more streams have broken in a row.
    pub(crate) fn record_attempt(&mut self, now: Seconds, overdue_after: Seconds) {
        if self.unanswered.sent_at <= self.last_response_at {
            self.unanswered = UnansweredAttempt {
                sent_at: now,
                overdue_at: now + overdue_after,
            };
        }
        if self.is_ejected() {
            let doublings = self
                .consecutive_stream_failures
                .saturating_sub(EJECTION_FAILURES)
                .min(MAX_PAUSE_DOUBLINGS);
            self.paused_until = now + PAUSE * f64::from(1 << doublings);
        }
    }

    /// The replica has answered a request (a probe shows only that its process runs). Returns since when it had been
    /// unresponsive, if it was.
    pub(crate) fn record_response(&mut self, now: Seconds, is_answer: bool) -> Option<Seconds> {
        self.last_response_at = now;
        if is_answer {
            self.consecutive_failures = 0;
        }
        self.unresponsive_since.take()
    }

    /// A stream came to its end: the replica's streams are whole again.
    pub(crate) fn record_stream_completed(&mut self, now: Seconds) {
        if self.consecutive_stream_failures > 0 {
            if self.is_ejected() {
                self.paused_until = now;
            }
            self.consecutive_stream_failures = 0;
        }
    }

    /// A stream stalled or broke after its first token. Streams of one crash break together and count once.
    pub(crate) fn record_stream_failure(&mut self, now: Seconds, attempt_sent_at: Seconds) {
        if attempt_sent_at <= self.last_stream_failure_at {
            return;
        }
        self.consecutive_stream_failures += 1;
        self.last_stream_failure_at = now;
        if self.consecutive_stream_failures == EJECTION_FAILURES {
            self.paused_until = now + PAUSE;
        }
    }

    /// An attempt failed. A replica that fails at once has capacity again at once and would draw every queued request:
    /// after some failures in a row it is paused.
    pub(crate) fn record_failure(&mut self, now: Seconds) {
        self.consecutive_failures += 1;
        // It responds, if badly.
        self.unanswered = UnansweredAttempt::NONE;
        if self.consecutive_failures == EJECTION_FAILURES {
            self.paused_until = now + PAUSE;
        }
    }

    /// The replica turned an attempt away because it is full.
    pub(crate) fn record_at_capacity(&mut self, now: Seconds) {
        self.pause(now);
        self.last_response_at = now;
    }

    /// Leaves the replica alone for a while.
    pub(crate) fn pause(&mut self, now: Seconds) {
        self.paused_until = self.paused_until.max(now + PAUSE);
    }

    /// Marks the replica as unresponsive: it keeps what it has until the timeout, and nothing may follow it there. Where
    /// probes are allowed they find it well again; else a trial must.
    pub(crate) fn mark_unresponsive(&mut self, now: Seconds, allows_probes: bool) {
        self.unresponsive_since = Some(now);
        self.paused_until = if allows_probes {
            f64::INFINITY
        } else {
            now + PAUSE
        };
    }
}

/// Whether so many replicas are ejected that their common cause must lie elsewhere.
pub(crate) fn is_panic_mode(ejected_count: usize, available_count: usize) -> bool {
    2 * ejected_count > available_count
}

#[cfg(test)]
mod tests;
