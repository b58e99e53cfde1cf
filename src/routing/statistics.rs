//! What has happened to requests and attempts since the start, for the log and for operators.

use poppykeel_scheduler::AttemptOutcome;

/// An outcome of attempts that is counted, with its name in metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountedOutcome {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The value of the metric's `outcome` label.
    pub name: &'static str,
}

/// The outcomes that are counted, in the order of [`RequestCounters::failed_attempts`].
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

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounters {
    /// Requests taken.
    pub arrived: u64,
    /// Requests whose stream was complete.
    pub completed: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed before any token was sent to the client.
    pub failed: u64,
    /// Requests whose stream broke after its first token.
    pub broken: u64,
    /// Requests whose client disconnected first.
    pub disconnected: u64,
    /// Attempts started.
    pub attempts_started: u64,
    /// Attempts by outcome, in the order of [`COUNTED_OUTCOMES`].
    pub failed_attempts: [u64; COUNTED_OUTCOMES.len()],
}

/// How many attempts have ended with one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeCount {
    /// The outcome's name in metrics.
    pub outcome: &'static str,
    /// How many attempts.
    pub count: u64,
}

/// Responses to the requests of one class since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Streams that were complete.
    pub completed: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed, broken streams among them.
    pub failed: u64,
}

/// All counts of one router.
#[derive(Debug, Default)]
pub(super) struct Statistics {
    counters: RequestCounters,
    responses_by_class: Vec<ResponseCounts>,
}

impl Statistics {
    /// The counts over all classes.
    pub(super) fn counters(&self) -> RequestCounters {
        self.counters
    }

    /// The responses to requests of this class.
    pub(super) fn responses(&self, class: usize) -> ResponseCounts {
        self.responses_by_class
            .get(class)
            .copied()
            .unwrap_or_default()
    }

    /// Attempts that ended with one of the counted outcomes.
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

    /// A request has been taken.
    pub(super) fn count_arrival(&mut self) {
        self.counters.arrived += 1;
    }

    /// The client of a request has disconnected before its end.
    pub(super) fn count_disconnect(&mut self) {
        self.counters.disconnected += 1;
    }

    /// An attempt has been started.
    pub(super) fn count_attempt(&mut self) {
        self.counters.attempts_started += 1;
    }

    /// An attempt has ended.
    pub(super) fn count_attempt_end(&mut self, outcome: AttemptOutcome) {
        let place = COUNTED_OUTCOMES
            .iter()
            .position(|counted| counted.outcome == outcome);
        if let Some(place) = place {
            self.counters.failed_attempts[place] += 1;
        }
    }

    /// The stream of a request of this class has ended.
    pub(super) fn count_stream_end(&mut self, class: usize, is_complete: bool) {
        if is_complete {
            self.counters.completed += 1;
            self.responses_of(class).completed += 1;
        } else {
            self.counters.broken += 1;
            self.responses_of(class).failed += 1;
        }
    }

    /// A request of this class has been rejected.
    pub(super) fn count_rejection(&mut self, class: usize) {
        self.counters.rejected += 1;
        self.responses_of(class).rejected += 1;
    }

    /// A request of this class has failed before its first token.
    pub(super) fn count_failure(&mut self, class: usize) {
        self.counters.failed += 1;
        self.responses_of(class).failed += 1;
    }

    fn responses_of(&mut self, class: usize) -> &mut ResponseCounts {
        if self.responses_by_class.len() <= class {
            self.responses_by_class
                .resize(class + 1, ResponseCounts::default());
        }
        &mut self.responses_by_class[class]
    }
}
