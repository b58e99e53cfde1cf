//! How a stream that its replica did not end is to end: completed, continued at another replica, or with a failure.

use crate::transcript::{ContinuationObstacle, StreamTranscript};

/// What is known of a stream that has stalled or broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterruptedStream {
    /// How often a stream may be continued; `None` where the operators do not allow it at all.
    pub max_continuations: Option<u32>,
    /// Requests of its class are idempotent.
    pub is_idempotent: bool,
    /// Continuations of this stream so far.
    pub continuations: u32,
    /// The client is still connected.
    pub is_client_connected: bool,
    /// The node is shutting down.
    pub is_shutting_down: bool,
}

/// How the stream is to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryDecision {
    /// All of the text has been forwarded: only the framing is missing, and is written.
    Complete,
    /// Another replica is asked for the rest, with this request body.
    Continue(Vec<u8>),
    /// At once, with a failure.
    Fail(RecoveryRefusal),
}

/// Why a stream is not continued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryRefusal {
    /// The operators do not allow it.
    #[error("continuing is switched off")]
    SwitchedOff,
    /// A repeat might do something twice.
    #[error("a repeat might do something twice")]
    NotIdempotent,
    /// The client has disconnected.
    #[error("the client has gone")]
    ClientDisconnected,
    /// The node is shutting down.
    #[error("the node is ending")]
    ShuttingDown,
    /// This stream has been continued as often as the limits allow.
    #[error("it has been continued as often as may be")]
    TooManyContinuations,
    /// The budget of continuations is spent.
    #[error("too many streams are being continued")]
    BudgetSpent,
    /// No replica accepted the request for the rest.
    #[error("no other server took it on")]
    NoReplica,
    /// What was forwarded cannot be carried on.
    #[error(transparent)]
    Obstacle(#[from] ContinuationObstacle),
}

/// Decides how a stream that has ended before its end is to end. `request_body` is the client's; `take_from_budget` is
/// called last, and only where all else allows a continuation.
pub fn decide_recovery(
    stream: &InterruptedStream,
    transcript: &StreamTranscript,
    request_body: &[u8],
    mut take_from_budget: impl FnMut() -> bool,
) -> RecoveryDecision {
    let Some(max_continuations) = stream.max_continuations else {
        return RecoveryDecision::Fail(RecoveryRefusal::SwitchedOff);
    };
    if !stream.is_client_connected {
        return RecoveryDecision::Fail(RecoveryRefusal::ClientDisconnected);
    }
    // What is missing is framing, or a count that nobody may invent. Asking again for that would cost a replica the whole
    // prompt, and could not change the text.
    if transcript.is_text_complete(request_body) {
        return RecoveryDecision::Complete;
    }
    if !stream.is_idempotent {
        return RecoveryDecision::Fail(RecoveryRefusal::NotIdempotent);
    }
    if stream.is_shutting_down {
        return RecoveryDecision::Fail(RecoveryRefusal::ShuttingDown);
    }
    if stream.continuations >= max_continuations {
        return RecoveryDecision::Fail(RecoveryRefusal::TooManyContinuations);
    }
    match transcript.continuation_request(request_body) {
        Err(obstacle) => RecoveryDecision::Fail(obstacle.into()),
        Ok(_) if !take_from_budget() => RecoveryDecision::Fail(RecoveryRefusal::BudgetSpent),
        Ok(body) => RecoveryDecision::Continue(body),
    }
}
