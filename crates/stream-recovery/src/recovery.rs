//! Decides how to end an interrupted stream: complete it, continue it on another replica, or fail it.

use crate::transcript::{ContinuationObstacle, StreamTranscript};
use crate::Micros;

/// A stream that has stalled or broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterruptedStream {
    /// Maximum number of continuations per stream; `None` if continuations are disabled.
    pub max_continuations: Option<u32>,
    /// Whether requests of the request's class are idempotent.
    pub is_idempotent: bool,
    /// Number of continuations of this stream so far.
    pub continuations: u32,
    /// Whether the client can still receive the rest of the stream.
    pub is_client_connected: bool,
    /// Whether the node is shutting down.
    pub is_shutting_down: bool,
    /// How much longer the client waits for the next event.
    pub client_wait_left: Micros,
}

/// How to end an interrupted stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryDecision {
    /// All of the text was forwarded. The node itself sends the missing closing events.
    Complete,
    /// Request the remaining text from another replica, with this request body.
    Continue(Vec<u8>),
    /// Fail the stream immediately.
    Fail(RecoveryRefusal),
}

/// Why a stream is not continued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryRefusal {
    /// Continuations are disabled in the settings.
    #[error("continuing is switched off")]
    Disabled,
    /// The request is not idempotent, so repeating it could cause side effects twice.
    #[error("a repeat might do something twice")]
    NotIdempotent,
    /// The client has disconnected, so there is no receiver for a continuation.
    #[error("the client has gone")]
    ClientDisconnected,
    /// The node is shutting down.
    #[error("the node is ending")]
    ShuttingDown,
    /// The client would give up before a continuation could begin.
    #[error("its client waits no longer")]
    TooLate,
    /// The stream has reached the maximum number of continuations.
    #[error("it has been continued as often as may be")]
    TooManyContinuations,
    /// The continuation budget is exhausted.
    #[error("too many streams are being continued")]
    BudgetExhausted,
    /// No replica accepted the continuation request.
    #[error("no other server took it on")]
    NoReplica,
    /// The forwarded response or the request cannot be continued.
    #[error(transparent)]
    Obstacle(#[from] ContinuationObstacle),
}

/// Decides how to end an interrupted stream. `request_body` is the body of the client's request. `take_from_budget`
/// takes one continuation from the budget and returns false if the budget is exhausted; it is called only if all other
/// conditions of a continuation are met.
pub fn decide_recovery(
    stream: &InterruptedStream,
    transcript: &StreamTranscript,
    request_body: &[u8],
    mut take_from_budget: impl FnMut() -> bool,
) -> RecoveryDecision {
    let Some(max_continuations) = stream.max_continuations else {
        return RecoveryDecision::Fail(RecoveryRefusal::Disabled);
    };
    if !stream.is_client_connected {
        return RecoveryDecision::Fail(RecoveryRefusal::ClientDisconnected);
    }
    // Only closing events or the usage are missing. To request them, a replica would have to process the whole prompt
    // again without changing the text. The usage is omitted, because the node must not make up token counts.
    if transcript.is_text_complete(request_body) {
        return RecoveryDecision::Complete;
    }
    if !stream.is_idempotent {
        return RecoveryDecision::Fail(RecoveryRefusal::NotIdempotent);
    }
    if stream.is_shutting_down {
        return RecoveryDecision::Fail(RecoveryRefusal::ShuttingDown);
    }
    if stream.client_wait_left == 0 {
        return RecoveryDecision::Fail(RecoveryRefusal::TooLate);
    }
    if stream.continuations >= max_continuations {
        return RecoveryDecision::Fail(RecoveryRefusal::TooManyContinuations);
    }
    match transcript.continuation_request(request_body) {
        Err(obstacle) => RecoveryDecision::Fail(obstacle.into()),
        Ok(_) if !take_from_budget() => RecoveryDecision::Fail(RecoveryRefusal::BudgetExhausted),
        Ok(body) => RecoveryDecision::Continue(body),
    }
}
