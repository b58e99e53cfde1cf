//! Why connections of clients end, and how often each reason has come up. [`connection`](super::connection) counts; the
//! operators' address shows the counts as `app_client_closes`.

use std::cell::Cell;

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or broke the connection.
    ClientDisconnected,
    /// The client took no bytes for longer than it may.
    ClientStalled,
    /// The response said that it is the last on its connection.
    LastResponse,
    /// A request was rejected before the dispatcher saw it.
    RequestRejected,
    /// A stream ended incomplete: the missing last chunk says so.
    StreamBroken,
    /// No further request came for longer than a connection is kept.
    IdleTimeout,
    /// No request came at all.
    NoRequest,
    /// Another connection needed its place.
    Evicted,
    /// The node has been evacuated.
    Evacuated,
    /// The node shuts down.
    Shutdown,
    /// The dispatcher has ended.
    DispatcherEnded,
}

impl CloseReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [CloseReason; 11] = [
        CloseReason::ClientDisconnected,
        CloseReason::ClientStalled,
        CloseReason::LastResponse,
        CloseReason::RequestRejected,
        CloseReason::StreamBroken,
        CloseReason::IdleTimeout,
        CloseReason::NoRequest,
        CloseReason::Evicted,
        CloseReason::Evacuated,
        CloseReason::Shutdown,
        CloseReason::DispatcherEnded,
    ];

    /// The reason as a label of metrics and in the log.
    pub fn label(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "client_left",
            CloseReason::ClientStalled => "client_stalled",
            CloseReason::LastResponse => "last_answer",
            CloseReason::RequestRejected => "rejected",
            CloseReason::StreamBroken => "stream_broken",
            CloseReason::IdleTimeout => "idle",
            CloseReason::NoRequest => "never_asked",
            CloseReason::Evicted => "evicted",
            CloseReason::Evacuated => "evacuated",
            CloseReason::Shutdown => "shutdown",
            CloseReason::DispatcherEnded => "core_ended",
        }
    }

    /// Whether the connection ends between two requests, so that nothing is owed to the client.
    pub fn is_between_requests(self) -> bool {
        matches!(
            self,
            CloseReason::IdleTimeout
                | CloseReason::NoRequest
                | CloseReason::Evacuated
                | CloseReason::Shutdown
        )
    }

    /// Whether nobody waits for the end of what was written, so that the socket can be dropped at once.
    pub fn is_abrupt(self) -> bool {
        matches!(
            self,
            CloseReason::ClientDisconnected | CloseReason::ClientStalled | CloseReason::Evicted
        )
    }
}

/// Connections closed since the start, by reason.
#[derive(Debug, Default)]
pub struct CloseCounters([Cell<u64>; CloseReason::ALL.len()]);

impl CloseCounters {
    /// Counts one more connection.
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
