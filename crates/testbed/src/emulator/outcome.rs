//! The outcome of a run: counts, priority weight, latencies, series of bounded size and violated invariants.
//!
//! These types define the format of results files: field names are keys, and pairs of numbers are written as arrays of
//! two. [`super::OutcomeRecorder`] creates a [`RunOutcome`]; tables, the report and the view read it.

use super::description::FaultDescription;
use serde::{Deserialize, Serialize};

/// Number of time slices into which a run is divided for its series.
pub const TIME_SLICE_COUNT: usize = 120;
/// The quantiles of a [`QuantileSummary`].
pub const QUANTILES: [f64; 7] = [0.1, 0.5, 0.9, 0.95, 0.99, 0.999, 1.0];

/// How a request ended for its client, after all client retries.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Complete, and within the latency objectives of its class.
    Good,
    /// Complete, but the first token or the later tokens were too late.
    Late,
    /// Rejected.
    Refused,
    /// Failed before the first token.
    Failed,
    /// Failed after the first token.
    Broken,
    /// The client disconnected first.
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

/// Counts and priority weight of a set of requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Tally {
    /// The total weight of the requests, as if all had met their objectives.
    pub offered: f64,
    /// The weight earned by complete answers.
    pub gained: f64,
    /// The number of requests by their end, in the order of [`RequestEnd::ALL`].
    pub ends: [u64; 6],
}

impl Tally {
    /// Adds one request of weight `offered` that earned the weight `gained`.
    pub(super) fn add(&mut self, end: RequestEnd, offered: f64, gained: f64) {
        self.offered += offered;
        self.gained += gained;
        self.ends[end as usize] += 1;
    }

    /// The fraction of the offered weight that was served, 0 to 1; 0 if nothing was offered.
    pub fn served_fraction(&self) -> f64 {
        if self.offered > 0.0 {
            self.gained / self.offered
        } else {
            0.0
        }
    }

    /// The total number of requests.
    pub fn request_count(&self) -> u64 {
        self.ends.iter().sum()
    }
}

/// A distribution of times, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct QuantileSummary {
    /// The number of values.
    pub count: u64,
    /// The value at each of [`QUANTILES`]; empty if there are no values.
    pub at: Vec<f64>,
}

/// How often a run violated the invariants of all runs; all zero if the nodes work correctly.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct InvariantViolations {
    /// Final answers of nodes to a submission that had already received one; in runs on sockets, complete answers with
    /// an unexpected text.
    pub doubled: u64,
    /// Submissions that had not ended for their client at the end of the run.
    pub lost: u64,
    /// Attempts of requests that must not run twice, sent after an earlier attempt that may have run.
    pub repeated: u64,
    /// Attempts that a node sent to a draining server after the drain grace had passed.
    pub drained: u64,
}

impl InvariantViolations {
    /// The total number of violations.
    pub fn sum(&self) -> u64 {
        self.doubled + self.lost + self.repeated + self.drained
    }
}

/// The rate of messages between nodes; a pair of numbers in a results file.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct MessageRate {
    /// Messages sent per second.
    pub messages_per_second: f64,
    /// Bytes sent per second.
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

/// Measurements of the coordination of the nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct CoordinationSummary {
    /// Messages sent by a node in the second half of the run, as the mean of all nodes.
    pub node: MessageRate,
    /// Messages sent by the busiest lease server in the same time.
    pub keeper: MessageRate,
    /// Checks at which more than one node held the lease; there is a check every 5 ms.
    pub overlaps: u64,
    /// The longest time without a lease holder after the lease was first acquired, in seconds.
    pub longest_without: f64,
    /// The largest number of repeated attempts by which any time window exceeded the rate of the budget, divided by the
    /// burst of the budget (at least 1). More than 1 means that the nodes together exceeded the budget.
    pub worst_window: f64,
}

/// Prompt tokens of complete answers; a pair of numbers in a results file.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct PromptTokenCounts {
    /// All prompt tokens.
    pub total: u64,
    /// Prompt tokens that the server had cached.
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

/// The measurements of one run, as written to results files.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct RunOutcome {
    /// All requests.
    pub all: Tally,
    /// The requests of each class, with its name.
    pub classes: Vec<(String, Tally)>,
    /// The requests of each tenant, with its name.
    pub tenants: Vec<(String, Tally)>,
    /// Requests that clients sent to nodes, including client retries.
    pub tries: u64,
    /// Attempts that nodes sent to servers.
    pub attempts: u64,
    /// Attempts that reached a server and were not the first of their request.
    #[serde(default)]
    pub repeats: u64,
    /// Attempts from one zone to another.
    pub crossed: u64,
    /// Health checks that nodes sent.
    pub probes: u64,
    /// Connections that nodes opened to servers.
    pub connected: u64,
    /// Prompt tokens of complete answers.
    pub prompt: PromptTokenCounts,
    /// Preemptions of requests because a server ran out of memory.
    pub preempted: u64,
    /// Times to first token, of answers that had one.
    pub first: QuantileSummary,
    /// Times to the last token, of complete answers.
    pub whole: QuantileSummary,
    /// Gaps between tokens, measured at the servers.
    pub gaps: QuantileSummary,
    /// Times from the first submission by the client until the request was finally rejected or failed.
    pub refusals: QuantileSummary,
    /// The duration of one time slice, in seconds.
    pub piece_s: f64,
    /// Requests by the time slice in which they were first sent.
    pub series: Vec<Tally>,
    /// Requests running or queued on all servers, by time slice.
    pub held: Vec<f64>,
    /// Requests running or queued on a server divided by its slots, as the mean of the servers of a row; by row, then
    /// by time slice.
    pub heat: Vec<Vec<f32>>,
    /// The faults of the run, for the time axis of plots.
    pub faults: Vec<FaultDescription>,
    /// Counts of broken invariants; all zero if the nodes work correctly.
    pub broken: InvariantViolations,
    /// Measurements of the coordination; `None` for runs without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub talked: Option<CoordinationSummary>,
    /// Number of events that the simulation processed.
    pub events: u64,
}
