//! One attempt of a request at a replica, as an explicit state machine.

use crate::prompt_cache::CacheSource;
use crate::types::{AttemptOutcome, ReplicaId, Seconds};

/// The state of an attempt.
///
/// | from | event | to |
/// |---|---|---|
/// | (none) | the attempt is started | `AwaitingFirstToken` |
/// | `AwaitingFirstToken` | cancellation is requested | `AwaitingFirstToken` with `is_cancelled` |
/// | `AwaitingFirstToken` | first token | `Streaming` |
/// | `AwaitingFirstToken`, `Streaming` | the attempt ends | `Ended` |
///
/// A cancelled attempt may still have a first token that was on its way. All other events are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    AwaitingFirstToken { is_cancelled: bool },
    Streaming,
    Ended { may_have_run: bool },
}

/// One attempt.
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaId,
    pub(crate) sent_at: Seconds,
    /// Its prompt tokens still to be read at the replica.
    pub(crate) unread_tokens: f64,
    /// What the replica was expected to have in its cache.
    pub(crate) cache_source: CacheSource,
    /// Estimated time to the first token.
    pub(crate) estimate: Seconds,
    state: AttemptState,
}

impl Attempt {
    pub(crate) fn new(
        replica: ReplicaId,
        sent_at: Seconds,
        unread_tokens: f64,
        cache_source: CacheSource,
        estimate: Seconds,
    ) -> Self {
        Attempt {
            replica,
            sent_at,
            unread_tokens,
            cache_source,
            estimate,
            state: AttemptState::AwaitingFirstToken {
                is_cancelled: false,
            },
        }
    }

    pub(crate) fn is_awaiting_first_token(&self) -> bool {
        matches!(self.state, AttemptState::AwaitingFirstToken { .. })
    }

    pub(crate) fn is_streaming(&self) -> bool {
        self.state == AttemptState::Streaming
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Ended { .. })
    }

    /// The attempt is in flight, or it has ended so that the replica may have worked on it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state
            != AttemptState::Ended {
                may_have_run: false,
            }
    }

    /// Requests the cancellation; false where there is nothing to cancel.
    pub(crate) fn cancel(&mut self) -> bool {
        let is_cancellable = self.state
            == AttemptState::AwaitingFirstToken {
                is_cancelled: false,
            };
        if is_cancellable {
            self.state = AttemptState::AwaitingFirstToken { is_cancelled: true };
        }
        is_cancellable
    }

    /// The first token has come; false where it was not awaited.
    pub(crate) fn start_streaming(&mut self) -> bool {
        let is_awaited = self.is_awaiting_first_token();
        if is_awaited {
            self.state = AttemptState::Streaming;
        }
        is_awaited
    }

    /// The attempt ends; `None` where it had ended before. Returns the prompt tokens that were still to be read.
    pub(crate) fn end(&mut self, outcome: AttemptOutcome) -> Option<f64> {
        let unread_tokens = match self.state {
            AttemptState::Ended { .. } => return None,
            AttemptState::AwaitingFirstToken { .. } => self.unread_tokens,
            AttemptState::Streaming => 0.0,
        };
        self.state = AttemptState::Ended {
            may_have_run: may_have_run(outcome),
        };
        Some(unread_tokens)
    }
}

/// Whether a replica may have worked on an attempt that ended so.
fn may_have_run(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::AtCapacity
        | AttemptOutcome::ConnectFailed
        | AttemptOutcome::NotSent
        | AttemptOutcome::InvalidRequest => false,
        AttemptOutcome::Completed
        | AttemptOutcome::ServerError
        | AttemptOutcome::TimedOut
        | AttemptOutcome::ConnectionReset
        | AttemptOutcome::Cancelled => true,
    }
}

#[cfg(test)]
mod tests;
