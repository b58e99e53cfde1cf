//! Why connections of clients end, and how often each reason has come up.

use std::cell::Cell;

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or broke it.
    ClientLeft,
    /// The client took nothing for longer than it may.
    ClientStalled,
    /// The answer said that it is the last one here.
    LastAnswer,
    /// A request was turned down before the core saw it.
    Rejected,
    /// A stream ended before it was whole: the missing last chunk says so.
    StreamBroken,
    /// No further request came for longer than a connection is kept.
    Idle,
    /// No request came at all.
    NeverAsked,
    /// Another connection needed its place.
    Evicted,
    /// An operator has ordered clients away.
    Evacuated,
    /// The node shuts down.
    Shutdown,
    /// The core has ended.
    CoreEnded,
}

impl CloseReason {
    /// All of them.
    pub const ALL: [CloseReason; 11] = [
        CloseReason::ClientLeft,
        CloseReason::ClientStalled,
        CloseReason::LastAnswer,
        CloseReason::Rejected,
        CloseReason::StreamBroken,
        CloseReason::Idle,
        CloseReason::NeverAsked,
        CloseReason::Evicted,
        CloseReason::Evacuated,
        CloseReason::Shutdown,
        CloseReason::CoreEnded,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::ClientStalled => "client_stalled",
            CloseReason::LastAnswer => "last_answer",
            CloseReason::Rejected => "rejected",
            CloseReason::StreamBroken => "stream_broken",
            CloseReason::Idle => "idle",
            CloseReason::NeverAsked => "never_asked",
            CloseReason::Evicted => "evicted",
            CloseReason::Evacuated => "evacuated",
            CloseReason::Shutdown => "shutdown",
            CloseReason::CoreEnded => "core_ended",
        }
    }

    /// It ends between requests, so that nothing is owed to the client.
    pub fn between_requests(self) -> bool {
        use CloseReason::{Evacuated, Idle, NeverAsked, Shutdown};
        matches!(self, Idle | NeverAsked | Evacuated | Shutdown)
    }

    /// Nobody waits for the end of what was written, so the connection can be dropped at once.
    pub fn abrupt(self) -> bool {
        matches!(
            self,
            CloseReason::ClientLeft | CloseReason::ClientStalled | CloseReason::Evicted
        )
    }
}

/// Connections closed since the start, by reason.
#[derive(Debug, Default)]
pub struct CloseCounts([Cell<u64>; CloseReason::ALL.len()]);

impl CloseCounts {
    /// One more.
    pub fn add(&self, reason: CloseReason) {
        let count = &self.0[reason as usize];
        count.set(count.get() + 1);
    }

    /// Each reason's name and count.
    pub fn all(&self) -> Vec<(&'static str, u64)> {
        CloseReason::ALL
            .iter()
            .map(|reason| (reason.name(), self.0[*reason as usize].get()))
            .collect()
    }
}
