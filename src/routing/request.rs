//! One request and its attempts as explicit state machines. The router moves them; they decide nothing.

use super::time::MonotonicMicros;
use poppykeel_scheduler::{AttemptOutcome, RequestId};

/// Names one attempt among all attempts of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: usize,
}

/// How far a request has come. It has its one response once it has left `AwaitingResponse`.
///
/// | from | when | to |
/// | --- | --- | --- |
/// | `AwaitingResponse` | the first token of one of its attempts comes | `Streaming` |
/// | `AwaitingResponse` | the scheduler rejects or fails it | `Finished` |
/// | `AwaitingResponse`, `Streaming` | its client disconnects | `Finished` |
/// | `Streaming` | the attempt that streams ends, complete or broken | `Finished` |
///
/// A finished request is removed once all of its attempts have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// Nothing has been sent to the client.
    AwaitingResponse,
    /// The client gets the stream of one attempt.
    Streaming,
    /// The response has been given, or nobody waits for it.
    Finished,
}

/// How far an attempt has come.
///
/// | from | when | to |
/// | --- | --- | --- |
/// | (none) | the scheduler starts it for a request that has a response already | `Ended(NotSent)` |
/// | (none) | the scheduler starts it otherwise | `AwaitingFirstToken` |
/// | `AwaitingFirstToken` | its first token comes and the request has no response | `Streaming` |
/// | `AwaitingFirstToken` | its first token comes and the request has a response | `Ended(Cancelled)` |
/// | `AwaitingFirstToken` | its deadline passes | `Ended(TimedOut)` |
/// | `AwaitingFirstToken` | the scheduler cancels it | `Ended(Cancelled)` |
/// | `AwaitingFirstToken`, `Streaming` | the client disconnects | `Ended(Cancelled)` |
/// | `AwaitingFirstToken`, `Streaming` | its driver reports its end | `Ended` with the reported outcome |
///
/// Nothing leaves `Ended`: what an abandoned attempt still reports is ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptState {
    /// It has been sent, or is about to be.
    AwaitingFirstToken,
    /// Its stream is the client's response.
    Streaming,
    /// It is over.
    Ended(AttemptOutcome),
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// When it was started.
    pub(super) started_at: MonotonicMicros,
    /// Its first token must have come by then.
    pub(super) deadline: MonotonicMicros,
    /// How far it has come.
    pub(super) state: AttemptState,
}

impl Attempt {
    /// Whether the attempt is over.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.state, AttemptState::Ended(_))
    }
}

/// What the end of an attempt has meant for its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptEnd {
    /// The deadline that the attempt had.
    pub(super) deadline: MonotonicMicros,
    /// Whether the end of this attempt's stream has finished the request.
    pub(super) has_finished_request: bool,
}

/// A request that the router has taken and that is not over, or that still has attempts under way.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    class: usize,
    state: RequestState,
    attempts: Vec<Attempt>,
}

impl ActiveRequest {
    /// A request of this class that has no attempt yet.
    pub(super) fn new(class: usize) -> Self {
        ActiveRequest {
            class,
            state: RequestState::AwaitingResponse,
            attempts: Vec::new(),
        }
    }

    /// The index of its class in the site's settings.
    pub(super) fn class(&self) -> usize {
        self.class
    }

    /// Whether the final response has been given or has begun, or nobody waits for it.
    pub(super) fn has_response(&self) -> bool {
        self.state != RequestState::AwaitingResponse
    }

    /// Whether nothing more goes to the client.
    pub(super) fn is_finished(&self) -> bool {
        self.state == RequestState::Finished
    }

    /// Whether the request is finished and all of its attempts have ended.
    pub(super) fn can_be_removed(&self) -> bool {
        self.is_finished() && self.attempts.iter().all(Attempt::has_ended)
    }

    /// How many attempts have been started so far.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// The attempt of this number.
    pub(super) fn attempt(&self, number: usize) -> Option<&Attempt> {
        self.attempts.get(number)
    }

    /// The outcome of the last attempt, in the order of their starts, that has ended.
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

    /// Makes the stream of this attempt the response.
    pub(super) fn begin_streaming(&mut self, number: usize) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.state = AttemptState::Streaming;
            self.state = RequestState::Streaming;
        }
    }

    /// Ends an attempt; `None` where there is no such attempt or it has ended before.
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
        // The end of a stream is the end of its request, also where the stream broke.
        let has_finished_request = was_streaming && !self.is_finished();
        if has_finished_request {
            self.state = RequestState::Finished;
        }
        Some(AttemptEnd {
            deadline,
            has_finished_request,
        })
    }

    /// The response has been given, or nobody waits for it any more.
    pub(super) fn finish(&mut self) {
        self.state = RequestState::Finished;
    }
}

#[cfg(test)]
mod tests;
