//! What a run comes to: counts, priority weight, latencies, series of bounded size, and violated rules.
//!
//! The types here are what a results file holds: the names of fields are its keys, and pairs of figures stand in it as
//! arrays of two. [`super::OutcomeRecorder`] makes a [`RunOutcome`]; tables, the report and the view read it.

use super::description::FaultDescription;
use serde::{Deserialize, Serialize};

/// Slices that the time of a run is cut into for its series.
pub const TIME_SLICE_COUNT: usize = 120;
/// The quantiles that a [`QuantileSummary`] gives.
pub const QUANTILES: [f64; 7] = [0.1, 0.5, 0.9, 0.95, 0.99, 0.999, 1.0];

/// How a request ended for its client, after all its tries.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Complete, and within the latency objectives of its class.
    Good,
    /// Complete, but its first token or its pace was late.
    Late,
    /// Rejected.
    Refused,
    /// Failed before its first token.
    Failed,
    /// Broken off after its first token.
    Broken,
    /// The client had left.
    Left,
}

impl RequestEnd {
    /// All of them, in the order of [`Tally::ends`].
    pub const ALL: [RequestEnd; 6] = [
        RequestEnd::Good,
        RequestEnd::Late,
        RequestEnd::Refused,
        RequestEnd::Failed,
        RequestEnd::Broken,
        RequestEnd::Left,
    ];
}

/// Counts and priority weight of some requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Tally {
    /// The weight of all requests, as if each had ended good.
    pub offered: f64,
    /// The weight that was served.
    pub gained: f64,
    /// How many ended in which way, in the order of [`RequestEnd::ALL`].
    pub ends: [u64; 6],
}

impl Tally {
    /// Adds one request of the weight `offered`, of which `gained` was served.
    pub(super) fn add(&mut self, end: RequestEnd, offered: f64, gained: f64) {
        self.offered += offered;
        self.gained += gained;
        self.ends[end as usize] += 1;
    }

    /// The served fraction of the offered weight, 0 to 1; 0 where nothing was offered.
    pub fn served_fraction(&self) -> f64 {
        if self.offered > 0.0 {
            self.gained / self.offered
        } else {
            0.0
        }
    }

    /// Requests of all ends.
    pub fn request_count(&self) -> u64 {
        self.ends.iter().sum()
    }
}

/// A distribution of times, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct QuantileSummary {
    /// How many values there were.
    pub count: u64,
    /// The value at each of [`QUANTILES`]; empty where there was none.
    pub at: Vec<f64>,
}

/// How often a run violated the rules that hold for every run; all zero where the nodes work as they should.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct InvariantViolations {
    /// Final outcomes beyond one for a request.
    pub doubled: u64,
    /// Requests without a final outcome at the end of the run.
    pub lost: u64,
    /// Attempts beyond the first of requests that must not run twice, after an earlier one may have run.
    pub repeated: u64,
    /// Attempts at servers whose drain the node had known for longer than the rules allow.
    pub drained: u64,
}

impl InvariantViolations {
    /// All of them together.
    pub fn sum(&self) -> u64 {
        self.doubled + self.lost + self.repeated + self.drained
    }
}

/// Messages between nodes, as a rate; a pair of numbers in a results file.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct MessageRate {
    /// Messages sent a second.
    pub messages_per_second: f64,
    /// Bytes sent a second.
    pub bytes_per_second: f64,
}

impl From<(f64, f64)> for MessageRate {
    fn from((messages_per_second, bytes_per_second): (f64, f64)) -> Self {
        MessageRate {
            messages_per_second,
            bytes_per_second,
        }
    }
}

impl From<MessageRate> for (f64, f64) {
    fn from(rate: MessageRate) -> Self {
        (rate.messages_per_second, rate.bytes_per_second)
    }
}

/// What the coordination of the nodes came to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct CoordinationSummary {
    /// What a node sent in the second half of the run, the mean of all.
    pub node: MessageRate,
    /// The same of the busiest lease server.
    pub keeper: MessageRate,
    /// Checks, one each 5 ms, at which two nodes held the lease.
    pub overlaps: u64,
    /// The longest time without a lease holder after the first one, in seconds.
    pub longest_without: f64,
    /// The most by which repeated attempts at servers exceeded the rate of the budget over any window, as a fraction of
    /// its burst.
    pub worst_window: f64,
}

/// Prompt tokens of complete answers; a pair of numbers in a results file.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct PromptTokenCounts {
    /// All of them.
    pub total: u64,
    /// Those that the server had cached.
    pub cached: u64,
}

impl From<(u64, u64)> for PromptTokenCounts {
    fn from((total, cached): (u64, u64)) -> Self {
        PromptTokenCounts { total, cached }
    }
}

impl From<PromptTokenCounts> for (u64, u64) {
    fn from(counts: PromptTokenCounts) -> Self {
        (counts.total, counts.cached)
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct RunOutcome {
    /// All requests.
    pub all: Tally,
    /// By class, with its name.
    pub classes: Vec<(String, Tally)>,
    /// By tenant, with its name.
    pub tenants: Vec<(String, Tally)>,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts that nodes sent to servers.
    pub attempts: u64,
    /// Attempts that reached a server and were not their request's first.
    #[serde(default)]
    pub repeats: u64,
    /// Attempts from one zone to another.
    pub crossed: u64,
    /// Health checks that nodes sent.
    pub probes: u64,
    /// Connections that nodes made.
    pub connected: u64,
    /// Prompt tokens of complete answers.
    pub prompt: PromptTokenCounts,
    /// Requests that started over because their server ran out of memory.
    pub preempted: u64,
    /// Times to the first token, of answers that had one.
    pub first: QuantileSummary,
    /// Times to the last token, of complete answers.
    pub whole: QuantileSummary,
    /// Gaps between tokens as servers made them.
    pub gaps: QuantileSummary,
    /// Times from a client's first try until it knows that it gets nothing.
    pub refusals: QuantileSummary,
    /// The length of one slice of the series, in seconds.
    pub piece_s: f64,
    /// By time slice of the request's first try.
    pub series: Vec<Tally>,
    /// By time slice, the requests that servers held.
    pub held: Vec<f64>,
    /// By row of servers and time slice: requests held over slots.
    pub heat: Vec<Vec<f32>>,
    /// The faults of the run, for the axis of time.
    pub faults: Vec<FaultDescription>,
    /// How often rules were violated.
    pub broken: InvariantViolations,
    /// The coordination of the nodes, where the description has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub talked: Option<CoordinationSummary>,
    /// Events of the simulation.
    pub events: u64,
}
