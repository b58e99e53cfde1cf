//! Counters of requests and attempts since the process started, for logs and metrics.

use poppykeel_scheduler::AttemptOutcome;

/// A counted attempt outcome with its name in metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountedOutcome {
    /// How the attempts ended that are counted under `name`.
    pub outcome: AttemptOutcome,
    /// Value of the `outcome` label in metrics.
    pub name: &'static str,
}

/// The counted outcomes, in the order of [`RequestCounters::failed_attempts`].
pub const COUNTED_OUTCOMES: [CountedOutcome; 7] = [
    counted(AttemptOutcome::ServerError, "error"),
    counted(AttemptOutcome::AtCapacity, "full"),
    counted(AttemptOutcome::TimedOut, "timed_out"),
    counted(AttemptOutcome::ConnectFailed, "connect_failed"),
    counted(AttemptOutcome::ConnectionReset, "reset"),
    counted(AttemptOutcome::Cancelled, "cancelled"),
    counted(AttemptOutcome::InvalidRequest, "rejected"),
];

const fn counted(outcome: AttemptOutcome, name: &'static str) -> CountedOutcome {
    CountedOutcome { outcome, name }
}

/// Counters since the process started, over all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounters {
    /// Requests received.
    pub arrived: u64,
    /// Requests with a complete stream.
    pub completed: u64,
    /// Requests rejected by the node.
    pub rejected: u64,
    /// Requests that failed before any token was sent to the client.
    pub failed: u64,
    /// Requests whose stream broke after its first token.
    pub broken: u64,
    /// Requests whose client disconnected before the end of the response.
    pub disconnected: u64,
    /// Attempts started, without those that were not sent because their request already had a response.
    pub attempts_started: u64,
    /// Numbers of attempts that ended with each of [`COUNTED_OUTCOMES`], in their order.
    pub failed_attempts: [u64; COUNTED_OUTCOMES.len()],
}

/// Number of attempts that ended with one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeCount {
    /// The outcome's name in metrics.
    pub outcome: &'static str,
    /// Number of attempts.
    pub count: u64,
}

/// Responses to requests of one class since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Complete streams.
    pub completed: u64,
    /// Requests rejected by the node.
    pub rejected: u64,
    /// Failed requests, including those with a broken stream.
    pub failed: u64,
}

#[derive(Debug, Default)]
pub(super) struct Statistics {
    counters: RequestCounters,
    responses_by_class: Vec<ResponseCounts>,
}

impl Statistics {
    pub(super) fn counters(&self) -> RequestCounters {
        self.counters
    }

    pub(super) fn responses(&self, class: usize) -> ResponseCounts {
        self.responses_by_class
            .get(class)
            .copied()
            .unwrap_or_default()
    }

    /// Number of attempts per counted outcome, in the order of [`COUNTED_OUTCOMES`].
    pub(super) fn failed_attempts(&self) -> Vec<OutcomeCount> {
        COUNTED_OUTCOMES
            .iter()
            .zip(self.counters.failed_attempts)
            .map(|(counted, count)| OutcomeCount {
                outcome: counted.name,
                count,
            })
            .collect()
    }

    pub(super) fn count_arrival(&mut self) {
        self.counters.arrived += 1;
    }

    /// Counts a client that has disconnected before the end of its response.
    pub(super) fn count_disconnect(&mut self) {
        self.counters.disconnected += 1;
    }

    pub(super) fn count_attempt(&mut self) {
        self.counters.attempts_started += 1;
    }

    /// Counts an ended attempt if its outcome is one of [`COUNTED_OUTCOMES`].
    pub(super) fn count_attempt_end(&mut self, outcome: AttemptOutcome) {
        let index = COUNTED_OUTCOMES
            .iter()
            .position(|counted| counted.outcome == outcome);
        if let Some(index) = index {
            self.counters.failed_attempts[index] += 1;
        }
    }

    pub(super) fn count_stream_end(&mut self, class: usize, is_complete: bool) {
        if is_complete {
            self.counters.completed += 1;
            self.responses_mut(class).completed += 1;
        } else {
            self.counters.broken += 1;
            self.responses_mut(class).failed += 1;
        }
    }

    pub(super) fn count_rejection(&mut self, class: usize) {
        self.counters.rejected += 1;
        self.responses_mut(class).rejected += 1;
    }

    /// Counts a request that has failed before its first token.
    pub(super) fn count_failure(&mut self, class: usize) {
        self.counters.failed += 1;
        self.responses_mut(class).failed += 1;
    }

    fn responses_mut(&mut self, class: usize) -> &mut ResponseCounts {
        if self.responses_by_class.len() <= class {
            self.responses_by_class
                .resize(class + 1, ResponseCounts::default());
        }
        &mut self.responses_by_class[class]
    }
}
