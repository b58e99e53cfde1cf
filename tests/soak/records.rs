//! Records of what clients, replicas and discovery observed. Times are since the start of the run.

use super::streams::StreamKind;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// A complete response of this status.
    Answered(u16),
    /// The response was truncated.
    Truncated,
    /// The connection ended before the first byte of a response.
    Closed,
    /// No bytes arrived, although the client waited beyond the deadline.
    Unanswered,
    /// The client disconnected before the response.
    Disconnected,
}

/// A request as observed by its client.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    pub id: String,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub deadline: Duration,
    pub end: ClientEnd,
    /// When the first byte of its response arrived.
    pub answered_at: Option<Duration>,
    /// When the last event of its stream arrived.
    pub last_event_at: Option<Duration>,
    /// Whether it was the first request on its connection.
    pub is_first: bool,
}

/// A request as observed by a replica.
#[derive(Clone, Debug)]
pub struct ReplicaRecord {
    pub id: String,
    pub replica: usize,
    pub received_at: Duration,
    /// The deadline that the node sent with the request, as time from `received_at`.
    pub deadline: Duration,
    /// The stream with which the replica responds, unless it declines.
    pub stream: StreamKind,
    /// Whether the replica declined it without running it.
    pub is_declined: bool,
}

/// The drain of a replica. It starts at `at` and is part of the endpoint list from `version` on.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub version: u64,
    pub replica: usize,
    pub at: Duration,
}

/// An answer of discovery with a list or changes.
#[derive(Clone, Copy, Debug)]
pub struct ListAnswer {
    pub version: u64,
    /// When discovery began to write it.
    pub written_at: Duration,
    /// Whether it was written completely.
    pub is_complete: bool,
}

/// A poll that discovery left unanswered.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredPoll {
    pub began_at: Duration,
    /// The timeout that the poll requested.
    pub wait: Duration,
    /// When the node closed the connection; `None` while it is open.
    pub closed_at: Option<Duration>,
}

/// One process of the node.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    pub started_at: Duration,
    /// The version of the endpoint list in its configuration.
    pub known_version: u64,
    /// When it received the first SIGTERM; `None` if it did not.
    pub terminated_at: Option<Duration>,
    /// When it was killed; `None` while it runs.
    pub ended_at: Option<Duration>,
    /// Whether it ended without SIGTERM or with an error.
    pub has_crashed: bool,
    /// Time from its start until it was ready.
    pub ready_after: Duration,
}

/// All records of a run.
#[derive(Default)]
pub struct Records {
    pub clients: Mutex<Vec<ClientRecord>>,
    pub replicas: Mutex<Vec<ReplicaRecord>>,
    pub drains: Mutex<Vec<Drain>>,
    pub answers: Mutex<Vec<ListAnswer>>,
    pub unanswered_polls: Mutex<Vec<UnansweredPoll>>,
    pub processes: Mutex<Vec<ProcessRecord>>,
    /// Suspensions of the process that extend the time limits of responses.
    pub suspensions: Mutex<Vec<std::ops::Range<Duration>>>,
    /// The longest scheduling delay measured in the test process.
    pub max_scheduling_delay: Mutex<Duration>,
}

#[derive(Clone, Copy)]
pub struct RunClock {
    start: Instant,
}

impl RunClock {
    pub fn start() -> RunClock {
        RunClock {
            start: Instant::now(),
        }
    }

    /// The time since the start.
    pub fn now(self) -> Duration {
        self.start.elapsed()
    }

    /// Sleeps until this time of the run.
    pub fn sleep_until(self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}

/// The shared records of a run and its clock.
#[derive(Clone)]
pub struct RecordsRef {
    pub all: std::sync::Arc<Records>,
    pub clock: RunClock,
}
