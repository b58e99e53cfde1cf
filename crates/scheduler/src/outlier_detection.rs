//! Outlier detection from this router's attempts: consecutive failures, ejection, trials and unresponsive replicas.
//!
//! A replica is ejected after [`EJECTION_FAILURES`] consecutive failures, after as many consecutive streams that broke after
//! their first token, or while it is unresponsive. An ejected replica gets one attempt as a trial after each pause. If more
//! than half of the available replicas are ejected (panic mode), they probably have a common cause, and pauses are ignored.

use crate::types::Seconds;

/// Number of consecutive failures that eject a replica.
const EJECTION_FAILURES: u32 = 3;
/// The pause between the trials of an ejected replica, and after a replica has declined an attempt for lack of capacity.
const PAUSE_DURATION: Seconds = 0.7;
/// The pause doubles with each failed trial of a replica whose streams break, at most this many times, because each such
/// trial costs a client its answer.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// A replica that was unresponsive for longer than this may have restarted.
pub(crate) const RESTART_SUSPECTED_AFTER: Seconds = 2.0;

/// The first attempt sent to a replica since its last response.
struct UnansweredAttempt {
    sent_at: Seconds,
    /// When its first token becomes overdue.
    overdue_at: Seconds,
}

impl UnansweredAttempt {
    const NONE: UnansweredAttempt = UnansweredAttempt {
        sent_at: f64::NEG_INFINITY,
        overdue_at: 0.0,
    };
}

pub(crate) struct ReplicaHealth {
    last_response_at: Seconds,
    unanswered: UnansweredAttempt,
    consecutive_failures: u32,
    /// Consecutive streams that stalled or broke after their first token.
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

    /// Resets the health after a restart of the replica's process.
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

    /// Whether the replica may be sent an attempt, which is a trial if the replica is ejected.
    pub(crate) fn accepts_attempts(&self, now: Seconds, is_panic_mode: bool) -> bool {
        now >= self.paused_until || (is_panic_mode && !self.is_unresponsive())
    }

    /// Whether the replica may be an affinity candidate. A replica that is ejected for broken streams may be one when its
    /// trial is due, because while other replicas have capacity it gets a trial only as an affinity replica.
    pub(crate) fn is_affinity_candidate(&self, now: Seconds) -> bool {
        let is_trial_due = self.consecutive_failures < EJECTION_FAILURES
            && !self.is_unresponsive()
            && now >= self.paused_until;
        !self.is_ejected() || is_trial_due
    }

    /// Time since the first attempt after the last response, if that attempt is overdue.
    pub(crate) fn overdue_since(&self, now: Seconds) -> Option<Seconds> {
        let is_overdue =
            self.unanswered.sent_at > self.last_response_at && now > self.unanswered.overdue_at;
        is_overdue.then_some(now - self.unanswered.sent_at)
    }

    pub(crate) fn last_response_at(&self) -> Seconds {
        self.last_response_at
    }

    /// Time of the last response; `None` if there was none or an attempt or a stream has failed since.
    pub(crate) fn last_success_at(&self) -> Option<Seconds> {
        let has_failed = self.consecutive_failures > 0 || self.consecutive_stream_failures > 0;
        Some(self.last_response_at).filter(|at| !has_failed && *at > 0.0)
    }

    /// Records an attempt that becomes overdue after `overdue_delay`. If the replica is ejected, the attempt is a trial, and
    /// the next pause begins, which is longer after more consecutive broken streams.
    pub(crate) fn record_attempt(&mut self, now: Seconds, overdue_delay: Seconds) {
        if self.unanswered.sent_at <= self.last_response_at {
            self.unanswered = UnansweredAttempt {
                sent_at: now,
                overdue_at: now + overdue_delay,
            };
        }
        if self.is_ejected() {
            let doublings = self
                .consecutive_stream_failures
                .saturating_sub(EJECTION_FAILURES)
                .min(MAX_PAUSE_DOUBLINGS);
            self.paused_until = now + PAUSE_DURATION * f64::from(1 << doublings);
        }
    }

    /// Records a response. Only an answer to a request (`is_answer`) resets the failures, because a probe shows only that
    /// the process runs. Returns since when the replica was unresponsive; `None` if it was not.
    pub(crate) fn record_response(&mut self, now: Seconds, is_answer: bool) -> Option<Seconds> {
        self.last_response_at = now;
        if is_answer {
            self.consecutive_failures = 0;
        }
        self.unresponsive_since.take()
    }

    /// Records a complete stream, which ends an ejection for broken streams.
    pub(crate) fn record_stream_completed(&mut self, now: Seconds) {
        if self.consecutive_stream_failures > 0 {
            if self.is_ejected() {
                self.paused_until = now;
            }
            self.consecutive_stream_failures = 0;
        }
    }

    /// Records a stream that stalled or broke after its first token. Streams that started before the last such failure are
    /// ignored, because a crash breaks all streams at once and must count once.
    pub(crate) fn record_stream_failure(&mut self, now: Seconds, attempt_sent_at: Seconds) {
        if attempt_sent_at <= self.last_stream_failure_at {
            return;
        }
        self.consecutive_stream_failures += 1;
        self.last_stream_failure_at = now;
        if self.consecutive_stream_failures == EJECTION_FAILURES {
            self.paused_until = now + PAUSE_DURATION;
        }
    }

    /// Records a failed attempt. A replica that fails immediately always has capacity and would attract every queued
    /// request, so it is paused after several consecutive failures.
    pub(crate) fn record_failure(&mut self, now: Seconds) {
        self.consecutive_failures += 1;
        // A failure is a response too.
        self.unanswered = UnansweredAttempt::NONE;
        if self.consecutive_failures == EJECTION_FAILURES {
            self.paused_until = now + PAUSE_DURATION;
        }
    }

    /// Records that the replica declined an attempt because it is at capacity.
    pub(crate) fn record_at_capacity(&mut self, now: Seconds) {
        self.pause(now);
        self.last_response_at = now;
    }

    /// Pauses the replica: it gets no attempts for a while.
    pub(crate) fn pause(&mut self, now: Seconds) {
        self.paused_until = self.paused_until.max(now + PAUSE_DURATION);
    }

    /// Marks the replica as unresponsive: it keeps its attempts until their timeout but gets no new ones. Its recovery is
    /// detected by probes if they are allowed, otherwise by a trial.
    pub(crate) fn mark_unresponsive(&mut self, now: Seconds, allows_probes: bool) {
        self.unresponsive_since = Some(now);
        self.paused_until = if allows_probes {
            f64::INFINITY
        } else {
            now + PAUSE_DURATION
        };
    }
}

/// Whether so many of the available replicas are ejected that they probably have a common cause outside the replicas.
pub(crate) fn is_panic_mode(ejected_count: usize, available_count: usize) -> bool {
    2 * ejected_count > available_count
}

#[cfg(test)]
mod tests;
