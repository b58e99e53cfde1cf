//! Reasons for which client connections close, and their counts. [`connection`](super::connection) counts; the admin address
//! exports the counts as `app_client_closes`.

use std::cell::Cell;

/// Why a client connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or broke the connection.
    ClientDisconnected,
    /// The client accepted no bytes within the write timeout.
    ClientStalled,
    /// The last response announced the close with `Connection: close`.
    LastResponse,
    /// A request was rejected without being passed to the dispatcher.
    RequestRejected,
    /// The client sent more ahead of its turn than is kept. Its connection closes after the response to its current request.
    SentTooMuch,
    /// A stream ended incomplete. The client sees this by the missing last chunk.
    StreamBroken,
    /// No further request arrived within the idle timeout.
    IdleTimeout,
    /// No byte of a request arrived within the read timeout.
    NoRequest,
    /// The connection was closed to make room for another.
    Evicted,
    /// The node has been evacuated.
    Evacuated,
    /// The node shuts down.
    Shutdown,
    /// The dispatcher has ended.
    DispatcherEnded,
}

impl CloseReason {
    /// All reasons in the order of their declaration.
    pub const ALL: [CloseReason; 12] = [
        CloseReason::ClientDisconnected,
        CloseReason::ClientStalled,
        CloseReason::LastResponse,
        CloseReason::RequestRejected,
        CloseReason::SentTooMuch,
        CloseReason::StreamBroken,
        CloseReason::IdleTimeout,
        CloseReason::NoRequest,
        CloseReason::Evicted,
        CloseReason::Evacuated,
        CloseReason::Shutdown,
        CloseReason::DispatcherEnded,
    ];

    /// The reason's label in metrics and in the log.
    pub fn label(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "client_left",
            CloseReason::ClientStalled => "client_stalled",
            CloseReason::LastResponse => "last_answer",
            CloseReason::RequestRejected => "rejected",
            CloseReason::SentTooMuch => "sent_too_much",
            CloseReason::StreamBroken => "stream_broken",
            CloseReason::IdleTimeout => "idle",
            CloseReason::NoRequest => "never_asked",
            CloseReason::Evicted => "evicted",
            CloseReason::Evacuated => "evacuated",
            CloseReason::Shutdown => "shutdown",
            CloseReason::DispatcherEnded => "core_ended",
        }
    }

    /// Whether the connection closes between two requests, so that no response is outstanding.
    pub fn is_between_requests(self) -> bool {
        matches!(
            self,
            CloseReason::IdleTimeout
                | CloseReason::NoRequest
                | CloseReason::Evacuated
                | CloseReason::Shutdown
        )
    }

    /// Whether the socket can be dropped at once, since the client need not receive all that was written.
    pub fn is_abrupt(self) -> bool {
        matches!(
            self,
            CloseReason::ClientDisconnected | CloseReason::ClientStalled | CloseReason::Evicted
        )
    }
}

/// Number of connections closed since the start, by reason.
#[derive(Debug, Default)]
pub struct CloseCounters([Cell<u64>; CloseReason::ALL.len()]);

impl CloseCounters {
    /// Counts a closed connection.
    pub fn add(&self, reason: CloseReason) {
        let count = &self.0[reason as usize];
        count.set(count.get() + 1);
    }

    /// The label and the count of each reason.
    pub fn by_label(&self) -> Vec<(&'static str, u64)> {
        CloseReason::ALL
            .iter()
            .map(|reason| (reason.label(), self.0[*reason as usize].get()))
            .collect()
    }
}
