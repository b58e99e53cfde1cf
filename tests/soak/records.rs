//! What the parties of a run saw, with times since its start.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// A complete response of this status.
    Answered(u16),
    /// A response began and broke off.
    Broken,
    /// The connection ended without a byte of a response.
    Closed,
    /// Nothing came within the client's time and the allowance after it.
    Unanswered,
    /// The client left.
    Left,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    pub id: String,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub deadline: Duration,
    pub end: ClientEnd,
    /// It was the first request on its connection.
    pub is_first: bool,
}

/// One request as a replica saw it.
#[derive(Clone, Debug)]
pub struct ReplicaRecord {
    pub id: String,
    pub replica: usize,
    pub received_at: Duration,
    /// The time for which the node was willing to wait.
    pub deadline: Duration,
    /// The replica turned it away without running it.
    pub is_declined: bool,
}

/// A change of the endpoint list: this replica drains from then on.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub version: u64,
    pub replica: usize,
    pub at: Duration,
}

/// An answer of discovery.
#[derive(Clone, Copy, Debug)]
pub struct ListAnswer {
    pub version: u64,
    /// When its first byte was written.
    pub written_at: Duration,
    /// It was written to its end.
    pub is_complete: bool,
}

/// A poll that was never answered, since the service had fallen silent.
#[derive(Clone, Copy, Debug)]
pub struct DeafPoll {
    pub began_at: Duration,
    /// How long the service was asked to wait.
    pub wait: Duration,
    /// When the node gave it up.
    pub closed_at: Option<Duration>,
}

/// One process of the node.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    pub started_at: Duration,
    /// The version of the list that it was started with.
    pub known_version: u64,
    /// When it was ordered to stop.
    pub terminated_at: Option<Duration>,
    /// When it was killed.
    pub ended_at: Option<Duration>,
    /// It ended by itself without an order.
    pub has_crashed: bool,
    /// How long it took to be ready.
    pub ready_after: Duration,
}

/// Everything that was recorded of a run.
#[derive(Default)]
pub struct Records {
    pub clients: Mutex<Vec<ClientRecord>>,
    pub replicas: Mutex<Vec<ReplicaRecord>>,
    pub drains: Mutex<Vec<Drain>>,
    pub answers: Mutex<Vec<ListAnswer>>,
    pub deaf_polls: Mutex<Vec<DeafPoll>>,
    pub processes: Mutex<Vec<ProcessRecord>>,
    /// Times for which the process was suspended for longer than the platform allows for.
    pub suspensions: Mutex<Vec<std::ops::Range<Duration>>>,
    /// The longest time for which a thread of the test itself was late.
    pub max_lateness: Mutex<Duration>,
}

/// The clock of a run.
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

/// The records of a run with its clock; clones are the same.
#[derive(Clone)]
pub struct RecordsRef {
    pub all: std::sync::Arc<Records>,
    pub clock: RunClock,
}
