//! The data of the view, updated from a simulation or from the lines of a node's JSON log ([`node_log`]).

mod node_log;

use crate::emulator::{RequestEnd, RunOutcome, ServerStatus, Simulation};
use poppykeel_scheduler::EndpointState;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of points of the chart over time.
const MAX_POINTS: usize = 240;
/// The maximum number of servers shown; a node may have thousands, for which a terminal has no room.
const MAX_ROWS: usize = 512;
/// A time slice is shown with a delay of this many slices, so that most of its requests have ended by then.
const SLICE_DELAY: usize = 4;

/// A row of the table of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerRow {
    /// The name of the server.
    pub name: String,
    /// In a simulation "up", "draining", "away" or "not listed"; from a log the state on the endpoint list in lower
    /// case, "up" until a change is logged.
    pub state: String,
    /// Running requests; from a log, streams in the state `flowing`.
    pub running: u64,
    /// Queued requests; from a log, streams that are slow, stalled or outrun.
    pub queued: u64,
    /// Text that is shown instead of the bars; empty if there is none.
    pub details: String,
}

/// The elapsed and total time shown in the title.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ViewTime {
    pub(super) elapsed_s: f64,
    /// The length of the load; `None` for a running node.
    pub(super) total_s: Option<f64>,
}

/// A cumulative count.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedCount {
    /// The displayed name.
    pub name: String,
    /// The total so far.
    pub count: u64,
    /// The increase per second between the last two updates; `None` after the first update.
    pub rate: Option<f64>,
}

/// How many requests of one tenant wait, at the last update.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQueue {
    /// The tenant's name.
    pub tenant: String,
    /// The number of queued requests.
    pub queued: u64,
}

/// The concurrency limit of a node and its use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyUse {
    /// The maximum number of requests in flight.
    pub limit: f64,
    /// The number of requests in flight.
    pub in_flight: u64,
}

/// The counts of the previous update, from which rates are computed.
#[derive(Clone, Debug, PartialEq)]
struct PreviousCounts {
    at_s: f64,
    counts: BTreeMap<String, u64>,
}

/// The data of the view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewState {
    pub(super) title: String,
    pub(super) time: ViewTime,
    /// Counts in display order.
    pub(super) counts: Vec<NamedCount>,
    /// The served priority weight of the last time slices, in percent; for a node, the served fraction of the requests
    /// that ended.
    pub(super) served_percent: VecDeque<f64>,
    pub(super) queues: Vec<TenantQueue>,
    pub(super) concurrency: Option<ConcurrencyUse>,
    pub(super) rows: Vec<ServerRow>,
    /// A summary of the streams, as text.
    pub(super) streams: String,
    previous: Option<PreviousCounts>,
    /// The number of time slices that have been added to the chart.
    shown_slices: usize,
    tenants: Vec<String>,
}

impl ViewState {
    /// Creates an empty state. `tenants` are the names in the order of the tenants' indexes.
    pub fn new(title: &str, tenants: Vec<String>) -> Self {
        ViewState {
            title: title.to_string(),
            tenants,
            ..ViewState::default()
        }
    }

    /// The counts, in display order.
    pub fn counts(&self) -> &[NamedCount] {
        &self.counts
    }

    /// Queued requests by tenant, as of the last update; empty before the first.
    pub fn queues(&self) -> &[TenantQueue] {
        &self.queues
    }

    /// The concurrency limit of a node and its use; `None` for a simulation, and until a node's log has a summary with
    /// the limit.
    pub fn concurrency(&self) -> Option<ConcurrencyUse> {
        self.concurrency
    }

    /// The rows of the table of servers.
    pub fn rows(&self) -> &[ServerRow] {
        &self.rows
    }

    /// Updates the state from a simulation; `load_seconds` is the length of its load.
    pub fn update_from_simulation(&mut self, simulation: &mut Simulation, load_seconds: f64) {
        let at_s = simulation.now() as f64 / 1e6;
        self.time = ViewTime {
            elapsed_s: at_s.min(load_seconds),
            total_s: Some(load_seconds),
        };
        let outcome = simulation.outcome_so_far();
        self.add_time_slices(at_s, outcome);
        let counts = outcome_counts(outcome);
        self.set_counts(at_s, &counts);
        let queued = simulation.queued_by_tenant();
        self.queues = queues(self.tenants.iter().cloned(), queued);
        self.streams = format!(
            "{} tries held by nodes and servers",
            simulation.open_submission_count()
        );
        self.rows = simulation
            .servers()
            .enumerate()
            .take(MAX_ROWS)
            .map(|(index, server)| server_row(index, server))
            .collect();
    }

    fn add_time_slices(&mut self, at_s: f64, outcome: &RunOutcome) {
        let ended_slices = ((at_s / outcome.piece_s) as usize)
            .saturating_sub(SLICE_DELAY)
            .min(outcome.series.len());
        for slice in &outcome.series[self.shown_slices.min(ended_slices)..ended_slices] {
            self.add_point(slice.served_fraction() * 100.0);
        }
        self.shown_slices = ended_slices;
    }

    fn add_point(&mut self, served_percent: f64) {
        if self.served_percent.len() == MAX_POINTS {
            self.served_percent.pop_front();
        }
        self.served_percent.push_back(served_percent);
    }

    /// Sets the counts, with their rates since the previous update. The rates stay unchanged if no time has passed.
    fn set_counts(&mut self, at_s: f64, counts: &[(&str, u64)]) {
        let mut named_counts = Vec::with_capacity(counts.len());
        for (name, count) in counts {
            named_counts.push(NamedCount {
                name: (*name).to_string(),
                count: *count,
                rate: self.rate_since_previous(at_s, name, *count),
            });
        }
        let by_name = counts
            .iter()
            .map(|(name, count)| ((*name).to_string(), *count));
        self.previous = Some(PreviousCounts {
            at_s,
            counts: by_name.collect(),
        });
        self.counts = named_counts;
    }

    fn rate_since_previous(&self, at_s: f64, name: &str, count: u64) -> Option<f64> {
        let previous = self.previous.as_ref()?;
        if at_s <= previous.at_s {
            return self.named_count(name)?.rate;
        }
        let previous_count = previous.counts.get(name).copied().unwrap_or(0);
        let increase = count.saturating_sub(previous_count);
        Some(increase as f64 / (at_s - previous.at_s))
    }

    fn named_count(&self, name: &str) -> Option<&NamedCount> {
        self.counts.iter().find(|count| count.name == name)
    }
}

/// The counts of a simulation, with their displayed names.
fn outcome_counts(outcome: &RunOutcome) -> [(&'static str, u64); 6] {
    let count = |end: RequestEnd| outcome.all.ends[end as usize];
    let failed = count(RequestEnd::Failed) + count(RequestEnd::Broken) + count(RequestEnd::Left);
    [
        ("tries", outcome.tries),
        ("attempts", outcome.attempts),
        ("good", count(RequestEnd::Good)),
        ("late", count(RequestEnd::Late)),
        ("refused", count(RequestEnd::Refused)),
        ("failed", failed),
    ]
}

fn queues(
    tenants: impl Iterator<Item = String>,
    queued: impl IntoIterator<Item = u64>,
) -> Vec<TenantQueue> {
    tenants
        .zip(queued)
        .map(|(tenant, queued)| TenantQueue { tenant, queued })
        .collect()
}

fn server_row(index: usize, server: ServerStatus) -> ServerRow {
    let state = if server.is_up {
        match server.listed_state {
            EndpointState::Draining => "draining",
            EndpointState::Removed => "not listed",
            EndpointState::Available => "up",
        }
    } else {
        "away"
    };
    ServerRow {
        name: format!("m-{index}"),
        state: state.to_string(),
        running: server.requests.running as u64,
        queued: server.requests.queued as u64,
        details: String::new(),
    }
}
