//! The state machine of one attempt of a request at a replica.

use crate::prompt_cache::CacheSource;
use crate::replica::DeduplicationGroups;
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
/// A cancelled attempt may still get a first token that was already in transit. All other events are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    AwaitingFirstToken { is_cancelled: bool },
    Streaming,
    Ended { may_have_run: bool },
}

pub(crate) struct Attempt {
    pub(crate) replica: ReplicaId,
    /// The replica's groups when the attempt was placed.
    pub(crate) deduplication_groups: DeduplicationGroups,
    pub(crate) sent_at: Seconds,
    /// Prompt tokens that the replica is expected not to have in its cache.
    pub(crate) prefill_tokens: f64,
    /// Why the replica was expected to have part of the prompt in its cache.
    pub(crate) cache_source: CacheSource,
    pub(crate) estimated_ttft: Seconds,
    state: AttemptState,
}

impl Attempt {
    pub(crate) fn new(
        replica: ReplicaId,
        deduplication_groups: DeduplicationGroups,
        sent_at: Seconds,
        prefill_tokens: f64,
        cache_source: CacheSource,
        estimated_ttft: Seconds,
    ) -> Self {
        Attempt {
            replica,
            deduplication_groups,
            sent_at,
            prefill_tokens,
            cache_source,
            estimated_ttft,
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

    /// Whether the attempt is in flight, or ended in a way that leaves open whether the replica has run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state
            != AttemptState::Ended {
                may_have_run: false,
            }
    }

    /// Requests cancellation; returns false if the attempt is already cancelled, streaming or ended.
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

    /// Records the first token; returns false if the attempt is already streaming or has ended.
    pub(crate) fn start_streaming(&mut self) -> bool {
        let is_awaited = self.is_awaiting_first_token();
        if is_awaited {
            self.state = AttemptState::Streaming;
        }
        is_awaited
    }

    /// Ends the attempt and returns the prompt tokens not yet prefilled; `None` if it had already ended.
    pub(crate) fn end(&mut self, outcome: AttemptOutcome) -> Option<f64> {
        let pending_prefill_tokens = match self.state {
            AttemptState::Ended { .. } => return None,
            AttemptState::AwaitingFirstToken { .. } => self.prefill_tokens,
            AttemptState::Streaming => 0.0,
        };
        self.state = AttemptState::Ended {
            may_have_run: outcome.may_have_run(),
        };
        Some(pending_prefill_tokens)
    }
}

#[cfg(test)]
mod tests;
