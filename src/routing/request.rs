//! State machines of a request and its attempts. The router triggers all transitions.

use super::time::MonotonicMicros;
use poppykeel_scheduler::{AttemptOutcome, RequestId};

/// Identifies an attempt among all attempts of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: usize,
}

/// The state of a request. A request that has left `AwaitingResponse` gets no other response.
///
/// | from | when | to |
/// | --- | --- | --- |
/// | `AwaitingResponse` | the first token of one of its attempts arrives | `Streaming` |
/// | `AwaitingResponse` | the scheduler rejects or fails it | `Finished` |
/// | `AwaitingResponse`, `Streaming` | its client disconnects | `Finished` |
/// | `Streaming` | the streaming attempt ends, complete or broken | `Finished` |
///
/// A finished request is removed once all of its attempts have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// Nothing of a final response has been sent to the client.
    AwaitingResponse,
    /// The stream of one attempt is being forwarded to the client.
    Streaming,
    /// The response has ended, or the client has disconnected.
    Finished,
}

/// The state of an attempt.
///
/// | from | when | to |
/// | --- | --- | --- |
/// | (none) | the scheduler starts it for a request that has a response already | `Ended(NotSent)` |
/// | (none) | the scheduler starts it otherwise | `AwaitingFirstToken` |
/// | `AwaitingFirstToken` | its first token arrives and the request has no response | `Streaming` |
/// | `AwaitingFirstToken` | its first token arrives and the request has a response | `Ended(Cancelled)` |
/// | `AwaitingFirstToken` | its deadline passes | `Ended(TimedOut)` |
/// | `AwaitingFirstToken` | the scheduler cancels it | `Ended(Cancelled)` |
/// | `AwaitingFirstToken`, `Streaming` | the client disconnects | `Ended(Cancelled)` |
/// | `AwaitingFirstToken`, `Streaming` | the driver reports its end | `Ended` with the reported outcome |
///
/// `Ended` is final: later events of an abandoned attempt are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptState {
    /// The request has been sent to the replica or is about to be.
    AwaitingFirstToken,
    /// The attempt's stream is the response to the client.
    Streaming,
    Ended(AttemptOutcome),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) started_at: MonotonicMicros,
    /// The attempt times out if its first token has not arrived by this time.
    pub(super) deadline: MonotonicMicros,
    pub(super) state: AttemptState,
}

impl Attempt {
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.state, AttemptState::Ended(_))
    }
}

/// The effect of the end of an attempt on its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptEnd {
    /// The first-token deadline of the attempt, for which a timer is set.
    pub(super) deadline: MonotonicMicros,
    /// Whether the attempt was streaming and its end has finished the request.
    pub(super) has_finished_request: bool,
}

/// A request that has not finished, or that still has attempts in progress.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    class: usize,
    state: RequestState,
    attempts: Vec<Attempt>,
}

impl ActiveRequest {
    /// Creates a request without attempts. `class` is an index in the site settings.
    pub(super) fn new(class: usize) -> Self {
        ActiveRequest {
            class,
            state: RequestState::AwaitingResponse,
            attempts: Vec::new(),
        }
    }

    /// Index of the class in the site settings.
    pub(super) fn class(&self) -> usize {
        self.class
    }

    /// Whether a final response has been started, or is no longer needed because the client has disconnected.
    pub(super) fn has_response(&self) -> bool {
        self.state != RequestState::AwaitingResponse
    }

    /// Whether nothing more will be sent to the client.
    pub(super) fn is_finished(&self) -> bool {
        self.state == RequestState::Finished
    }

    pub(super) fn can_be_removed(&self) -> bool {
        self.is_finished() && self.attempts.iter().all(Attempt::has_ended)
    }

    /// Number of attempts started so far, including ended ones.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn attempt(&self, number: usize) -> Option<&Attempt> {
        self.attempts.get(number)
    }

    /// Returns the outcome of the most recently started attempt among those that have ended.
    pub(super) fn last_attempt_outcome(&self) -> Option<AttemptOutcome> {
        self.attempts
            .iter()
            .rev()
            .find_map(|attempt| match attempt.state {
                AttemptState::Ended(outcome) => Some(outcome),
                AttemptState::AwaitingFirstToken | AttemptState::Streaming => None,
            })
    }

    /// Adds an attempt that awaits its first token, and returns its number.
    pub(super) fn add_attempt(
        &mut self,
        started_at: MonotonicMicros,
        deadline: MonotonicMicros,
    ) -> usize {
        self.attempts.push(Attempt {
            started_at,
            deadline,
            state: AttemptState::AwaitingFirstToken,
        });
        self.attempts.len() - 1
    }

    /// Makes the stream of this attempt the response to the client.
    pub(super) fn begin_streaming(&mut self, number: usize) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.state = AttemptState::Streaming;
            self.state = RequestState::Streaming;
        }
    }

    /// Ends an attempt. Returns `None` if the attempt does not exist or has already ended.
    pub(super) fn end_attempt(
        &mut self,
        number: usize,
        outcome: AttemptOutcome,
    ) -> Option<AttemptEnd> {
        let attempt = self.attempts.get_mut(number)?;
        if attempt.has_ended() {
            return None;
        }
        let was_streaming = attempt.state == AttemptState::Streaming;
        attempt.state = AttemptState::Ended(outcome);
        let deadline = attempt.deadline;
        // The end of the stream finishes the request, even if the stream broke.
        let has_finished_request = was_streaming && !self.is_finished();
        if has_finished_request {
            self.state = RequestState::Finished;
        }
        Some(AttemptEnd {
            deadline,
            has_finished_request,
        })
    }

    /// Marks the request as finished: its response has ended or the client has disconnected.
    pub(super) fn finish(&mut self) {
        self.state = RequestState::Finished;
    }
}

#[cfg(test)]
mod tests;
